/// @file
/// Events handled by the engine on the control thread, one type each. I/O
/// threads, traffic threads and the transport post them.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/control/status.hpp>
#include <pimentoshunt/entry/queued_request.hpp>
#include <pimentoshunt/jobs/job_coordinator_events.hpp>
#include <pimentoshunt/membership/member_table.hpp>
#include <pimentoshunt/ownership/worker_manager.hpp>
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

/// @brief A message from another instance has arrived.
struct peer_message
{
    wire::envelope envelope;
};

/// @brief A caller's request has arrived and waits for a worker.
struct request_arrived
{
    entry::queued_request_ptr item;
};

/// @brief The caller has cancelled a request, or its deadline has passed.
struct request_cancelled
{
    std::uint64_t number = 0;
};

/// @brief A traffic thread has finished the attempt of a grant.
struct attempt_ended
{
    entry::grant item;
    ownership::attempt_outcome outcome = ownership::attempt_outcome::finished;
    std::chrono::microseconds run_time{0};
};

/// @brief A fence request to a worker has ended, with or without an answer.
struct fence_ended
{
    worker_id worker;
    worker::epoch_number epoch = 0;
    ownership::fence_answer answer = ownership::fence_answer::unknown;
    worker::state_report report;
};

/// @brief An inspection of a worker has ended; no report means no answer.
struct inspection_ended
{
    worker_id worker;
    std::uint64_t number = 0;
    std::optional<worker::state_report> report;
};

/// @brief A revocation at a worker has ended; no state means no answer.
struct revocation_ended
{
    worker_id worker;
    attempt_id attempt;
    std::optional<worker::attempt_state> state;
};

/// @brief The platform's list and the table's instance rows have been read.
struct list_read
{
    platform::instance_list list;
    /// Time at which the request was sent.
    time_point asked_at;
    /// Instances that registered themselves in the table.
    std::vector<membership::member> registered;
    /// Workers that operators drain.
    std::vector<worker_id> drained;
};

/// @brief The plan has been read from the table.
struct plan_read
{
    /// Null if no plan was ever accepted.
    plan::plan_ptr found;
    /// Time at which the request was sent: the answer includes every plan
    /// accepted before then.
    time_point asked_at;
};

/// @brief This instance has accepted a plan from an operator.
struct plan_accepted
{
    plan::plan_ptr accepted;
    time_point asked_at;
};

/// @brief A graceful stop has begun: this instance finishes its work, claims
///        no workers and takes no new work.
struct drain_started
{
};

/// @brief A job was submitted or cancelled; the other instances are notified.
struct job_announced
{
    job_id job;
    bool cancelled = false;
};

/// @brief The time limit for draining has passed: all waiting requests are
///        refused.
struct drain_timed_out
{
};

/// @brief A status request; the engine fulfils the promise.
struct status_requested
{
    std::shared_ptr<std::promise<cell_status>> answer;
};

using event =
    std::variant<peer_message, request_arrived, request_cancelled,
                 attempt_ended, fence_ended, inspection_ended, revocation_ended,
                 list_read, plan_read, plan_accepted, drain_started,
                 drain_timed_out, status_requested, jobs::job_coordinator_event,
                 job_announced>;

} // namespace pimentoshunt::control
