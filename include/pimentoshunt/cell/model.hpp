/// @file
/// Data model of a cell: queues, services, workers, and jobs with their steps,
/// tasks and runs. Plain values without I/O.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/resources.hpp>

#include <array>      // array
#include <chrono>     // sys_time
#include <compare>    // operator<=>
#include <cstddef>    // size_t
#include <cstdint>    // uint32_t, int64_t
#include <functional> // hash
#include <map>        // map
#include <string>     // string
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// A queue to which callers submit jobs.
using queue_name = identifier<struct queue_tag>;
/// A pool of workers that runs the jobs of some queues.
using service_name = identifier<struct service_tag>;
/// A physical machine; a worker is one incarnation of it.
using machine_id = identifier<struct machine_tag>;

/// Wall-clock time, by which jobs are scheduled.
using calendar_time = std::chrono::sys_time<milliseconds>;
/// A reading of one worker's own monotonic clock.
using worker_time = milliseconds;

/// @brief Expected cost and results of the approval service of a queue.
struct approval_config
{
    bool required = false;
    /// Expected time of one call, and additional time for each worker named in
    /// it.
    std::chrono::duration<double, std::milli> time_per_call{0};
    std::chrono::duration<double, std::milli> time_per_worker{0};
    /// How long a ticket is valid.
    milliseconds ticket_lifetime{0};
};

/// @brief Settings of one queue in the current configuration.
struct queue_config
{
    queue_name name;
    service_name service;
    /// Lower comes first; priority 0 may displace other work.
    std::uint32_t priority = 0;
    /// Number of failed runs of a task after which its job fails.
    std::uint32_t most_failures = 1;
    /// Factor on the longest dependency chain of a job in its completion
    /// objective.
    double stretch = 1.0;
    /// Time added to the completion objective of a job.
    milliseconds allowance{0};
    approval_config approval;
};

/// @brief Host and path under which requests for a queue arrive.
struct queue_route
{
    std::string host;
    /// Ends with a slash.
    std::string path_prefix;
    queue_config queue;
    /// Whether callers need no key. Only valid where @ref
    /// configuration::requires_keys is set; elsewhere no caller needs one.
    bool is_public = false;
};

/// Salted hash of a caller's key; see credentials.hpp.
using key_digest = std::array<std::uint8_t, 32>;

/// @brief A group of callers with keys, a limit and a share of the cell.
struct workspace_config
{
    workspace_name name;
    std::vector<key_digest> keys;
    /// Share of the workspace when the cell is full, in relation to others, and
    /// the number of jobs a second that it may expect to be served in time.
    double weight = 1.0;
    /// Most that its runs may take at a time; 0: no limit on that resource.
    resources limit;
};

/// @brief Settings of a pool of workers.
struct service_config
{
    service_name name;
    /// Whether its workers reject a start that does not fit; otherwise they
    /// accept every start.
    bool workers_enforce_capacity = false;
    /// Whether its machines are off until they are moved to another service.
    bool standby = false;
};

/// @brief One version of the operators' configuration.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<queue_route> routes;
    std::vector<service_config> services;
    /// Whether callers of routes that aren't public need a key of one of the
    /// workspaces.
    bool requires_keys = false;
    std::vector<workspace_config> workspaces;
    std::size_t max_body_bytes = 262'144;
    std::size_t max_header_bytes = 16'384;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};

    /// @brief Finds the route with the longest prefix of a request's path.
    /// @param host  value of the Host header; its port is ignored
    /// @return nullptr if no route matches
    [[nodiscard]] auto find_route(const std::string& host,
                                  const std::string& path) const
        -> const queue_route*;
    /// @brief Finds a queue by name.
    /// @return nullptr if there is none
    [[nodiscard]] auto find_queue(const queue_name& name) const
        -> const queue_config*;
    /// @brief Finds a workspace by name.
    /// @return nullptr if there is none
    [[nodiscard]] auto find_workspace(const workspace_name& name) const
        -> const workspace_config*;
};

