/// @file
/// Decides where and when the tasks of a cell run. No I/O and no clock of its
/// own: it is told what happened and says what is to be done.
#pragma once

#include <pimentoshunt/cell/detail/records.hpp>
#include <pimentoshunt/cell/model.hpp>
#include <pimentoshunt/cell/orders.hpp>
#include <pimentoshunt/cell/policy/dispatch_order.hpp>
#include <pimentoshunt/policy/worker_health.hpp>

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <limits>        // numeric_limits
#include <map>           // map
#include <optional>      // optional
#include <set>           // set
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::cell
{

/// @brief Limits of a scheduler.
struct scheduler_options
{
    /// Lease of all that runs on a worker. Longer than a takeover takes, short
    /// enough to run work elsewhere soon after a worker was cut off.
    milliseconds lease{5'000};
    /// The same on a worker that may leave at any time.
    milliseconds leaving_lease{1'800};
    /// A worker's clock may run slower than ours by this share.
    double clock_slowness = 0.02;
    /// How long an earlier owner may have gone on without knowing better.
    milliseconds earlier_owner_limit{3'000};
    /// Whether the earlier owner is over for certain.
    bool earlier_owner_ended = false;
    /// How long a worker may wait for an end before it answers a hold.
    milliseconds heartbeat_wait{800};
    /// The same on a worker that may leave at any time.
    milliseconds leaving_heartbeat_wait{500};
    /// The same where fillers run beside tasks that have a target.
    milliseconds paced_heartbeat_wait{400};
    /// Until a hold is repeated that had to be answered at once.
    milliseconds heartbeat_retry{100};
    /// A stop without an answer is repeated after so long.
    milliseconds stop_retry{150};
    /// Longest time that a final state is kept for callers.
    milliseconds final_state_retention{130'000};
    /// A task is taken to stand still when its progress has not changed for
    /// this long and should have.
    milliseconds stall_limit{2'500};
    /// A ticket is not used in the last part of its life: the start travels.
    milliseconds ticket_margin{150};
    /// Most workers named in one question.
    std::size_t max_workers_per_request = 30;
    /// Workers named for each that is needed, if all were approved.
    double request_surplus = 1.3;
    /// Steps whose predecessors take no longer are asked for as soon as these
    /// have started: well within a ticket's life.
    milliseconds early_request_window{1'200};
    /// Time between questions on one step that led to nothing.
    milliseconds request_pause{60};
    /// A gang that has waited for so long keeps room piece by piece, one of a
    /// service at a time: what is kept lies idle meanwhile.
    milliseconds partial_reservation_after{15'000};
    /// How long a gang gathers room at most, ...
    milliseconds reservation_limit{4'000};
    /// ... and rests after it has done so in vain.
    milliseconds reservation_pause{1'000};
    /// Most workers named in a question for a gang, whose tickets must all be
    /// valid at one time.
    std::size_t max_workers_per_gang_request = 100;
    /// Places on approved workers that a gang looks for, for each task: some
    /// of these workers are busy.
    double gang_place_surplus = 2.0;
    /// How often stops without an answer, leases that are over and workers that
    /// leave are looked for.
    milliseconds supervision_interval{20};
    /// How long a worker is left alone that turned a start away.
    milliseconds refusal_pause{400};
};

/// @brief What an owner may do at a moment.
struct owner_authority
{
    /// Whether leases may be renewed and runs started.
    bool may_act = true;
    /// Since the store last confirmed the ownership; for the log.
    milliseconds confirmed_age{0};
    /// Slow questions that would be asked at once: others wait, and what they
    /// name is out of date when they are asked.
    std::size_t slow_request_slots = std::numeric_limits<std::size_t>::max();
};

/// @brief What a scheduler has met since it was last asked.
struct scheduler_counts
{
    /// Ends that are durable, so that their workers may forget them.
    std::uint64_t ends_durable = 0;
    /// Runs and ends at workers whose job isn't known here.
    std::uint64_t unknown_runs = 0;
    std::uint64_t unknown_ends = 0;

    friend auto operator==(const scheduler_counts&, const scheduler_counts&)
        -> bool = default;
};

/// @brief Numbers of one queue for callers and metrics.
struct queue_count
{
    queue_name queue;
    /// Accepted jobs of which no task has started.
    std::uint64_t pending = 0;
};

/// @brief The owner of all jobs and workers of a cell, for one epoch.
class scheduler
{
  public:
    /// @param epoch  of this ownership; above all earlier ones
    scheduler(std::uint64_t epoch, scheduler_options options, time_point now);

    /// @name What happened
    /// @{

    /// @brief A newer configuration is in force.
    auto configure(const configuration& latest) -> void;
    /// @brief A worker's entry is there or has changed.
    auto on_worker_registered(const worker_entry& entry, time_point now)
        -> void;
    /// @brief A worker's entry has gone.
    auto on_worker_unregistered(const worker_id& worker) -> void;

    /// @brief A worker that an earlier owner may have given work.
    /// @param version  of its row in the roster
    auto restore_worker(const roster_entry& worker, std::uint64_t version,
                        time_point now) -> void;
    /// @brief A change of the roster is durable.
    auto on_roster_stored(const roster_change& change, std::uint64_t version)
        -> void;
    /// @brief A change of the roster was not made.
    auto on_roster_write_failed(const roster_change& change) -> void;
    /// @brief A row of the roster has that version, 0 if there is none.
    auto set_roster_version(const worker_id& worker, std::uint64_t version)
        -> void;

    /// @brief Takes in a job that an earlier owner may have worked on.
    /// @return false when the job is known already
    auto restore(const job_spec& job, const job_progress& progress,
                 time_point now) -> bool;
    /// @brief Takes in a job that was accepted under this ownership.
    /// @return false when the job is known already
    auto accept(const job_spec& job, time_point now) -> bool;
    /// @brief Ends a job without finishing it; one that is not known yet, when
    /// it comes.
    auto cancel(const job_id& job, time_point now) -> void;

    /// @param clock  the worker's clock, where the answer had one
    auto on_start_answered(const start_order& order, start_outcome outcome,
                           std::optional<worker_time> clock, time_point now)
        -> void;
    /// @param answered  whether the worker will never run it from now on
    auto on_stop_answered(const stop_order& order, bool answered,
                          time_point now) -> void;
    /// @param report  nothing when no answer came
    auto on_heartbeat_answered(const heartbeat_order& order,
                               const std::optional<run_report>& report,
                               time_point now) -> void;
    auto on_approval_response(const approval_response& answer, time_point now)
        -> void;
    /// @brief A batch is durable.
    auto on_progress_stored(const progress_batch& batch, time_point now)
        -> void;
    /// @}

    /// @brief Decides; to be called after events and at least each 50 ms.
    /// @param calendar  the time of day
    auto advance(time_point now, calendar_time calendar,
                 const owner_authority& authority) -> outbox;

    /// @brief Whether there is anything to be written.
    [[nodiscard]] auto has_unsaved_progress() const -> bool;
    /// @brief Whether a job's end waits to be written, which its caller is to
    /// be told.
    [[nodiscard]] auto has_unsaved_end() const -> bool;
    /// @brief The changes of jobs that are not yet on their way to the store.
    /// @param limit  jobs in one batch
    /// @return nothing when there are none
    auto take_progress(std::size_t limit) -> std::optional<progress_batch>;
    /// @brief What the durable roster lacks, or has to lose.
    [[nodiscard]] auto take_roster_changes(std::size_t limit) -> roster_change;
    /// @brief A batch could not be written: its jobs are due again.
    auto on_progress_write_failed(const progress_batch& batch) -> void;
    /// @brief Counts since the last call.
    auto take_counts() -> scheduler_counts;
    /// @brief Finished jobs whose time is over; they are forgotten here.
    auto take_expired(time_point now, std::size_t limit) -> std::vector<job_id>;

    /// @brief The state to tell a caller; nothing when it isn't known here.
    [[nodiscard]] auto state_of(const job_id& job) const
        -> std::optional<job_state>;
    /// @brief For each queue with jobs, how many have not begun.
    [[nodiscard]] auto pending() const -> std::vector<queue_count>;
    [[nodiscard]] auto epoch() const noexcept -> std::uint64_t
    {
        return m_epoch;
    }
    /// @brief Whether an order was refused since a later owner is there.
    [[nodiscard]] auto overtaken() const noexcept -> bool
    {
        return m_overtaken;
    }
    [[nodiscard]] auto job_count() const noexcept -> std::size_t
    {
        return m_jobs.size();
    }
    [[nodiscard]] auto workers() const noexcept
        -> const std::map<worker_id, detail::worker_record>&
    {
        return m_workers;
    }

  private:
    using job_record = detail::job_record;
    using round_record = detail::round_record;
    using step_record = detail::step_record;
    using task_record = detail::task_record;
    using worker_record = detail::worker_record;
    using run_record = detail::run_record;
    using reserved_places = detail::reserved_places;

    /// A task found by its name.
    struct task_location
    {
        job_record* job = nullptr;
        round_record* round = nullptr;
        step_record* step = nullptr;
        task_record* task = nullptr;
    };

    // Jobs.
    auto add_job(const job_spec& job, time_point now) -> job_record*;
    auto apply_early_cancellation(job_record& job, time_point now) -> void;
    auto add_round(job_record& job, std::uint32_t number) -> void;
    auto release_rounds(time_point now, calendar_time calendar) -> void;
    auto release_steps(job_record& job, round_record& round, time_point now)
        -> void;
    auto find(const task_ref& task) -> task_location;
    auto mark_dirty(job_record& job) -> void;
    auto task_done(const task_location& location, time_point now) -> void;
    auto step_done(const task_location& location, time_point now) -> void;
    auto finish(job_record& job, job_state state, time_point now) -> void;
    auto stop_all_runs(job_record& job, time_point now) -> void;
    auto requeue(const task_location& location, std::uint32_t index) -> void;
    auto count_failure(const task_location& location, const run_ref& run,
                       time_point now) -> void;
    auto progress_of(const job_record& job) const -> job_progress;

    // Workers and their runs.
    /// The record of a worker, made if it is not known.
    auto find_or_add_worker(const worker_entry& entry, time_point now)
        -> worker_record&;
    auto target_of(const worker_record& worker) const -> order_target;
    auto lease_end_for(const worker_record& worker, time_point now) const
        -> worker_time;
    auto max_elapsed(milliseconds by_worker) const -> milliseconds;
    auto lease_expires_at(const worker_record& worker) const -> time_point;
    auto begin_incarnation(worker_record& worker, calendar_time incarnation,
                           time_point now) -> void;
    auto apply_report(worker_record& worker, const run_report& report,
                      time_point sent_at, time_point now) -> void;
    auto apply_end(worker_record& worker, const reported_end& end,
                   time_point now) -> void;
    auto apply_present_run(worker_record& worker, const reported_run& seen,
                           time_point now) -> void;
    auto end_absent_runs(worker_record& worker, const run_report& report,
                         time_point sent_at, time_point now) -> void;
    auto on_run_ended(worker_record& worker, const run_ref& run, run_end how,
                      const std::string& checkpoint, time_point now) -> void;
    auto add_run(worker_record& worker, const task_location& location,
                 const run_ref& run, time_point now) -> run_record&;
    auto erase_run(worker_record& worker, const run_ref& run) -> void;
    auto request_stop(worker_record& worker, run_record& run, time_point now)
        -> void;
    auto stop_runs_of(const task_record& task, time_point now) -> void;
    auto stop_gang(const task_location& location, time_point now) -> void;
    auto retry_stops(worker_record& worker, time_point now) -> void;
    auto end_expired_runs(worker_record& worker, time_point now) -> void;
    auto plan_heartbeat(worker_record& worker, time_point now, bool may_extend)
        -> void;
    auto heartbeat_at_once(worker_record& worker, time_point now) -> void;
    auto mark_unanswered(worker_record& worker, time_point now) -> void;
    auto requeue_copyable(worker_record& worker) -> void;
    auto stop_stalled(worker_record& worker, time_point now) -> void;
    auto stop_outlasting(worker_record& worker, time_point now) -> void;
    auto adjust_filler_pace(worker_record& worker, time_point now) -> void;
    auto pause_starts(worker_record& worker, time_point until) -> void;

    // Placing.
    auto dispatch(time_point now) -> void;
    auto log_starts(const policy::waiting_step& item, std::size_t count,
                    time_point now) const -> void;
    auto log_stored(const progress_batch& batch) const -> void;
    auto ready_steps(time_point now) -> std::vector<policy::waiting_step>;
    auto is_usable(const worker_record& worker, const job_record& job,
                   const step_record& step, time_point now) const -> bool;
    auto fits(const worker_record& worker, const step_record& step) const
        -> bool;
    /// Workers that may get tasks of the step, whether they have room or not.
    auto permitted_workers(const policy::waiting_step& item, time_point now)
        -> std::vector<worker_record*>;
    auto place_tasks(const policy::waiting_step& item, time_point now) -> void;

    // Gangs.
    auto place_gang(const policy::waiting_step& item, time_point now) -> void;
    auto start_gang(const policy::waiting_step& item,
                    const std::vector<worker_record*>& places, time_point now)
        -> void;
    [[nodiscard]] auto is_reservation_paused(const policy::waiting_step& item,
                                             std::size_t workers_kept,
                                             time_point now) -> bool;
    [[nodiscard]] auto may_reserve_partially(const policy::waiting_step& item,
                                             time_point now) -> bool;
    [[nodiscard]] auto
    reserve_places(step_record& step,
                   const std::vector<worker_record*>& candidate_workers,
                   std::uint32_t awaited) -> std::uint32_t;
    auto reserve_room(const policy::waiting_step& item,
                      const reserved_places& before, time_point now) -> void;
    /// @return what was kept
    auto release_reservation(step_record& step) -> reserved_places;
    auto release_unvisited_reservations(time_point now) -> void;
    auto gang_workers_to_ask(const policy::waiting_step& item, time_point now)
        -> std::vector<worker_record*>;
    [[nodiscard]] auto reserved_without_ticket(const policy::waiting_step& item,
                                               time_point now) const
        -> std::vector<worker_record*>;
    auto candidates(const policy::waiting_step& item, time_point now)
        -> std::vector<worker_record*>;
    auto pick_worker(const policy::waiting_step& item,
                     const std::vector<worker_record*>& candidate_workers,
                     const task_record& task) -> worker_record*;
    auto start(const policy::waiting_step& item, std::uint32_t index,
               worker_record& worker, std::uint64_t number, time_point now)
        -> void;
    auto next_number(const task_record& task) const -> std::uint64_t;
    auto earlier_runs_possible(time_point now) const -> bool;

    // Approvals.
    auto request_approval(const policy::waiting_step& item, bool early,
                          time_point now) -> void;
    auto request_early_approvals(time_point now) -> void;
    [[nodiscard]] auto is_ready_soon(const round_record& round,
                                     const step_record& step) const -> bool;
    [[nodiscard]] auto approval_rate(const queue_name& queue) const -> double;
    auto workers_to_ask(const policy::waiting_step& item, time_point now)
        -> std::vector<worker_record*>;

    std::uint64_t m_epoch;
    scheduler_options m_options;
    time_point m_started_at;
    bool m_overtaken = false;
    owner_authority m_authority;
    configuration m_configuration;
    std::unordered_map<job_id, job_record> m_jobs;
    /// Jobs that are not over, by the order of their arrival.
    std::map<std::uint64_t, job_record*> m_active;
    std::uint64_t m_arrivals = 0;
    std::map<worker_id, worker_record> m_workers;
    std::vector<job_id> m_dirty;
    bool m_has_unsaved_end = false;
    std::uint64_t m_last_batch = 0;
    /// For the batch in flight: ends that are durable once it is.
    std::map<std::uint64_t, std::vector<std::pair<worker_id, std::uint64_t>>>
        m_ends_of_batch;
    std::vector<job_id> m_finished;
    /// When jobs were cancelled that were not known then.
    std::unordered_map<job_id, time_point> m_early_cancellations;
    time_point m_supervised_at;
    /// Slow questions that may still be asked in this decision.
    std::size_t m_slow_request_slots_left = 0;
    /// Gangs that keep room.
    std::set<step_record*> m_reserving_steps;
    /// Services of which a gang keeps room piece by piece in this decision.
    std::set<service_name> m_partially_reserving;
    scheduler_counts m_counts;
    pimentoshunt::policy::worker_health m_health;
    /// Ejected workers that may be given one run.
    std::set<worker_id> m_probed_workers;
    /// Share of the workers asked for that a queue's policy approves.
    std::map<queue_name, double> m_approval_rates;
    outbox m_outbox;
};

} // namespace pimentoshunt::cell
