/// @file
/// What the scheduler wants done, and how the outside answers.
#pragma once

#include <pimentoshunt/cell/model.hpp>

#include <cstdint>  // uint64_t
#include <memory>   // shared_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::cell
{

/// @brief Where an order goes, and under whose authority.
struct order_target
{
    worker_id worker;
    std::string address;
    /// Epoch of the ownership; the worker refuses lower ones.
    std::uint64_t epoch = 0;
    /// The life that is meant; the next one may get the order.
    calendar_time incarnation{};
};

/// @brief Start one run.
struct start_order
{
    order_target target;
    run_ref run;
    std::shared_ptr<const job_spec> job;
    /// Empty: from the beginning.
    std::string checkpoint;
    /// Proof of approval; empty where the queue needs none.
    std::string ticket;
    /// The lease of all that runs there, by the worker's clock.
    worker_time lease_end{0};
};

/// @brief End one run; also keeps a run from starting that has not come yet.
struct stop_order
{
    order_target target;
    run_ref run;
};

/// @brief Renew the lease of all runs, take note of ends, and list the rest.
struct heartbeat_order
{
    order_target target;
    /// Grows with each hold of a worker; an answer to an earlier one is stale.
    std::uint64_t number = 0;
    /// Left out when no order may prolong what runs.
    std::optional<worker_time> lease_end;
    /// Ends up to this number are stored and may be forgotten.
    std::uint64_t ends_durable = 0;
    /// How long the answer may wait for the next end.
    milliseconds wait{0};
};

/// @brief Let a filling run work at a share of its speed.
struct pace_order
{
    order_target target;
    run_ref run;
    /// 0 to 100.
    std::uint32_t percent = 100;
};

/// @brief Ask which workers may run a step.
struct approval_request
{
    step_ref step;
    std::vector<worker_id> workers;
    /// Lower comes first.
    std::uint32_t priority = 0;
    /// How long the answer should take once the call is being served.
    milliseconds expected{0};
};

/// A call to the approval service that takes longer is a slow one: the service
/// serves one call at a time for each instance.
inline constexpr milliseconds slow_approval_threshold{200};

/// @brief One worker that may run the step.
struct approval
{
    worker_id worker;
    std::string ticket;
};

/// @brief The answer; nothing when the call failed.
struct approval_response
{
    step_ref step;
    std::vector<worker_id> asked;
    std::optional<std::vector<approval>> approved;
    milliseconds ticket_lifetime{0};
};

/// @brief How a start was answered.
enum class start_outcome
{
    started,
    /// A higher epoch gives the orders.
    fenced,
    /// The worker has seen this run or a later one end.
    outdated,
    /// The lease had ended when the order came.
    late,
    no_room,
    bad_ticket,
    /// The worker is unhealthy and did nothing.
    unhealthy,
    /// It can never be started.
    invalid,
    /// Certainly not sent.
    unreachable,
    /// No answer: it may start at any time until it is stopped.
    unknown
};

/// @brief The outcome's name in logs.
[[nodiscard]] auto to_string(start_outcome outcome) -> std::string;

/// @brief Rows to be written: progress of jobs, and what may be forgotten once
/// it is durable.
struct progress_batch
{
    std::uint64_t number = 0;
    std::vector<job_progress> jobs;
};

/// @brief A worker's new row in the durable roster.
struct roster_write
{
    roster_entry worker;
    /// Version of the row that it replaces; 0: none.
    std::uint64_t replaces = 0;
};

/// @brief A row that the roster loses.
struct roster_removal
{
    worker_id worker;
    std::uint64_t replaces = 0;
};

/// @brief Changes of the durable roster of workers that may have work.
struct roster_change
{
    std::vector<roster_write> writes;
    std::vector<roster_removal> removals;
};

/// @brief All that the scheduler wants done since it was last asked.
struct outbox
{
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<heartbeat_order> heartbeats;
    std::vector<pace_order> paces;
    std::vector<approval_request> approval_requests;
};

} // namespace pimentoshunt::cell
