/// @file
/// What the job desk is told and what it wants done.
#pragma once

#include <pimentoshunt/entry/queued_request.hpp>
#include <pimentoshunt/jobs/job_events.hpp>
#include <pimentoshunt/jobs/job_store.hpp>
#include <pimentoshunt/ownership/worker_keeper.hpp>

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <variant>  // variant
#include <vector>   // vector

namespace pimentoshunt::jobs
{

/// @brief A call to a worker on behalf of one job.
using worker_call = std::variant<start_task, renew_leases, inspect_attempt,
                                 stop_task, fence_worker>;

/// @brief Its end.
using worker_call_result =
    std::variant<start_result, lease_report, attempt_inspected, stop_result,
                 worker_fenced>;

/// @brief A worker's answer for one life of one partition's ownership.
struct worker_call_finished
{
    int partition = 0;
    std::uint64_t epoch = 0;
    worker_call_result call_result;
};

/// @brief A partition was read, and claimed when that was asked for.
struct partition_read
{
    int partition = 0;
    /// Whether it was read to be claimed.
    bool claiming = false;
    /// Nothing when the table did not answer, or another instance was faster.
    std::optional<partition_state> state;
    std::vector<job_record> jobs;
    std::vector<job_id> cancels;
};

/// @brief A job was submitted here, or another instance said that it was.
struct job_found
{
    job_record job;
};

/// @brief Somebody asked for the end of a job.
struct job_cancel_requested
{
    job_id job;
};

/// @brief One job's share of a commit.
struct persisted_job
{
    int partition = 0;
    std::uint64_t epoch = 0;
    progress_persisted progress;
};

/// @brief The end of a commit.
struct commit_finished
{
    std::vector<persisted_job> jobs;
    /// The claims with their new versions.
    std::vector<partition_state> claims;
    /// Partitions that another instance owns.
    std::vector<int> lost;
};

using job_coordinator_event =
    std::variant<worker_call_finished, partition_read, job_found,
                 job_cancel_requested, commit_finished>;

/// @brief A worker call with the partition it is for.
struct worker_call_request
{
    int partition = 0;
    std::uint64_t epoch = 0;
    worker_call call;
};

/// @brief A partition to read, or to claim.
struct partition_read_request
{
    int partition = 0;
    bool claim = false;
};

/// @brief One commit for all partitions of this instance.
struct commit_request
{
    std::vector<partition_update> updates;
    std::vector<persisted_job> jobs;
};

/// @brief An attempt that holds nothing any more.
struct ended_attempt
{
    entry::grant item;
    ownership::attempt_outcome outcome =
        ownership::attempt_outcome::never_started;
    std::chrono::microseconds run_time{0};
};

/// @brief Everything that the desk wants done.
struct job_coordinator_effects
{
    std::vector<worker_call_request> calls;
    std::vector<partition_read_request> reads;
    std::optional<commit_request> commit;
    std::vector<ended_attempt> ended;
};

} // namespace pimentoshunt::jobs
