/// @file
/// What a cell is made of: queues, workers, jobs with their steps, tasks.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/resources.hpp>

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

/// A queue that callers hand jobs to.
using queue_name = identifier<struct queue_tag>;
/// A pool of workers that runs the jobs of some queues.
using service_name = identifier<struct service_tag>;
/// A physical machine; a worker is one life of it.
using machine_id = identifier<struct machine_tag>;

/// A point of the calendar, by which jobs are scheduled.
using calendar_time = std::chrono::sys_time<milliseconds>;
/// A reading of one worker's own clock.
using worker_time = milliseconds;

/// @brief How the approval service of a queue answers.
struct approval_config
{
    bool required = false;
    /// Time for one call, and for each worker named in it.
    std::chrono::duration<double, std::milli> time_per_call{0};
    std::chrono::duration<double, std::milli> time_per_worker{0};
    /// How long a ticket can be used.
    milliseconds ticket_lifetime{0};
};

/// @brief One queue as the configuration in force has it.
struct queue_config
{
    queue_name name;
    service_name service;
    /// 0 comes first and may displace others.
    std::uint32_t priority = 0;
    /// Failed runs of a task after which its job has failed.
    std::uint32_t most_failures = 1;
    /// The objective of a job: this times its longest chain of work, ...
    double stretch = 1.0;
    /// ... and this much more.
    milliseconds allowance{0};
    approval_config approval;
};

/// @brief Where requests for a queue arrive.
struct queue_route
{
    std::string host;
    /// Ends with a slash.
    std::string path_prefix;
    queue_config queue;
};

/// @brief A pool of workers as the configuration has it.
struct service_config
{
    service_name name;
    /// Its workers turn away what does not fit; otherwise they start all.
    bool workers_enforce_capacity = false;
    /// Its machines are off until they are moved elsewhere.
    bool standby = false;
};

/// @brief One version of the operators' configuration.
struct configuration
{
    std::uint64_t version = 0;
    std::vector<queue_route> routes;
    std::vector<service_config> services;
    std::size_t max_body_bytes = 262'144;
    std::size_t max_header_bytes = 16'384;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};

    /// @brief The route of a request: the longest prefix that its path has.
    /// @return nullptr when there is none
    [[nodiscard]] auto find_route(const std::string& host,
                                  const std::string& path) const
        -> const queue_route*;
    /// @brief The queue of that name, nullptr when there is none.
    [[nodiscard]] auto find_queue(const queue_name& name) const
        -> const queue_config*;
};

/// @brief Tasks of a job that are alike.
struct step_spec
{
    std::uint32_t count = 0;
    resources need;
    /// What the submitter expects a task to take; often far off.
    milliseconds estimate{0};
    /// Steps of the same job that must have ended before.
    std::vector<std::uint32_t> after;
    bool keeps_checkpoints = false;
    /// All tasks work together, and start and end as one.
    bool gang = false;
    /// The gang is slow when it spreads over racks.
    bool one_rack = false;
    /// Two copies of a task may run at once.
    bool copies_allowed = false;
    /// Runs until the job is cancelled.
    bool lasting = false;
    /// Takes the processor time that others leave; its need for processors
    /// does not count against a worker's capacity.
    bool filler = false;
    /// Label that a worker must have; empty: any.
    std::string required_label;
    /// Rack that holds the data; empty: any.
    std::string data_rack;
    /// Tasks of one occurrence on one worker; 0: no limit.
    std::uint32_t most_per_worker = 0;
    /// What the tasks run: tasks of one image behave alike.
    std::string image;
    /// Bound for the tail of a lasting task's response times; 0: none.
    milliseconds tail_target{0};
    /// Tasks of a lasting step that may be away by our own doing.
    std::uint32_t may_be_away = 0;
    bool limits_absence = false;
};

/// @brief A job as it was handed in.
struct job_spec
{
    job_id id;
    /// The queue as it was in force when the job was accepted.
    queue_config queue;
    /// Handed to each task unchanged.
    std::string payload;
    std::vector<step_spec> steps;
    /// Occurrences of a scheduled job; 0: it runs once, at once.
    std::uint32_t occurrences = 0;
    calendar_time first_due{};
    milliseconds interval{0};

