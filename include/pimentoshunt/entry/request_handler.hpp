/// @file
/// Serves one caller's request to a service: finds it a place, runs it, and
/// gives the whole answer, or says truly that it did not run.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/control/control_loop.hpp>
#include <pimentoshunt/entry/caller_answer.hpp>
#include <pimentoshunt/entry/key_guard.hpp>
#include <pimentoshunt/entry/open_requests.hpp>
#include <pimentoshunt/entry/run_client.hpp>
#include <pimentoshunt/entry/ticket.hpp>
#include <pimentoshunt/metrics/registry.hpp>
#include <pimentoshunt/plan/active_plan.hpp>
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

/// @brief A caller's request as the listener took it in.
struct caller_request
{
    workload_name workload;
    run_request forward;
    /// Zero: the workload's own deadline.
    milliseconds deadline{0};
    std::string idempotency_key;
    /// The caller's X-Request-Id, for the log.
    std::string request_id;
};

/// @brief The one place where requests are served; safe for many threads.
class request_handler
{
  public:
    request_handler(control::control_loop& control,
                    const plan::active_plan& in_force, run_client& runs,
                    key_services keys, metrics::registry& meters)
        : m_control(control), m_plan(in_force), m_runs(runs), m_keys(keys),
          m_workers(keys.workers), m_meters(meters)
    {
    }

    /// @brief Serves a request; blocks until its final answer.
    [[nodiscard]] auto serve(const caller_request& request) -> caller_answer;

    /// @brief Counts a refusal that needs no look at the workload.
    /// @return the answer to it
    [[nodiscard]] auto refuse(const refusal& why) -> caller_answer;

    /// @brief Cancels all requests of that id: refuses those that wait, and
    ///        has running ones stopped; blocks until their workers have
    ///        answered.
    /// @return how many there were
    [[nodiscard]] auto cancel(const std::string& request_id) -> std::size_t;

  private:
    /// What is needed through all attempts of one request.
    struct request_state
    {
        const caller_request& request;
        plan::plan_ptr in_force;
        const plan::workload* workload = nullptr;
        time_point arrived;
        time_point deadline;
        open_request& open;
        int attempts = 0;
        /// Set for a keyed request that may run at most once.
        std::optional<key_guard> key;
    };

    /// Either the final answer, or nothing: try again.
    using step_result = std::optional<caller_answer>;

    auto find_workload(const caller_request& request,
                       const plan::plan_ptr& in_force)
        -> std::variant<const plan::workload*, caller_answer>;
    auto run_to_end(request_state& state) -> caller_answer;
    auto guard_key(request_state& state) -> void;
    auto meter(const request_state& state, const caller_answer& answer) -> void;
    auto note_waiting(const request_state& state) -> void;
    auto wait_for_place(const request_state& state) -> placement_answer;
    auto attempt(request_state& state, const grant& where) -> step_result;
    auto on_answer(request_state& state, const grant& where, run_end end,
                   std::chrono::microseconds run_time) -> step_result;
    auto on_unknown(const request_state& state, const grant& where)
        -> step_result;
    auto not_started(const request_state& state, const grant& where,
                     ownership::attempt_outcome outcome) -> step_result;
    /// The end of a cancelled request that has not run and will not.
    auto cancelled_answer() -> caller_answer;
    auto settle(const grant& where) -> std::optional<worker::attempt_state>;
    /// Whether the attempt has ended for certain; stops it where it runs.
    auto ended(const grant& where, std::optional<worker::attempt_state> found)
        -> bool;
    auto release(const grant& where, ownership::attempt_outcome outcome,
                 std::chrono::microseconds run_time) -> void;
    auto may_retry(const request_state& state) -> bool;

    control::control_loop& m_control;
    const plan::active_plan& m_plan;
    run_client& m_runs;
    key_services m_keys;
    worker::http_worker& m_workers;
    metrics::registry& m_meters;
    std::atomic<std::uint64_t> m_numbers{0};
    open_requests m_open;
    std::mutex m_budget_mutex;
    policy::retry_budget m_budget;
};

} // namespace pimentoshunt::entry
