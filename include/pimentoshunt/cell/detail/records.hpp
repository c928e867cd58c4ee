/// @file
/// Records of jobs, runs and workers that the scheduler keeps in memory. Used
/// by the scheduler and its policies only.
#pragma once

#include <pimentoshunt/cell/model.hpp>
#include <pimentoshunt/cell/orders.hpp>
#include <pimentoshunt/cell/policy/crash_trials.hpp>
#include <pimentoshunt/cell/policy/run_time_model.hpp>
#include <pimentoshunt/cell/policy/workspace_usage.hpp>

#include <algorithm>     // any_of
#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <map>           // map
#include <memory>        // shared_ptr, unique_ptr
#include <optional>      // optional
#include <set>           // set
#include <string>        // string
#include <unordered_map> // unordered_map
#include <utility>       // pair
#include <vector>        // vector

namespace pimentoshunt::cell::detail
{

struct worker_record;
/// Defined by policy/worker_pool.hpp.
struct service_places;

/// @brief Where a worker is listed in the worker pool, which maintains it.
struct pool_position
{
    /// nullptr: the worker is not listed.
    service_places* places = nullptr;
    std::size_t index = 0;
    service_name service;
};

/// @brief State of a run on a worker as far as the owner knows it.
enum class run_phase
{
    /// Start ordered; not answered yet, or the answer was lost.
    starting,
    running,
    /// Stop ordered; the run still takes resources.
    stopping
};

/// @brief A run that takes resources on a worker.
struct run_record
{
    run_ref run;
    run_phase phase = run_phase::starting;
    resources taken;
    /// Account of its workspace, and what the run counts there; nullptr: none.
    policy::workspace_account* account = nullptr;
    resources charged;
    /// Whether its job is not known, so that it counts for no workspace.
    bool unattributed = false;
    bool filler = false;
    /// Whether this owner has started it, and not from a checkpoint.
    bool is_whole = false;
    /// Whether its task may have a copy, and whether it is one.
    bool may_be_copied = false;
    bool is_copy = false;
    /// Whether it is the first run on an ejected worker.
    bool probe = false;
    /// Whether its task may crash the worker, which gets no further starts until
    /// the run has lasted @ref trial_time.
    bool in_trial = false;
    milliseconds trial_time{0};
    /// Whether its start order has not been sent yet: it waits for a reading of
    /// the worker's clock.
    bool is_waiting = false;
    time_point sent_at;
    /// Whether the worker is known to have begun the run.
    bool confirmed = false;
    /// Whether it is certain that the known incarnation of the worker has begun
    /// the run, and not a later one.
    bool in_known_incarnation = false;
    /// Whether an earlier owner started it and only the worker's row in the
    /// durable roster names it.
    bool restored = false;
    /// When the worker first confirmed or reported the run, and its clock then.
    std::optional<time_point> first_seen_at;
    worker_time first_seen_clock{0};
    bool stop_in_flight = false;
    time_point stop_sent_at;
    std::optional<time_point> stop_answered_at;
    std::uint32_t percent = 0;
    time_point percent_changed_at;
    /// As in @ref reported_run::load.
    std::int64_t load = 0;
    /// Share of its full speed that a best-effort run may use, 0 to 100.
    std::uint32_t pace = 100;
};

/// @brief A worker, across all its incarnations.
struct worker_record
{
    /// Its last entry that counts, with the incarnation and the address of its
    /// last report.
    worker_entry entry;
    /// Whether its entry exists; without it no runs are started.
    bool registered = false;
    /// When its entry was found to be missing, if it is.
    time_point unregistered_at;
    /// Whether the durable roster has an open row for it: a later owner will
    /// ask this worker for all its runs.
    bool enrolled = false;
    /// Whether its row in the durable roster lists all runs that may be on it,
    /// and no further run is started.
    bool closed = false;
    bool roster_in_flight = false;
    std::uint64_t roster_version = 0;
    /// Whether it has sent a complete report in this epoch.
    bool reconciled = false;
    /// Whether it does not answer and all leases on it have surely expired.
    bool leases_expired = false;
    /// Whether its process has certainly ended, and all runs with it.
    bool ended = false;
    /// Whether an answer may have come from an incarnation that is not known
    /// yet. Only a report shows which one it is.
    bool incarnation_uncertain = false;
    /// Whether @ref misdirected_lease_ends_at is yet to come for runs that it may
    /// have.
    bool longest_lease = false;
    /// Whether its row in the durable roster names another incarnation.
    bool is_row_outdated = false;
    /// Last reading of its clock, and when the reading arrived.
    std::optional<worker_time> clock;
    time_point clock_at;
    /// Latest end of a lease in any order sent to it.
    worker_time lease_end{0};
    /// Number of the last end that was received, and of the last one that is
    /// durable.
    std::uint64_t ends_received = 0;
    std::uint64_t ends_durable = 0;
    /// Number of the last durable end that the worker has been told of.
    std::uint64_t ends_acknowledged = 0;
    bool heartbeat_in_flight = false;
    std::uint64_t heartbeat_number = 0;
    time_point heartbeat_sent_at;
    time_point next_heartbeat_at;
    /// Whether the next heartbeat asks for an immediate answer.
    bool immediate_heartbeat = false;
    time_point answered_at;
    /// Consecutive calls without an answer.
    std::uint32_t unanswered_calls = 0;
    /// When the first of them failed; nothing: it answers.
    std::optional<time_point> silent_since;
    /// Whether that call lost its connection, which shows when it ended; only
    /// valid with @ref silent_since.
    bool lost_connection = false;
    /// Suspected runs that were given up when their leases expired. If the
    /// worker turns out to have crashed, it crashed under these.
    std::map<run_ref, worker_crash> lost_suspects;
    /// Number of runs in a trial.
    std::uint32_t trials = 0;
    /// Whether it is ejected for failed runs.
    bool is_ejected = false;
    /// Whether one of its runs may have to be stopped again.
    bool may_have_stops = false;
    /// Learned speed; the mean of all workers is 1.
    double speed = 1.0;
    double log_speed = 0.0;
    resources used;
    /// Reserved for gangs that wait for enough room.
    resources reserved;
    /// Expected to be taken by steps with an approval request in flight that
    /// names this worker.
    std::int64_t claimed_millicpus = 0;
    std::map<run_ref, run_record> runs;
    /// No runs are started earlier, after a refusal.
    time_point no_starts_until;
    time_point pace_raised_at;
    /// Latest time at which a lease may end that a later incarnation has granted
    /// to an order for an earlier one: the two clocks have nothing in common.
    time_point misdirected_lease_ends_at;
    /// Incarnation that its row in the durable roster names.
    calendar_time stored_incarnation{};
    /// Capacity that the row of an earlier owner names: it may have shrunk since.
    resources inherited_capacity;
    /// Number of runs that its closed row lists; nothing: not known.
    std::optional<std::size_t> stored_runs;
    /// Until then another owner may have extended a lease on it.
    time_point earlier_orders_end;
    /// Whether its row may show a time without such an extension, and the
    /// longest one that a later owner may rely on.
    bool silence_shown = false;
    milliseconds shown_silence{0};
    /// Its last entry if that names another incarnation or address than @ref
    /// entry: a claim, perhaps of another writer, that the worker's next report
    /// confirms or contradicts.
    std::unique_ptr<worker_entry> unconfirmed_entry;
    pool_position position;