    /// @brief How many times the steps run.
    [[nodiscard]] auto rounds() const noexcept -> std::uint32_t
    {
        return occurrences == 0 ? 1 : occurrences;
    }
};

/// @brief What callers are told of a job.
enum class job_state
{
    queued,
    running,
    succeeded,
    failed,
    cancelled
};

/// @brief Whether a job in that state stays in it.
[[nodiscard]] constexpr auto is_final(job_state state) noexcept -> bool
{
    return state == job_state::succeeded || state == job_state::failed ||
           state == job_state::cancelled;
}

/// @brief The state's name in logs and on the callers' interface.
[[nodiscard]] auto to_string(job_state state) -> std::string;

/// @brief One step of one occurrence of a job.
struct step_ref
{
    job_id job;
    std::uint32_t round = 0;
    std::uint32_t step = 0;

    friend auto operator<=>(const step_ref&, const step_ref&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
};

/// @brief One task.
struct task_ref
{
    step_ref step;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_ref&, const task_ref&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
};

/// @brief One run of a task: runs of a task have growing numbers.
struct run_ref
{
    task_ref task;
    std::uint64_t number = 0;

    friend auto operator<=>(const run_ref&, const run_ref&)
        -> std::strong_ordering = default; // NOLINT(modernize-use-nullptr)
};

/// @brief "JOB.ROUND.STEP.INDEX", for logs.
[[nodiscard]] auto to_string(const task_ref& task) -> std::string;

/// @brief What a worker registers about itself.
struct worker_entry
{
    worker_id id;
    /// Calendar time of its start, which tells its lives apart.
    calendar_time incarnation{};
    service_name service;
    machine_id machine;
    std::string address;
    data_centre_name data_centre;
    /// Its kind and its rack among them.
    std::vector<std::string> labels;
    std::string rack;
    resources capacity;
    bool draining = false;
    /// Least time until it leaves; meaningful while it drains.
    milliseconds leaves_in{0};
};

/// @brief How a run ended on its worker.
enum class run_end
{
    done,
    failed,
    stopped,
    /// Its lease ran out.
    lease_expired,
    /// Another member of its gang ended.
    gang_member_ended,
    /// The rest of its gang did not come.
    gang_incomplete
};

/// @brief The end's name in logs.
[[nodiscard]] auto to_string(run_end how) -> std::string;

/// @brief A run that a worker lists as present.
struct reported_run
{
    run_ref run;
    std::string checkpoint;
    /// Progress from 0 to 100; a lasting task is at work at 100.
    std::uint32_t percent = 0;
    /// Over the last half second: the tail of response times in milliseconds
    /// for a task with a target, else the millicpus in use.
    std::int64_t load = 0;
};

/// @brief A run that a worker lists as ended.
struct reported_end
{
    /// Grows by one with each end in one life of the worker.
    std::uint64_t number = 0;
    run_ref run;
    run_end how = run_end::failed;
    std::string checkpoint;
};

/// @brief All that a worker says of its runs.
struct run_report
{
    calendar_time incarnation{};
    worker_time clock{0};
    std::vector<reported_run> present;
    std::vector<reported_end> ended;
    /// Whether no end is missing: a worker lists the others once these are
    /// noted.
    bool all_ends_listed = true;
};

/// @brief Durable knowledge of a worker that may have been given work.
struct roster_entry
{
    worker_entry entry;
    /// It gets nothing more, and nothing but @ref runs may run there.
    bool closed = false;
    std::vector<run_ref> runs;
};

/// @brief Durable knowledge of one round of a job.
struct round_progress
{
    std::uint32_t round = 0;
    /// For each step, the indexes of the tasks that ended well.
    std::map<std::uint32_t, std::vector<std::uint32_t>> done;
    /// Failed runs, by their numbers.
    std::vector<run_ref> failures;
    /// Last checkpoints of tasks that are not running.
    std::map<task_ref, std::string> checkpoints;
};

/// @brief Durable knowledge of one job beyond its specification.
struct job_progress
{
    job_id id;
    job_state state = job_state::queued;
    std::vector<round_progress> rounds;
};

} // namespace pimentoshunt::cell
