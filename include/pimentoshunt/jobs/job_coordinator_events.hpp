/// @file
/// Events that a job_coordinator handles, and effects that it requests. The
/// control thread passes both between the coordinator and the I/O threads that
/// carry out the effects.
#pragma once

#include <pimentoshunt/entry/queued_request.hpp>
#include <pimentoshunt/jobs/job_events.hpp>
#include <pimentoshunt/jobs/job_store.hpp>
#include <pimentoshunt/ownership/worker_manager.hpp>

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <variant>  // variant
#include <vector>   // vector

namespace pimentoshunt::jobs
{

/// @brief A call to a worker on behalf of one partition's jobs.
using worker_call = std::variant<start_task, renew_leases, inspect_attempt,
                                 stop_task, fence_worker>;

/// @brief The result of a worker_call.
using worker_call_result =
    std::variant<start_result, lease_report, attempt_inspected, stop_result,
                 worker_fenced>;

/// @brief A worker call has ended, for one epoch of a partition's ownership.
struct worker_call_finished
{
    int partition = 0;
    std::uint64_t epoch = 0;
    worker_call_result call_result;
};

/// @brief A partition was read, and claimed if the request asked for it.
struct partition_read
{
    int partition = 0;
    /// Whether the request was to claim the partition.
    bool claiming = false;
    /// Nothing when the table did not answer, or another instance claimed the
    /// partition first.
    std::optional<partition_state> state;
    std::vector<job_record> jobs;
    std::vector<job_id> cancels;
};

/// @brief A job was submitted at this instance, or another instance reported a
/// submission.
struct job_found
{
    job_record job;
};

/// @brief A caller requested the cancellation of a job.
struct job_cancel_requested
{
    job_id job;
};

/// @brief One job's part of a commit.
struct persisted_job
{
    int partition = 0;
    std::uint64_t epoch = 0;
    progress_persisted progress;
};

/// @brief A commit has ended.
struct commit_finished
{
    std::vector<persisted_job> jobs;
    /// The claims with their current versions.
    std::vector<partition_state> claims;
    /// Partitions that another instance owns now.
    std::vector<int> lost;
};

using job_coordinator_event =
    std::variant<worker_call_finished, partition_read, job_found,
                 job_cancel_requested, commit_finished>;

/// @brief A requested worker call, with the partition and epoch it belongs to.
struct worker_call_request
{
    int partition = 0;
    std::uint64_t epoch = 0;
    worker_call call;
};

/// @brief A requested read of a partition, with or without a claim.
struct partition_read_request
{
    int partition = 0;
    bool claim = false;
};

/// @brief A requested commit for all partitions of this instance.
struct commit_request
{
    std::vector<partition_update> updates;
    std::vector<persisted_job> jobs;
};

/// @brief An attempt that no longer holds capacity at its worker.
struct ended_attempt
{
    entry::grant item;
    ownership::attempt_outcome outcome =
        ownership::attempt_outcome::never_started;
    std::chrono::microseconds run_time{0};
};

/// @brief All effects requested since the last job_coordinator::take_effects().
struct job_coordinator_effects
{
    std::vector<worker_call_request> calls;
    std::vector<partition_read_request> reads;
    std::optional<commit_request> commit;
    std::vector<ended_attempt> ended;
};

} // namespace pimentoshunt::jobs