/// @brief A group of identical tasks of a job.
struct step_spec
{
    std::uint32_t count = 0;
    resources need;
    /// Duration of a task as the submitter expects it; often far off.
    milliseconds estimate{0};
    /// Indexes of steps of the same job that must have finished first.
    std::vector<std::uint32_t> after;
    /// Whether tasks write checkpoints from which a later run resumes.
    bool keeps_checkpoints = false;
    /// Whether all tasks cooperate, and therefore start and end together.
    bool gang = false;
    /// Whether the gang should be placed on one rack, as it is slow across
    /// several.
    bool one_rack = false;
    /// Whether two copies of a task may run at the same time.
    bool copies_allowed = false;
    /// Whether tasks run until the job is cancelled.
    bool lasting = false;
    /// Whether tasks are best effort: they use processor time that others
    /// leave, so that their processors don't count against a worker's capacity.
    bool filler = false;
    /// Label that a worker must have; empty: any worker.
    std::string required_label;
    /// Rack that holds the data; empty: any rack.
    std::string data_rack;
    /// Maximum number of tasks of one round on one worker; 0: no limit.
    std::uint32_t most_per_worker = 0;
    /// Image that the tasks run: tasks of one image behave alike.
    std::string image;
    /// Upper bound for the tail of a lasting task's response times; 0: none.
    milliseconds tail_target{0};
    /// How many tasks of a lasting step the scheduler may interrupt at a time;
    /// only valid with @ref limits_absence.
    std::uint32_t may_be_away = 0;
    /// Whether @ref may_be_away is set.
    bool limits_absence = false;
};

/// @brief A job as it was submitted.
struct job_spec
{
    job_id id;
    /// The queue's settings when the job was accepted.
    queue_config queue;
    /// Workspace of the caller; empty: none.
    workspace_name workspace;
    /// Passed to each task unchanged.
    std::string payload;
    std::vector<step_spec> steps;
    /// Number of occurrences of a scheduled job; 0: it runs once, immediately.
    std::uint32_t occurrences = 0;
    calendar_time first_due{};
    milliseconds interval{0};
    /// When an instance accepted the job, by its wall clock; the epoch of that
    /// clock: not known.
    calendar_time accepted_at{};

    /// @brief How often the steps run: once for each occurrence.
    [[nodiscard]] auto rounds() const noexcept -> std::uint32_t
    {
        return occurrences == 0 ? 1 : occurrences;
    }
};

/// @brief State of a job as callers see it.
enum class job_state
{
    queued,
    running,
    succeeded,
    failed,
    cancelled
};

/// @brief Whether a job in that state never leaves it.
[[nodiscard]] constexpr auto is_final(job_state state) noexcept -> bool
{
    return state == job_state::succeeded || state == job_state::failed ||
           state == job_state::cancelled;
}

/// @brief Name of the state in logs and in responses to callers.
[[nodiscard]] auto to_string(job_state state) -> std::string;

/// @brief Identifies a step in one round of a job.
struct step_ref
{
    job_id job;
    std::uint32_t round = 0;
    std::uint32_t step = 0;

    friend auto operator<=>(const step_ref&, const step_ref&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
};

/// @brief Identifies a task.
struct task_ref
{
    step_ref step;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_ref&, const task_ref&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
};

/// @brief Identifies one run of a task; later runs of a task have higher
/// numbers.
struct run_ref
{
    task_ref task;
    std::uint64_t number = 0;

