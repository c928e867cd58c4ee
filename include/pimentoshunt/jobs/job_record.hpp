/// @file
/// A batch or gang job as the table keeps it: a specification that never
/// changes, and the progress that the owner of its partition writes.
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

/// Each job belongs to one partition by the hash of its id.
inline constexpr int partition_count = 64;

/// @brief What a client submitted.
struct job_spec
{
    job_id id;
    workspace_name workspace;
    workload_name workload;
    /// All tasks start together or none does.
    bool gang = false;
    std::int64_t tasks = 1;
    /// What one task takes.
    resources each;
    /// Declared run time of one task.
    milliseconds run_time{1'000};
    /// Whether a task that may have run may run again.
    bool idempotent = true;
    /// Runs of one task that may fail before the job fails.
    int max_attempts = 3;
    /// Handed to each task unchanged.
    std::string body;
};

/// @brief Where a job stands.
enum class job_state
{
    active,
    succeeded,
    failed,
    cancelled
};

/// @brief Whose fault a failed job is.
enum class job_fault
{
    none,
    /// A task failed on several different workers: the job's own.
    job,
    /// A task used up its attempts, on too few workers to blame the job.
    attempts_used,
    /// A task of a job that is not idempotent may have run, and its outcome is
    /// lost.
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

/// @brief What has become of the job so far.
struct job_progress
{
    job_state state = job_state::active;
    job_fault fault = job_fault::none;
    /// In words, for the job's submitter.
    std::string reason;
    /// Tasks that ended with exit status 0.
    task_set done;
    /// Tasks that may have started; kept only when not idempotent.
    task_set started;
    /// Workers on which a task may have started: recorded before the first
    /// start there, so that a later owner knows whom to ask.
    std::vector<job_worker> workers;
    std::vector<task_failures> failures;
};

/// @brief A job.
struct job_record
{
    job_spec spec;
    job_progress progress;
};

/// @brief The partition of a job: 0 to partition_count - 1.
[[nodiscard]] auto partition_of(const job_id& id) -> int;

/// @brief The partition's name, as "p5".
[[nodiscard]] auto partition_name(int partition) -> std::string;

[[nodiscard]] auto serialize(const job_spec& spec) -> std::string;
[[nodiscard]] auto parse_job_spec(const std::string& text)
    -> std::optional<job_spec>;
[[nodiscard]] auto serialize(const job_progress& progress) -> std::string;
[[nodiscard]] auto parse_job_progress(const std::string& text)
    -> std::optional<job_progress>;

/// @brief Whether one task fits on an empty worker of @p capacities; for a
/// gang, whether all its tasks fit on them at once.
/// @note For a gang first fit decides: it may say "no" for a gang that only a
///       cleverer packing could place, when tasks differ; tasks of one gang
///       are equal, so it is exact.
/// @complexity linear in the number of workers
[[nodiscard]] auto can_fit(const job_spec& spec,
                           const std::vector<resources>& capacities) -> bool;

} // namespace pimentoshunt::jobs
