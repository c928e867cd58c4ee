/// @file
/// A batch or gang job as stored in the table: a specification that never
/// changes, and the progress written by the owner of the job's partition.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/jobs/task_set.hpp>
#include <pimentoshunt/resources.hpp>

#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::jobs
{

/// Number of partitions; the hash of its id assigns a job to one of them.
inline constexpr int partition_count = 64;

/// @brief What a client submitted.
struct job_spec
{
    job_id id;
    workspace_name workspace;
    workload_name workload;
    /// Whether all tasks start together or none does.
    bool gang = false;
    std::int64_t tasks = 1;
    /// Resources of one task.
    resources each;
    /// Declared run time of one task.
    milliseconds run_time{1'000};
    /// Whether a task may run again after it has or may have run.
    bool idempotent = true;
    /// The job fails when one task has failed this often.
    int max_attempts = 3;
    /// Passed to each task unchanged.
    std::string body;
};

/// @brief The state of a job.
enum class job_state
{
    active,
    succeeded,
    failed,
    cancelled
};

/// @brief Why a job failed.
enum class job_fault
{
    none,
    /// A task failed on several different workers, so the job itself is faulty.
    job,
    /// A task used up its attempts on too few workers to attribute the failure
    /// to the job.
    attempts_used,
    /// A task of a job that is not idempotent may have run, and its outcome is
    /// unknown.
    outcome_unknown
};

[[nodiscard]] auto to_string(job_state value) -> std::string;
[[nodiscard]] auto to_string(job_fault value) -> std::string;

/// @brief A worker on which tasks of the job may run.
struct job_worker
{
    worker_id id;
    std::string url;
};

/// @brief A task that failed at least once.
struct task_failures
{
    std::int64_t task = 0;
    int count = 0;
    int last_exit = 0;
    /// Different workers on which it failed.
    std::vector<worker_id> workers;
};

/// @brief The progress of a job.
struct job_progress
{
    job_state state = job_state::active;
    job_fault fault = job_fault::none;
    /// Reason of a failure as text for the submitter; empty otherwise.
    std::string reason;
    /// Tasks that ended with exit status 0.
    task_set done;
    /// Tasks that may have started; kept only for jobs that are not idempotent.
    task_set started;
    /// Workers on which a task may have started. Recorded before the first
    /// start on a worker, so that a later owner knows which workers to fence.
    std::vector<job_worker> workers;
    std::vector<task_failures> failures;
};

/// @brief A job with its progress.
struct job_record
{
    job_spec spec;
    job_progress progress;
};

/// @brief The partition of a job: 0 to partition_count - 1.
[[nodiscard]] auto partition_of(const job_id& id) -> int;

/// @brief The partition's name, such as "p5".
[[nodiscard]] auto partition_name(int partition) -> std::string;

[[nodiscard]] auto serialize(const job_spec& spec) -> std::string;
[[nodiscard]] auto parse_job_spec(const std::string& text)
    -> std::optional<job_spec>;
[[nodiscard]] auto serialize(const job_progress& progress) -> std::string;
[[nodiscard]] auto parse_job_progress(const std::string& text)
    -> std::optional<job_progress>;

/// @brief Whether one task fits on an empty worker of @p capacities; for a
/// gang, whether all its tasks fit on these workers at the same time.
/// @note First fit is used for a gang. It would be a heuristic for tasks of
///       different sizes, but is exact because the tasks of a gang are equal.
/// @complexity linear in the number of workers
[[nodiscard]] auto can_fit(const job_spec& spec,
                           const std::vector<resources>& capacities) -> bool;

} // namespace pimentoshunt::jobs
