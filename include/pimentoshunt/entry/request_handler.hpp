/// @file
/// Serves one caller's request to a service: finds it a place, runs it, and
/// gives the whole answer, or says truly that it did not run.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/control/control_loop.hpp>
#include <pimentoshunt/entry/run_client.hpp>
#include <pimentoshunt/entry/ticket.hpp>
#include <pimentoshunt/plan/plan_cell.hpp>
#include <pimentoshunt/policy/retry_budget.hpp>
#include <pimentoshunt/worker/http_worker.hpp>

#include <atomic>   // atomic
#include <cstdint>  // uint64_t
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::entry
{

/// @brief Whether a request ran, as the caller is told.
enum class ran
{
    yes,
    /// It certainly did not and will not.
    no,
    /// It can't be known here.
    unknown
};

/// @brief The final answer to a caller.
struct caller_answer
{
    int status = 503;
    ran did_run = ran::no;
    std::string body;
    std::vector<platform::http_header> headers;
    /// Zero: no Retry-After.
    milliseconds retry_after{0};
};

/// @brief A caller's request as the listener took it in.
struct caller_request
{
    workload_name workload;
    run_request forward;
    /// Zero: the workload's own deadline.
    milliseconds deadline{0};
    std::string idempotency_key;
};

/// @brief Makes the answer to a request that did not run.
[[nodiscard]] auto refused_answer(const refusal& why) -> caller_answer;

/// @brief The one place where requests are served; safe for many threads.
class request_handler
{
  public:
    request_handler(control::control_loop& control,
                    const plan::plan_cell& in_force, run_client& runs,
                    worker::http_worker& workers)
        : m_control(control), m_plan(in_force), m_runs(runs), m_workers(workers)
    {
    }

    /// @brief Serves a request; blocks until its final answer.
    [[nodiscard]] auto serve(const caller_request& request) -> caller_answer;

  private:
    /// What is needed through all attempts of one request.
    struct request_state
    {
        const caller_request& request;
        plan::plan_ptr in_force;
        const plan::workload* workload = nullptr;
        time_point arrived;
        time_point deadline;
        int attempts = 0;
    };

    /// Either the final answer, or nothing: try again.
    using step_result = std::optional<caller_answer>;

    auto wait_for_place(const request_state& state) -> placement_answer;
    auto attempt(request_state& state, const grant& where) -> step_result;
    auto on_answer(const request_state& state, const grant& where, run_end end,
                   std::chrono::microseconds run_time) -> step_result;
    auto on_unknown(const request_state& state, const grant& where)
        -> step_result;
    auto not_started(const request_state& state, const grant& where,
                     ownership::attempt_outcome outcome) -> step_result;
    auto settle(const grant& where) -> std::optional<worker::attempt_state>;
    /// Whether the attempt has ended for certain; stops it where it runs.
    auto ended(const grant& where, std::optional<worker::attempt_state> found)
        -> bool;
    auto release(const grant& where, ownership::attempt_outcome outcome,
                 std::chrono::microseconds run_time) -> void;
    auto may_retry(const request_state& state) -> bool;

    control::control_loop& m_control;
    const plan::plan_cell& m_plan;
    run_client& m_runs;
    worker::http_worker& m_workers;
    std::atomic<std::uint64_t> m_numbers{0};
    std::mutex m_budget_mutex;
    policy::retry_budget m_budget;
};

} // namespace pimentoshunt::entry
