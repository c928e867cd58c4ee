/// @file
/// What the control thread is told, one type each.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/control/status.hpp>
#include <pimentoshunt/entry/queued_request.hpp>
#include <pimentoshunt/jobs/job_coordinator_events.hpp>
#include <pimentoshunt/membership/member_table.hpp>
#include <pimentoshunt/ownership/worker_keeper.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/platform/port.hpp>

#include <pimentoshunt.pb.h>

#include <cstdint>  // uint64_t
#include <future>   // promise
#include <memory>   // shared_ptr
#include <optional> // optional
#include <variant>  // variant
#include <vector>   // vector

namespace pimentoshunt::control
{

/// @brief A message of another instance.
struct peer_message
{
    wire::envelope envelope;
};

/// @brief A caller's request waits for a worker.
struct request_arrived
{
    entry::queued_request_ptr item;
};

/// @brief Its caller gave it up, or its deadline passed.
struct request_cancelled
{
    std::uint64_t number = 0;
};

/// @brief A traffic thread is done with a grant.
struct attempt_ended
{
    entry::grant item;
    ownership::attempt_outcome outcome = ownership::attempt_outcome::finished;
    std::chrono::microseconds run_time{0};
};

/// @brief A worker answered a fence, or did not.
struct fence_ended
{
    worker_id worker;
    worker::epoch_number epoch = 0;
    ownership::fence_answer answer = ownership::fence_answer::unknown;
    worker::state_report report;
};

/// @brief A worker answered an inspection, or did not.
struct inspection_ended
{
    worker_id worker;
    std::uint64_t number = 0;
    std::optional<worker::state_report> report;
};

/// @brief A worker answered a revocation, or did not.
struct revocation_ended
{
    worker_id worker;
    attempt_id attempt;
    std::optional<worker::attempt_state> state;
};

/// @brief The platform's list and the table's rows of instances were read.
struct list_read
{
    platform::instance_list list;
    /// When the question was sent.
    time_point asked_at;
    /// Instances that registered themselves in the table.
    std::vector<membership::member> registered;
    /// Workers that the operators drain.
    std::vector<worker_id> drained;
};

/// @brief The table was asked for the plan and answered.
struct plan_read
{
    /// Null when no plan was ever accepted.
    plan::plan_ptr found;
    /// When the question was sent: no later plan was missed before that.
    time_point asked_at;
};

/// @brief This instance accepted a plan from an operator.
struct plan_accepted
{
    plan::plan_ptr accepted;
    time_point asked_at;
};

/// @brief Stop gracefully: own and take nothing new.
struct drain_begun
{
};

/// @brief Tell the other instances of a job that was submitted or cancelled.
struct job_announced
{
    job_id job;
    bool cancelled = false;
};

/// @brief The time for draining is over: whatever waits still is refused.
struct drain_over
{
};

/// @brief Somebody wants to see the state.
struct status_wanted
{
    std::shared_ptr<std::promise<cell_status>> answer;
};

using event =
    std::variant<peer_message, request_arrived, request_cancelled,
                 attempt_ended, fence_ended, inspection_ended, revocation_ended,
                 list_read, plan_read, plan_accepted, drain_begun, drain_over,
                 status_wanted, jobs::job_coordinator_event, job_announced>;

} // namespace pimentoshunt::control
