/// @file
/// Orders from the scheduler to workers, the approval service and the store,
/// and their responses. Plain values without I/O.
#pragma once

#include <pimentoshunt/cell/model.hpp>

#include <cstdint>  // uint64_t
#include <memory>   // shared_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::cell
{

/// @brief Receiver of an order, and the epoch under which it is sent.
struct order_target
{
    worker_id worker;
    std::string address;
    /// Epoch of the ownership; a worker rejects lower ones than it has seen.
    std::uint64_t epoch = 0;
    /// Incarnation the order is meant for. A worker that has restarted since
    /// may still receive it.
    calendar_time incarnation{};
};

/// @brief Starts one run.
struct start_order
{
    order_target target;
    run_ref run;
    std::shared_ptr<const job_spec> job;
    /// Checkpoint to resume from; empty: start from the beginning.
    std::string checkpoint;
    /// Proof of approval; empty if the queue requires none.
    std::string ticket;
    /// End of the lease of all runs on the worker, by the worker's clock.
    worker_time lease_end{0};
};

/// @brief Ends one run; a start of that run which arrives later is rejected.
struct stop_order
{
    order_target target;
    run_ref run;
};

/// @brief Heartbeat to a worker: renews the lease of all its runs, acknowledges
/// ends, and asks for a report of its runs. The worker may delay its answer
/// until a run ends (long poll).
struct heartbeat_order
{
    order_target target;
    /// Increases with each heartbeat to a worker; answers to earlier ones are
    /// stale.
    std::uint64_t number = 0;
    /// New end of the lease, by the worker's clock; nothing: the lease is not
    /// renewed.
    std::optional<worker_time> lease_end;
    /// Ends up to this number are durable; the worker may forget them. 0: none
    /// besides those that it has been told of.
    std::uint64_t ends_durable = 0;
    /// How long the worker may wait for the next end before it answers.
    milliseconds wait{0};
};

/// @brief A worker's answer to a heartbeat, or why there is none.
struct heartbeat_answer
{
    std::optional<run_report> report;
    /// Whether the worker knows a later owner.
    bool fenced = false;
    /// Whether another worker answers at the address: the intended one has
    /// ended.
    bool replaced = false;
    /// Whether the connection was refused or closed; otherwise a missing answer
    /// does not tell when the worker ended, if it did.
    bool connection_lost = false;
    /// Why there is no report; for the log.
    std::string failure;
};

/// @brief Limits the speed of a best-effort run.
struct pace_order
{
    order_target target;
    run_ref run;
    /// Share of its full speed, from 0 to 100.
    std::uint32_t percent = 100;
};

/// @brief Asks the approval service which workers may run a step.
struct approval_request
{
    step_ref step;
    std::vector<worker_id> workers;
    /// Lower comes first.
    std::uint32_t priority = 0;
    /// Requests of the step that got no answer since the last one that did.
    std::uint32_t unanswered = 0;
    /// Expected duration of the call once the service handles it.
    milliseconds expected{0};
};

/// Expected duration from which a call to the approval service counts as slow.
/// The service handles one call at a time for each instance.
inline constexpr milliseconds slow_approval_threshold{200};

/// @brief A worker that may run the step, with the proof for its start order.
struct approval
{
    worker_id worker;
    std::string ticket;
};

/// @brief The service's answer to a request.
struct approval_response
{
    step_ref step;
    std::vector<worker_id> asked;
    std::optional<std::vector<approval>> approved;
    /// Lifetime of the tickets when the service issued them.
    milliseconds ticket_lifetime{0};
    /// Longest time since the tickets were issued.
    milliseconds age{0};
    /// Whether the request has already been reported as unanswered.
    bool late = false;
};

/// @brief Result of a start order.
enum class start_outcome
{
    started,
    /// The worker has seen a higher epoch.
    fenced,
    /// The worker has seen this run or a later one of the task end.
    outdated,
    /// The lease had expired when the order arrived.
    late,
    no_room,
    bad_ticket,
    /// The worker is unhealthy and did not start the run.
    unhealthy,
    /// The run can never be started.
    invalid,
    /// The order was certainly not sent.
    unreachable,
    /// No answer: the run may start at any time until it is stopped.
    unknown
};

/// @brief Name of the outcome in logs.
[[nodiscard]] auto to_string(start_outcome outcome) -> std::string;

/// @brief Progress of jobs to be written in one transaction. Once it is
/// durable, the ends it covers may be acknowledged to workers.
struct progress_batch
{
    std::uint64_t number = 0;
    std::vector<job_progress> jobs;
};

/// @brief A new row for a worker in the durable roster.
struct roster_write
{
    roster_entry worker;
    /// Version of the row to be replaced; 0: the row does not exist yet.
    std::uint64_t replaces = 0;
};

/// @brief A row to be removed from the roster.
struct roster_removal
{
    worker_id worker;
    std::uint64_t replaces = 0;
};

/// @brief Changes of the durable roster: the workers that may have been given
/// work.
struct roster_change
{
    std::vector<roster_write> writes;
    std::vector<roster_removal> removals;
};

/// @brief All orders and requests since the last call of @ref
/// scheduler::advance.
struct outbox
{
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<heartbeat_order> heartbeats;
    std::vector<pace_order> paces;
    std::vector<approval_request> approval_requests;
};

} // namespace pimentoshunt::cell