    friend auto operator<=>(const run_ref&, const run_ref&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
};

/// @brief Formats a task as "JOB.ROUND.STEP.INDEX" for logs.
[[nodiscard]] auto to_string(const task_ref& task) -> std::string;

/// @brief Entry with which a worker registers itself.
struct worker_entry
{
    worker_id id;
    /// Wall-clock time of its start, which distinguishes its incarnations;
    /// later ones are greater.
    calendar_time incarnation{};
    service_name service;
    machine_id machine;
    std::string address;
    data_centre_name data_centre;
    /// Includes its kind and its rack.
    std::vector<std::string> labels;
    std::string rack;
    resources capacity;
    bool draining = false;
    /// Minimum time until it leaves; only valid while it drains.
    milliseconds leaves_in{0};
};

/// @brief Whether two entries of a worker name the same incarnation at the same
/// address.
[[nodiscard]] auto names_same_process(const worker_entry& left,
                                      const worker_entry& right) -> bool;

/// @brief What a worker says of itself in the answer to an order.
struct worker_reading
{
    worker_time clock{0};
    /// Its incarnation; the epoch of the clock: the answer does not name it.
    calendar_time incarnation{};
};

/// @brief How a run ended on its worker.
enum class run_end
{
    done,
    failed,
    stopped,
    /// Its lease expired.
    lease_expired,
    /// Its worker's process ended without a report of it.
    worker_ended,
    /// Another member of its gang ended.
    gang_member_ended,
    /// The other members of its gang did not start.
    gang_incomplete
};

/// @brief Name of the end in logs.
[[nodiscard]] auto to_string(run_end how) -> std::string;

/// @brief A run that a worker reports as present.
struct reported_run
{
    run_ref run;
    std::string checkpoint;
    /// Progress from 0 to 100; a lasting task that is serving reports 100.
    std::uint32_t percent = 0;
    /// Over the last half second: the tail of response times in milliseconds
    /// for a task with a tail target, otherwise the millicpus in use.
    std::int64_t load = 0;
};

/// @brief A run that a worker reports as ended.
struct reported_end
{
    /// Increases by one with each end in one incarnation of the worker.
    std::uint64_t number = 0;
    run_ref run;
    run_end how = run_end::failed;
    std::string checkpoint;
};

/// @brief A worker's answer to a heartbeat: its runs and unacknowledged ends.
struct run_report
{
    calendar_time incarnation{};
    worker_time clock{0};
    std::vector<reported_run> present;
    std::vector<reported_end> ended;
    /// Whether the list of ends is complete. A worker lists further ends once
    /// these are acknowledged.
    bool all_ends_listed = true;
};

/// @brief Durable record of a worker that may have been given work.
struct roster_entry
{
    worker_entry entry;
    /// Whether the worker gets no further work, so that only @ref runs may run
    /// there.
    bool closed = false;
    struct run
    {
        run_ref ref;
        /// Whether it was there when the worker lost its connections.
        bool confirmed = false;
    };
    std::vector<run> runs;
    /// Whether its runs may have the longest lease that it grants: an order that
    /// was meant for an earlier incarnation may have asked for one.
    bool longest_lease = false;
    /// For how long before the row was written no owner can have extended a
    /// lease on the worker, at least; negative: for how long afterwards one may.
    milliseconds no_orders_for{0};
    /// Epoch of the writer of @ref no_orders_for, which extends no lease while
    /// the row shows it; 0: it is not known.
    std::uint64_t no_orders_epoch = 0;

    /// @brief Whether @ref no_orders_for is known.
    [[nodiscard]] auto shows_silence() const noexcept -> bool
    {
        return no_orders_epoch > 0;
    }
};

/// @brief A crash of the worker on which a run was.
struct worker_crash
{
    /// Age of the run when its worker fell silent.
    milliseconds age{0};
    /// Whether the run was certainly there: the worker is known to have begun
    /// it, and a lost connection shows when the worker ended.
    bool confirmed = false;
    /// Whether no other run on the worker is more suspect, as a young one is.
    bool likely = false;
    /// Whether the run was in a trial; see policy/crash_trials.hpp.
    bool in_trial = false;
};

/// @brief Durable progress of one round of a job.
struct round_progress
{
    std::uint32_t round = 0;
    /// Indexes of the finished tasks, by step.
    std::map<std::uint32_t, std::vector<std::uint32_t>> done;
    /// Failed runs.
    std::vector<run_ref> failures;
    /// Runs whose worker crashed.
    std::map<run_ref, worker_crash> crashes;
    /// Last checkpoints of tasks that are not running.
    std::map<task_ref, std::string> checkpoints;
};

/// @brief Durable progress of a job.
struct job_progress
{
    job_id id;
    job_state state = job_state::queued;
    std::vector<round_progress> rounds;
};

} // namespace pimentoshunt::cell
