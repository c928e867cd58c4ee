/// @file
/// Serves callers' requests to services: queues each for a worker, executes it
/// there with retries, and returns the whole response or a reliable statement
/// whether the request was executed.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/control/control_loop.hpp>
#include <pimentoshunt/entry/caller_response.hpp>
#include <pimentoshunt/entry/idempotency_guard.hpp>
#include <pimentoshunt/entry/open_requests.hpp>
#include <pimentoshunt/entry/queued_request.hpp>
#include <pimentoshunt/entry/run_client.hpp>
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

/// @brief A caller's request as received by the listener.
struct caller_request
{
    workload_name workload;
    run_request forward;
    /// Time limit; zero for the workload's own.
    milliseconds deadline{0};
    /// Empty when the caller sent none.
    std::string idempotency_key;
    /// X-Request-Id, for logging and cancellation.
    std::string request_id;
};

/// @brief Serves requests on the listener's threads. Thread-safe; one object
/// for each instance.
class request_handler
{
  public:
    request_handler(control::control_loop& control,
                    const plan::active_plan& in_force, run_client& runs,
                    idempotency_services keys, metrics::registry& meters)
        : m_control(control), m_plan(in_force), m_runs(runs), m_keys(keys),
          m_workers(keys.workers), m_meters(meters)
    {
    }

    /// @brief Serves a request; blocks until its final response.
    [[nodiscard]] auto serve(const caller_request& request) -> caller_response;

    /// @brief Counts a refusal that does not depend on the workload.
    /// @return the response to the refused request
    [[nodiscard]] auto refuse(const refusal& why) -> caller_response;

    /// @brief Cancels all requests with the id: refuses queued ones and stops
    ///        running ones; blocks until their workers have answered.
    /// @return the number of requests with the id
    [[nodiscard]] auto cancel(const std::string& request_id) -> std::size_t;

  private:
    /// The state of one request through all its attempts.
    struct request_state
    {
        const caller_request& request;
        plan::plan_ptr in_force;
        const plan::workload* workload = nullptr;
        time_point arrived;
        time_point deadline;
        open_request& open;
        int attempts = 0;
        /// Set for a request with an idempotency key whose workload is not
        /// idempotent.
        std::optional<idempotency_guard> key;
    };

    /// The final response, or nothing when another attempt follows.
    using step_result = std::optional<caller_response>;

    /// The requested service, or the error response when there is none.
    auto find_workload(const caller_request& request,
                       const plan::plan_ptr& in_force)
        -> std::variant<const plan::workload*, caller_response>;
    auto run_to_end(request_state& state) -> caller_response;
    /// Guards a request that has a key and whose workload is not idempotent.
    auto create_idempotency_guard(request_state& state) -> void;
    auto record_metrics(const request_state& state,
                        const caller_response& response) -> void;
    /// Records the waiting time in the metrics.
    auto record_wait(const request_state& state) -> void;
    /// Queues the request and waits until it is placed or refused.
    auto wait_for_placement(const request_state& state) -> placement_result;
    /// Sends one attempt to the granted worker and handles its result.
    auto attempt(request_state& state, const grant& where) -> step_result;
    auto on_response(request_state& state, const grant& where,
                     attempt_result end, std::chrono::microseconds run_time)
        -> step_result;
    /// Handles an attempt of unknown outcome by asking its worker.
    auto on_unknown(const request_state& state, const grant& where)
        -> step_result;
    /// Handles an attempt that its worker did not start.
    auto on_not_started(const request_state& state, const grant& where,
                        ownership::attempt_outcome outcome) -> step_result;
    /// The response to a cancelled request that was not and will not be
    /// executed.
    auto cancelled_response() -> caller_response;
    /// Revokes an attempt at its worker and returns its state; nothing when the
    /// worker does not answer.
    auto revoke_attempt(const grant& where)
        -> std::optional<worker::attempt_state>;
    /// Whether the attempt has certainly ended; stops it if it is running.
    auto has_ended(const grant& where,
                   std::optional<worker::attempt_state> found) -> bool;
    /// Reports the attempt's end to the control thread, which releases the
    /// worker's capacity.
    auto release_grant(const grant& where, ownership::attempt_outcome outcome,
                       std::chrono::microseconds run_time) -> void;
    /// Whether another attempt is allowed by the deadline, the attempt limit,
    /// the retry budget, and the absence of a cancellation.
    auto can_retry(const request_state& state) -> bool;

    control::control_loop& m_control;
    const plan::active_plan& m_plan;
    run_client& m_runs;
    idempotency_services m_keys;
    worker::http_worker& m_workers;
    metrics::registry& m_meters;
    std::atomic<std::uint64_t> m_numbers{0};
    open_requests m_open;
    std::mutex m_budget_mutex;
    policy::retry_budget m_budget;
};

} // namespace pimentoshunt::entry
