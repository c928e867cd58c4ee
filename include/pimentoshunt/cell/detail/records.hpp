/// @file
/// The scheduler's own records of jobs, runs and workers.
#pragma once

#include <pimentoshunt/cell/model.hpp>
#include <pimentoshunt/cell/orders.hpp>

#include <cstdint>       // uint64_t
#include <map>           // map
#include <memory>        // shared_ptr
#include <optional>      // optional
#include <set>           // set
#include <string>        // string
#include <unordered_map> // unordered_map
#include <utility>       // pair
#include <vector>        // vector

namespace pimentoshunt::cell::detail
{

struct worker_record;

/// @brief What is known of one run on one worker.
enum class run_phase
{
    /// Ordered; the answer is not there, or was lost.
    starting,
    running,
    /// A stop was ordered; it still takes room.
    stopping
};

/// @brief One run that takes room on a worker.
struct run_record
{
    run_ref run;
    run_phase phase = run_phase::starting;
    resources taken;
    bool filler = false;
    time_point sent_at;
    /// When the worker was first known to have it.
    std::optional<time_point> first_seen_at;
    bool stop_in_flight = false;
    time_point stop_sent_at;
    std::optional<time_point> stop_answered_at;
    std::uint32_t percent = 0;
    time_point percent_changed_at;
    std::int64_t load = 0;
    /// Share of its speed that a filler may use, 0 to 100.
    std::uint32_t pace = 100;
};

/// @brief One worker, over all its lives.
struct worker_record
{
    worker_entry entry;
    /// Whether its entry is there; without it nothing new is started.
    bool registered = false;
    /// Whether the durable roster has it open for work: a later owner will
    /// ask it for everything.
    bool enrolled = false;
    /// Whether the roster names all that may run there, and nothing comes to
    /// it.
    bool closed = false;
    bool roster_in_flight = false;
    std::uint64_t roster_version = 0;
    /// Whether it has answered under the present epoch.
    bool reconciled = false;
    /// When its latest life was noticed, if it is not the first one known.
    time_point restarted_at;
    /// Last reading of its clock and when it came.
    std::optional<worker_time> clock;
    time_point clock_at;
    /// The latest lease that an order may have set.
    worker_time lease_end{0};
    /// Number of the last end that was taken in, and of the last one that is
    /// durable.
    std::uint64_t ends_received = 0;
    std::uint64_t ends_durable = 0;
    /// What the worker has been told of the durable ones.
    std::uint64_t ends_acknowledged = 0;
    bool heartbeat_in_flight = false;
    std::uint64_t heartbeat_number = 0;
    time_point heartbeat_sent_at;
    time_point next_heartbeat_at;
    /// The next hold is to be answered at once.
    bool immediate_heartbeat = false;
    time_point answered_at;
    /// Calls without an answer in a row.
    std::uint32_t unanswered_calls = 0;
    resources used;
    /// Kept for gangs that gather room.
    resources reserved;
    std::map<run_ref, run_record> runs;
    /// No starts before; after refusals.
    time_point no_starts_until;
    time_point pace_raised_at;

    /// @brief What a task may take; below zero where a gang waits for more than
    /// is free.
    [[nodiscard]] auto room() const noexcept -> resources
    {
        return entry.capacity - used - reserved;
    }
};

/// @brief One task of a step.
struct task_record
{
    bool done = false;
    /// Runs of it that may be alive.
    std::vector<run_ref> runs;
    std::uint64_t last_run = 0;
    std::string checkpoint;
    std::set<std::uint64_t> failures;
    /// Where it failed or stood still last.
    worker_id avoid;
};

/// @brief What the approval service has said of one step.
struct approval_record
{
    struct ticket
    {
        std::string text;
        time_point valid_until;
        calendar_time incarnation;
    };

    /// Workers that may run the step; approval stays, tickets age.
    std::unordered_map<worker_record*, ticket> approved;
    std::set<const worker_record*> refused;
    bool in_flight = false;
    time_point next_request_at;
};

/// What is kept for a gang on each worker, in the order in which it was chosen.
using reserved_places = std::vector<std::pair<worker_record*, resources>>;

/// @brief Room that a gang gathers until there is enough for all its tasks.
struct gang_reservation
{
    reserved_places reserved;
    /// Whether there is a place for each task.
    bool complete = false;
    /// Nothing: it gathers none.
    std::optional<time_point> since;
    /// After it has gathered in vain, others may.
    time_point paused_until;
    /// When it was last its turn.
    time_point visited_at;
};

/// @brief One step of one round.
struct step_record
{
    const step_spec* spec = nullptr;
    std::uint32_t number = 0;
    std::vector<task_record> tasks;
    /// Indexes of tasks that are neither done nor have a run.
    std::set<std::uint32_t> waiting;
    std::uint32_t done_count = 0;
    bool ready = false;
    time_point ready_since;
    approval_record approvals;
    gang_reservation reservation;
    /// Tasks of this step on each worker.
    std::unordered_map<const worker_record*, std::uint32_t> placed;
};

/// @brief One round of a job.
struct round_record
{
    std::uint32_t number = 0;
    std::vector<step_record> steps;
    std::optional<calendar_time> due;
    time_point released_at;
    bool released = false;
    bool done = false;
    std::uint32_t steps_done = 0;
};

/// @brief One job.
struct job_record
{
    std::shared_ptr<const job_spec> spec;
    job_state state = job_state::queued;
    /// The state that callers may be told: final ones only once durable.
    job_state published_state = job_state::queued;
    time_point accepted_at;
    time_point ended_at;
    /// Its place in the order in which jobs came in.
    std::uint64_t arrival = 0;
    /// Accepted before this ownership: runs of it may be anywhere.
    bool inherited = false;
    bool any_started = false;
    bool dirty = false;
    std::vector<round_record> rounds;
};

} // namespace pimentoshunt::cell::detail
