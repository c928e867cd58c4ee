/// @file
/// What goes into a job tracker and what it asks for.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/jobs/job_record.hpp>
#include <pimentoshunt/worker/port.hpp>

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <variant>  // variant
#include <vector>   // vector

namespace pimentoshunt::jobs
{

/// @brief A placement that was granted to a job by a worker's owner.
struct placement_granted
{
    job_id job;
    /// Unique for all time, made by the granter.
    attempt_id attempt;
    job_worker worker;
    /// The worker's epoch, under which the start is valid.
    worker::epoch_number epoch = 0;
};

/// @brief How a call to start a task ended.
enum class start_status
{
    started,
    /// Refused, or certainly not sent: nothing has run.
    not_run,
    /// It may have been started.
    unknown
};

/// @brief Reads the worker's own answer to a start.
[[nodiscard]] inline auto start_status_of(const worker::start_outcome& outcome)
    -> start_status
{
    if (!outcome.refused)
    {
        return start_status::started;
    }
    // Each start is sent once: one that was seen before did arrive.
    return *outcome.refused == worker::refusal::duplicate
               ? start_status::unknown
               : start_status::not_run;
}

/// @brief Reads the failure of a call to start a task.
[[nodiscard]] inline auto start_status_of(const error& fault) -> start_status
{
    return worker::certainly_not_run(fault) ? start_status::not_run
                                            : start_status::unknown;
}

/// @brief The end of a start_task effect.
struct start_result
{
    attempt_id attempt;
    start_status status = start_status::unknown;
};

/// @brief The end of a renew_leases effect.
struct lease_report
{
    worker_id worker;
    /// Those that the effect named.
    std::vector<attempt_id> attempts;
    /// Whether the worker answered.
    bool answered = false;
    /// Those that no longer run, when it answered.
    std::vector<attempt_id> lapsed;
};

/// @brief The end of an inspect_attempt effect.
struct attempt_inspected
{
    attempt_id attempt;
    /// Nothing when the worker did not answer.
    std::optional<worker::attempt_report> report;
};

/// @brief The end of a stop_task effect.
struct stop_result
{
    attempt_id attempt;
    bool stopped = false;
};

/// @brief The end of a fence_worker effect, or a report of a later one.
struct worker_fenced
{
    job_worker worker;
    /// Whether the worker took the partition's epoch; its list is then whole.
    bool accepted = false;
    std::vector<worker::running_task> running;
};

/// @brief The end of a persist_progress effect.
struct progress_persisted
{
    job_id job;
    std::uint64_t sequence = 0;
    bool committed = false;
};

/// @brief Asks for placements of one job; replaces what was asked before, of
/// which each placement granted has used up one.
struct placement_request
{
    job_id job;
    workload_name workload;
    std::int64_t count = 0;
    /// Workers on which tasks of the job failed; others are better.
    std::vector<worker_id> avoid;
};

/// @brief Send a start to a worker; answer with start_result.
struct start_task
{
    job_worker worker;
    worker::task_start start;
};

/// @brief Renew leases at a worker; answer with lease_report.
struct renew_leases
{
    job_worker worker;
    std::vector<attempt_id> attempts;
    milliseconds lease{0};
};

/// @brief Revoke an attempt at its worker, which looks it up; answer with
/// attempt_inspected.
struct inspect_attempt
{
    job_worker worker;
    attempt_id attempt;
};

/// @brief Stop a task at its worker; answer with stop_result.
struct stop_task
{
    job_worker worker;
    attempt_id attempt;
};

/// @brief Fence the partition at a worker; answer with worker_fenced.
struct fence_worker
{
    job_worker worker;
    std::string partition;
    std::uint64_t epoch = 0;
};

/// @brief Commit a job's progress; answer with progress_persisted.
struct persist_progress
{
    job_id job;
    std::uint64_t sequence = 0;
    job_progress progress;
};

/// @brief How an attempt ended, for the worker's owner and its statistics.
enum class attempt_outcome
{
    not_run,
    succeeded,
    failed,
    /// Stopped by a request, by its lease or for a reason not known.
    stopped
};

/// @brief The attempt holds nothing at its worker any more.
struct release_placement
{
    job_id job;
    attempt_id attempt;
    worker_id worker;
    attempt_outcome outcome = attempt_outcome::not_run;
};

/// @brief The job's end is committed; the tracker has forgotten it.
struct job_ended
{
    job_id job;
    job_state state = job_state::succeeded;
};

/// @brief Everything that a tracker asks for.
using job_effect = std::variant<placement_request, start_task, renew_leases,
                                inspect_attempt, stop_task, fence_worker,
                                persist_progress, release_placement, job_ended>;

} // namespace pimentoshunt::jobs