    /// @brief Resources that a further task may take; negative where a gang has
    /// reserved more than is free.
    [[nodiscard]] auto room() const noexcept -> resources
    {
        return entry.capacity - used - reserved;
    }

    /// @brief Free processors that no request in flight is expected to use.
    [[nodiscard]] auto unclaimed_millicpus() const noexcept -> std::int64_t
    {
        return room().millicpus - claimed_millicpus;
    }
};

/// @brief A task of a step.
struct task_record
{
    bool done = false;
    /// Runs of the task that may be alive.
    std::vector<run_ref> runs;
    std::uint64_t last_run = 0;
    std::string checkpoint;
    std::set<std::uint64_t> failures;
    /// Whether it has had a copy, and approval requests made for one.
    bool is_copied = false;
    std::uint32_t copy_requests = 0;
    /// Worker on which it failed or stalled last.
    worker_id avoid;
    policy::crash_history crashes;
    /// Whether a worker fell silent under its last run, which may be the cause.
    bool lost = false;

    /// @brief Whether the task may crash its worker.
    [[nodiscard]] auto is_suspect() const -> bool
    {
        return !done && (lost || policy::is_suspect(crashes));
    }
};

/// @brief Answers of the approval service for one step.
struct approval_record
{
    struct ticket
    {
        std::string text;
        time_point valid_until;
        calendar_time incarnation;
    };

    /// Workers that may run the step. The approval is permanent, but the ticket
    /// expires.
    std::unordered_map<worker_record*, ticket> approved;
    std::set<const worker_record*> refused;
    bool in_flight = false;
    /// Priority of the request in flight.
    std::uint32_t requested_priority = 0;
    /// Requests without an answer since the last answer.
    std::uint32_t unanswered = 0;
    /// When the request in flight was made.
    time_point requested_at;
    time_point next_request_at;
    /// What the request in flight claims on each worker.
    std::vector<std::pair<worker_record*, std::int64_t>> claims;
};

/// Resources reserved for a gang on each worker, in the order of selection.
using reserved_places = std::vector<std::pair<worker_record*, resources>>;

/// @brief Room reserved for a gang until all its tasks can start.
struct gang_reservation
{
    reserved_places reserved;
    /// Whether there is a place for each task.
    bool complete = false;
    /// When the reservation began; nothing: none is active.
    std::optional<time_point> since;
    /// No new reservation earlier, after one that did not lead to a start, so
    /// that other gangs can reserve.
    time_point paused_until;
    /// Time of the scheduling pass that last visited the step.
    time_point visited_at;
};

/// @brief A step in one round.
struct step_record
{
    const step_spec* spec = nullptr;
    std::uint32_t number = 0;
    std::vector<task_record> tasks;
    /// Indexes of tasks that are not finished and have no run.
    std::set<std::uint32_t> waiting;
    std::uint32_t done_count = 0;
    bool ready = false;
    time_point ready_since;
    /// When the step became ready, last started a task or got one back while
    /// none waited, whichever is latest.
    time_point waiting_since;
    /// When its wait was last logged.
    time_point wait_logged_at;
    /// Since when it has started nothing although its workspace's limit kept it
    /// back, if it has, and when the limit last did.
    std::optional<time_point> held_back_since;
    time_point held_back_at;
    approval_record approvals;
    gang_reservation reservation;
    /// Whether tasks of the step were or are suspects.
    bool suspected = false;
    /// Number of its runs in a trial.
    std::uint32_t trials = 0;
    /// Whether a suspect has passed its trial since the last one was found.
    bool trial_passed = false;
    /// Number of runs of this step on each worker.
    std::unordered_map<const worker_record*, std::uint32_t> placed;
    /// Run times of tasks that have ended; empty once all have.
    policy::step_times times;

    /// @brief Whether a task of the step may crash its worker.
    [[nodiscard]] auto has_suspects() const -> bool
    {
        return suspected && std::any_of(tasks.begin(), tasks.end(),
                                        [](const task_record& task)
                                        {
                                            return task.is_suspect();
                                        });
    }
};

/// @brief A round of a job.
struct round_record
{
    std::uint32_t number = 0;
    std::vector<step_record> steps;
    std::optional<calendar_time> due;
    time_point released_at;
    bool released = false;
    bool done = false;
    std::uint32_t steps_done = 0;
    /// Whether it was counted as delayed and as expired under overload.
    bool counted_delayed = false;
    bool counted_expired = false;
};

/// @brief A job.
struct job_record
{
    std::shared_ptr<const job_spec> spec;
    /// Estimated time from the start of each step to the end of the job, and the
    /// longest of them; see policy/dispatch_order.hpp.
    std::vector<milliseconds> chains;
    milliseconds longest_chain{0};
    /// Account of its workspace; nullptr: it belongs to none.
    policy::workspace_account* account = nullptr;
    /// Whether it is beyond the rate of its workspace.
    bool beyond_rate = false;
    /// Whether it has waited so long that it counts as within the rate.
    bool aged = false;
    job_state state = job_state::queued;
    /// State as callers may see it: final states only once they are durable.
    job_state published_state = job_state::queued;
    time_point accepted_at;
    time_point ended_at;
    /// Position in the order of arrival.
    std::uint64_t arrival = 0;
    /// Whether it was accepted by an earlier owner, so that any worker may have
    /// runs of it.
    bool inherited = false;
    bool any_started = false;
    bool dirty = false;
    /// Whether a crash is not durable yet, and the batch of progress that
    /// contains it; 0: not taken yet.
    bool has_unsaved_crash = false;
    std::uint64_t crash_batch = 0;
    std::vector<round_record> rounds;
};

} // namespace pimentoshunt::cell::detail
