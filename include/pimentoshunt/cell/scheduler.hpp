/// @file
/// Scheduler of a cell: decides on which worker and when each task runs, and
/// tracks runs, leases, approvals and progress. The owner of the cell feeds it
/// with events and carries out the orders that @ref scheduler::advance returns.
/// Control thread of the owner only; no I/O, and the caller passes the time.
#pragma once

#include <pimentoshunt/cell/detail/records.hpp>
#include <pimentoshunt/cell/model.hpp>
#include <pimentoshunt/cell/orders.hpp>
#include <pimentoshunt/cell/policy/clock_bounds.hpp>
#include <pimentoshunt/cell/policy/dispatch_order.hpp>
#include <pimentoshunt/cell/policy/refusals.hpp>
#include <pimentoshunt/cell/policy/run_time_model.hpp>
#include <pimentoshunt/cell/policy/speed_preference.hpp>
#include <pimentoshunt/cell/policy/straggler_copies.hpp>
#include <pimentoshunt/cell/policy/worker_pool.hpp>
#include <pimentoshunt/cell/policy/workspace_order.hpp>
#include <pimentoshunt/cell/policy/workspace_usage.hpp>
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

/// @brief Limits, intervals and timeouts of a scheduler.
struct scheduler_options
{
    /// Lease of the runs on a worker. Longer than a takeover takes, and short
    /// enough to run work elsewhere soon after a worker was cut off.
    milliseconds lease{5'000};
    /// Longest lease that a worker grants: it shortens longer ones.
    milliseconds longest_lease{10'000};
    /// Lease on a draining worker, which may leave at any time.
    milliseconds leaving_lease{1'800};
    /// Share by which a worker's clock may run slower than the owner's.
    double clock_slowness = 0.02;
    /// How long an earlier owner may have acted without noticing that it was
    /// replaced.
    milliseconds earlier_owner_limit{3'000};
    /// Whether the earlier owner has certainly ended.
    bool earlier_owner_ended = false;
    /// How long a worker may wait for an end before it answers a heartbeat.
    milliseconds heartbeat_wait{800};
    /// The same on a draining worker, which may leave at any time.
    milliseconds leaving_heartbeat_wait{500};
    /// The same on a worker with best-effort runs: each report is used to
    /// adjust their pace to tasks with a tail target.
    milliseconds paced_heartbeat_wait{400};
    /// Delay before the next heartbeat to a worker that was asked to answer
    /// immediately.
    milliseconds heartbeat_retry{100};
    /// A stop order without an answer is repeated after this time.
    milliseconds stop_retry{150};
    /// Longest time for which a final state is kept for callers.
    milliseconds final_state_retention{130'000};
    /// Maximum time for which an inherited job counts as accepted before the
    /// takeover: wall clocks may be wrong.
    milliseconds max_inherited_age{130'000};
    /// A run counts as stalled if its progress has not changed for this time
    /// although a change was due.
    milliseconds stall_limit{2'500};
    /// A ticket that expires within this time is not used, as the start order
    /// takes time to arrive.
    milliseconds ticket_margin{150};
    /// Maximum number of workers in one approval request.
    std::size_t max_workers_per_request = 30;
    /// Number of standard deviations by which a request's approvals may fall
    /// short of their mean and still be enough.
    double request_deviations = 2.0;
    /// Approval is requested as soon as all preceding steps have started if
    /// their estimates are at most this long: well within a ticket's lifetime.
    milliseconds early_request_window{1'200};
    /// Delay between an answer for a step and the next request for it.
    milliseconds request_pause{60};
    /// After this time of waiting a gang reserves what room there is, even if
    /// it is not enough for all tasks. Reserved room lies idle, so that only
    /// one gang of a service may do so at a time.
    milliseconds partial_reservation_after{15'000};
    /// Maximum time for which a gang holds a reservation.
    milliseconds reservation_limit{4'000};
    /// Pause after a reservation that did not lead to a start.
    milliseconds reservation_pause{1'000};
    /// Maximum number of workers in a request for a gang, whose tickets must
    /// all be valid at one time.
    std::size_t max_workers_per_gang_request = 100;
    /// Places to find on approved workers for each task of a gang; some of
    /// these workers are busy.
    double gang_place_surplus = 2.0;
    /// Interval of checks for unanswered stop orders, expired leases and
    /// draining workers.
    milliseconds supervision_interval{50};
    /// How long a worker gets no starts after it refused one for lack of room
    /// or health, or could not be reached.
    milliseconds refusal_pause{400};
    /// A step that has waited this long since its last start is logged, and
    /// again at intervals of the same length.
    milliseconds wait_log_interval{3'000};
    /// After this time of being kept back by its workspace's limit a step claims
    /// the room that it needs within the limit, and for how long it does so
    /// after the limit has last kept it back.
    milliseconds limit_claim_after{1'000};
    milliseconds limit_claim_duration{4'000};
    /// How long a worker without an entry, runs or a row in the roster is
    /// remembered.
    milliseconds gone_worker_retention{15'000};
    /// Silences that rows of earlier epochs show are not relied on.
    std::uint64_t silence_kept_since = 1;
    /// Interval at which the row of a silent worker is updated with the time of
    /// its silence, which a later owner need not wait for again.
    milliseconds silence_write_interval{400};
    /// Speeds and factors that an earlier owner has learned.
    policy::learned_speeds speeds;
};

/// @brief What the owner may do at one moment.
struct owner_authority
{
    /// Whether worker leases may be renewed and runs started.
    bool may_act = true;
    /// Time since the store last confirmed the ownership; for the log.
    milliseconds confirmed_age{0};
    /// Number of slow approval requests that can be sent at once. Others would
    /// wait, and the workers that they name would be out of date when they are
    /// sent.
    std::size_t slow_request_slots = std::numeric_limits<std::size_t>::max();
};

/// @brief Counters since the last call of @ref scheduler::take_counts.
struct scheduler_counts
{
    /// Ends that became durable, so that their workers may forget them.
    std::uint64_t ends_durable = 0;
    /// Reported runs and ends whose job is not known.
    /// Runs that count as crashes of their workers, and jobs that were given up
    /// for them.
    std::uint64_t crashes = 0;
    std::uint64_t crash_failures = 0;
    std::uint64_t unknown_runs = 0;
    std::uint64_t unknown_ends = 0;
    /// Logged waits of ready steps, and of inherited jobs for reports of
    /// workers.
    std::uint64_t long_waits = 0;
    /// Copies of stragglers that were started, and those that ended first.
    std::uint64_t copies = 0;
    std::uint64_t copies_first = 0;
    /// Entries of workers that can't be one, and entries that the worker under
    /// their id has contradicted.
    std::uint64_t malformed_entries = 0;
    std::uint64_t contradicted_entries = 0;
    /// All workspaces, about once a second; empty otherwise.
    std::vector<policy::workspace_count> workspaces;
    /// Times at which a service became too small for its waiting work, and jobs
    /// that were delayed or had expired while it was.
    std::uint64_t overloads = 0;
    std::map<queue_name, std::uint64_t> delayed_jobs;
    std::map<queue_name, std::uint64_t> expired_jobs;

    friend auto operator==(const scheduler_counts&, const scheduler_counts&)
        -> bool = default;
};

/// @brief Length of one queue for callers and metrics.
struct queue_count
{
    queue_name queue;
    /// Accepted jobs of which no task has started.
    std::uint64_t pending = 0;
};

/// @brief Size of the last scheduling pass.
struct scheduler_pass
{
    /// Steps that were ready and had tasks to start.
    std::uint64_t waiting_steps = 0;
    /// How often a decision looked at a worker, events since the pass before
    /// included.
    std::uint64_t examined_workers = 0;
};

/// @brief Schedules all jobs on the workers of a cell during one ownership.
class scheduler
{
  public:
    /// @param epoch  of this ownership, greater than all earlier ones
    /// @param options  limits, intervals and timeouts
    /// @param now  when the ownership began
    scheduler(std::uint64_t epoch, scheduler_options options, time_point now);

    /// @name Events
    /// @{

    /// @brief Applies a new configuration, also to jobs that are not finished.
    auto configure(const configuration& latest) -> void;
    /// @brief A worker was registered or its entry has changed.
    auto on_worker_registered(const worker_entry& entry, time_point now)
        -> void;
    /// @brief A worker's entry was removed.
    auto on_worker_unregistered(const worker_id& worker, time_point now)
        -> void;

    /// @brief Adds a worker that an earlier owner may have given work.
    /// @param version  of its row in the roster
    auto restore_worker(const roster_entry& worker, std::uint64_t version,
                        time_point now) -> void;
    /// @brief A change of the roster is durable.
    /// @param version  of the written rows
    auto on_roster_stored(const roster_change& change, std::uint64_t version)
        -> void;
    /// @brief A change of the roster was not written.
    auto on_roster_write_failed(const roster_change& change) -> void;
    /// @brief Sets the version of a worker's row in the roster; 0: no such row.
    auto set_roster_version(const worker_id& worker, std::uint64_t version)
        -> void;

    /// @brief Adds a job that an earlier owner may have worked on.
    /// @return false if the job is already known
    auto restore(const job_spec& job, const job_progress& progress,
                 time_point now) -> bool;
    /// @brief Adds a job that was accepted during this ownership.
    /// @return false if the job is already known
    auto accept(const job_spec& job, time_point now) -> bool;
    /// @brief Cancels a job. A job that is not known yet is cancelled when it
    /// is added.
    auto cancel(const job_id& job, time_point now) -> void;

    /// @brief A start order was answered or failed.
    /// @param clock  the worker's clock, if the answer contained it
    auto on_start_answered(const start_order& order, start_outcome outcome,
                           const std::optional<worker_reading>& reading,
                           time_point now) -> void;
    /// @brief A stop order was answered or failed.
    /// @param answered  whether the worker has confirmed that the run has ended
    ///                  or will never start
    auto on_stop_answered(const stop_order& order, bool answered,
                          time_point now) -> void;
    /// @brief A heartbeat was answered or failed.
    auto on_heartbeat_answered(const heartbeat_order& order,
                               const heartbeat_answer& answer, time_point now)
        -> void;
    auto on_approval_response(const approval_response& answer, time_point now)
        -> void;
    /// @brief A batch of progress is durable.
    auto on_progress_stored(const progress_batch& batch, time_point now)
        -> void;
    /// @}

    /// @brief Begins with the speeds that an earlier owner has learned.
    auto restore_speeds(const policy::learned_speeds& earlier) -> void
    {
        m_run_times.restore(earlier);
    }
    /// @brief What this owner has learned, for a later one.
    [[nodiscard]] auto learned_speeds() const -> policy::learned_speeds
    {
        return m_run_times.learned();
    }

    /// @brief Runs one scheduling pass; to be called after events and at least
    /// every 50 ms.
    /// @param calendar  the current wall-clock time
    /// @return the orders and requests to be sent
    auto advance(time_point now, calendar_time calendar,
                 const owner_authority& authority) -> outbox;

    /// @brief Whether there is progress to be written.
    [[nodiscard]] auto has_unsaved_progress() const -> bool;
    /// @brief Whether the end of a job, of which its caller is to be informed,
    /// has to be written.
    [[nodiscard]] auto has_unsaved_end() const -> bool;
    /// @brief Takes changes of jobs that are not being written yet.
    /// @param limit  maximum number of jobs in the batch
    /// @return nothing if there are none
    auto take_progress(std::size_t limit) -> std::optional<progress_batch>;
    /// @brief Takes changes by which the durable roster differs from the
    /// workers in use.
    /// @param limit  maximum number of rows
    [[nodiscard]] auto take_roster_changes(std::size_t limit) -> roster_change;
    /// @brief A batch of progress was not written; its jobs will be written
    /// again.
    auto on_progress_write_failed(const progress_batch& batch) -> void;
    /// @brief Logs what the inherited jobs wait for as the ownership ends.
    auto log_end(time_point now) const -> void;
    /// @brief Returns and resets the counters.
    auto take_counts() -> scheduler_counts;
    /// @brief Removes finished jobs whose retention has ended, and returns
    /// them.
    /// @param limit  maximum number of jobs
    auto take_expired(time_point now, std::size_t limit) -> std::vector<job_id>;

    /// @brief State of a job for callers; nothing if the job is not known.
    [[nodiscard]] auto state_of(const job_id& job) const
        -> std::optional<job_state>;
    /// @brief Number of jobs that have not started, for each queue with active
    /// jobs.
    [[nodiscard]] auto pending() const -> std::vector<queue_count>;
    /// @brief Kinds of the workers of each service, without start estimates.
    /// @complexity linear in the number of workers
    [[nodiscard]] auto worker_kinds(time_point now) const
        -> std::map<service_name, policy::service_view>;
    /// @brief Changes whenever a worker of another kind may have come.
    [[nodiscard]] auto kinds_version() const noexcept -> std::uint64_t
    {
        return m_kinds_version;
    }
    /// @brief When jobs could start, for each service that is short.
    [[nodiscard]] auto start_estimates() const noexcept
        -> const std::map<service_name, std::vector<policy::start_estimate>>&
    {
        return m_starts;
    }
    /// @brief When start estimates were last brought up to date.
    [[nodiscard]] auto passed_at() const noexcept -> time_point
    {
        return m_passed_at;
    }
    /// @brief Size of the last pass.
    [[nodiscard]] auto last_pass() const noexcept -> const scheduler_pass&
    {
        return m_last_pass;
    }
    [[nodiscard]] auto epoch() const noexcept -> std::uint64_t
    {
        return m_epoch;
    }
    /// @brief Whether a worker has rejected an order because it knows a later
    /// owner.
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
    /// @brief What the workspaces have running.
    [[nodiscard]] auto workspaces() const noexcept
        -> const policy::workspace_usage&
    {
        return m_usage;
    }
    /// @brief Compares the accounts of the workspaces with the known runs.
    /// @return what differs; empty: nothing. For tests.
    /// @complexity linear in the number of runs
    [[nodiscard]] auto check_usage() const -> std::string;

  private:
    using job_record = detail::job_record;
    using round_record = detail::round_record;
    using step_record = detail::step_record;
    using task_record = detail::task_record;
    using worker_record = detail::worker_record;
    using run_record = detail::run_record;
    using reserved_places = detail::reserved_places;

    /// Position of a task in the records; null pointers where nothing was
    /// found.
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
    [[nodiscard]] auto accepted_at(const job_record& job,
                                   calendar_time calendar, time_point now) const
        -> time_point;
    auto release_steps(job_record& job, round_record& round, time_point now)
        -> void;
    auto find(const task_ref& task) -> task_location;
    auto mark_dirty(job_record& job) -> void;
    auto task_done(const task_location& location, time_point now) -> void;
    auto step_done(const task_location& location, time_point now) -> void;
    auto finish(job_record& job, job_state state, time_point now) -> void;
    auto stop_all_runs(job_record& job, time_point now) -> void;
    auto requeue(const task_location& location, std::uint32_t index,
                 time_point now) -> void;
    auto count_failure(const task_location& location, const run_ref& run,
                       time_point now) -> void;
    auto progress_of(const job_record& job) const -> job_progress;

    // Workers and their runs.
    /// Finds the record of a worker, or adds one.
    auto find_or_add_worker(const worker_entry& entry, time_point now)
        -> worker_record&;
    auto target_of(const worker_record& worker) const -> order_target;
    auto lease_end_for(const worker_record& worker, time_point now) const
        -> worker_time;
    [[nodiscard]] auto is_clock_outdated(const worker_record& worker,
                                         time_point now) const -> bool;
    auto lease_expires_at(const worker_record& worker) const -> time_point;
    /// Whether a reading in the answer to a call can be of the incarnation that
    /// is known.
    [[nodiscard]] auto is_known_incarnation(const worker_record& worker,
                                            const worker_reading& reading,
                                            time_point sent_at) const -> bool;
    auto suspect_restart(worker_record& worker, const worker_reading& reading,
                         time_point now) -> void;
    /// @param until  when the last such order may have been accepted
    auto bound_misdirected_leases(worker_record& worker, time_point until)
        -> void;
    [[nodiscard]] auto earlier_owner_ends_at() const -> time_point;
    auto apply_entry(worker_record& worker, const worker_entry& entry) -> void;
    auto verify_entry(worker_record& worker, const worker_entry& entry,
                      time_point now) -> void;
    auto resolve_entry(worker_record& worker) -> void;
    auto begin_incarnation(worker_record& worker, const run_report& report,
                           time_point now) -> void;
    auto reset_incarnation(worker_record& worker, time_point now) -> void;
    auto end_runs_of_earlier_incarnation(worker_record& worker,
                                         const std::set<run_ref>& reported,
                                         worker_time reported_clock,
                                         time_point now) -> void;
    auto end_replaced_worker(const worker_record& successor, time_point now)
        -> void;
    auto on_worker_ended(worker_record& worker, time_point now) -> void;
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
    auto end_all_runs(worker_record& worker, run_end how, time_point now)
        -> void;
    auto add_run(worker_record& worker, const task_location& location,
                 const run_ref& run, time_point now) -> run_record&;
    auto erase_run(worker_record& worker, const run_ref& run) -> void;

    // Limits of workspaces.
    auto charge_run(run_record& run, const job_record& job,
                    const step_record& step) -> void;
    auto discharge_run(run_record& run) -> void;
    auto attribute_runs(const job_record& job) -> void;
    auto count_unreported_runs(time_point now) -> void;
    [[nodiscard]] auto startable_tasks(const policy::waiting_step& item) const
        -> std::uint32_t;
    [[nodiscard]] auto requestable_tasks(const policy::waiting_step& item,
                                         bool early) const -> std::uint32_t;
    auto count_requested(const policy::waiting_step& item) const -> void;
    [[nodiscard]] auto is_gang_held_back(const policy::waiting_step& item,
                                         time_point now) -> bool;
    auto hold_back(const policy::waiting_step& item, time_point now) -> void;
    auto count_workspaces(time_point now) -> void;
    auto mark_rates() -> void;
    auto order_by_shares(std::vector<policy::waiting_step>& items) const
        -> void;
    auto claim_limit(const policy::waiting_step& item, time_point now) const
        -> void;
    auto request_stop(worker_record& worker, run_record& run, time_point now)
        -> void;
    auto stop_runs_of(const task_record& task, time_point now) -> void;
    auto stop_gang(const task_location& location, time_point now) -> void;
    auto retry_stops(worker_record& worker, time_point now) -> void;
    auto end_expired_runs(worker_record& worker, time_point now) -> void;
    auto plan_heartbeat(worker_record& worker, time_point now, bool may_extend)
        -> void;
    auto apply_outdated_answer(worker_record& worker,
                               const heartbeat_answer& answer, time_point now)
        -> void;
    auto heartbeat_at_once(worker_record& worker, time_point now) -> void;
    auto mark_unanswered(worker_record& worker, time_point now) -> void;
    auto log_unanswered(const worker_record& worker,
                        const heartbeat_answer& answer, time_point now) const
        -> void;
    auto requeue_copyable(worker_record& worker) -> void;
    auto stop_stalled(worker_record& worker, time_point now) -> void;
    auto stop_outlasting(worker_record& worker, time_point now) -> void;
    auto adjust_filler_pace(worker_record& worker, time_point now) -> void;
    auto pause_starts(worker_record& worker, time_point until) -> void;

    // Run times and speeds.
    auto learn_run_time(const worker_record& worker, const run_record& run,
                        const task_location& location, time_point now) -> void;
    auto refresh_speeds(time_point now) -> void;
    auto log_speeds(time_point now) -> void;
    [[nodiscard]] auto preference_of(const policy::waiting_step& item,
                                     time_point now) const
        -> policy::speed_preference;
    [[nodiscard]] auto time_factor(const policy::waiting_step& item) const
        -> double;

    // Copies of stragglers.
    [[nodiscard]] auto expected_time(const policy::waiting_step& item,
                                     const worker_record& worker) const
        -> milliseconds;
    [[nodiscard]] auto
    rooms_for_copies(const std::vector<policy::waiting_step>& waiting) const
        -> std::map<service_name, policy::copy_room>;
    [[nodiscard]] auto find_straggler(const worker_record& worker,
                                      const run_record& run, time_point now)
        -> std::optional<policy::waiting_step>;
    auto place_copies(const std::vector<policy::waiting_step>& waiting,
                      time_point now) -> void;
    auto start_copy(const policy::waiting_step& item, std::uint32_t index,
                    const worker_record& original, time_point now) -> bool;
    auto note_copy_end(const run_record& run, const task_location& location)
        -> void;

    auto end_superseded_runs(const task_location& location,
                             const run_ref& later, time_point now) -> void;
    auto restore_runs(worker_record& worker, const roster_entry& enrolled,
                      time_point now) -> void;
    [[nodiscard]] auto silence_of(const worker_record& worker,
                                  time_point now) const
        -> std::optional<milliseconds>;
    [[nodiscard]] auto initial_silence() const -> milliseconds;
    [[nodiscard]] auto outdated_row(const worker_record& worker) const
        -> std::optional<roster_entry>;
    [[nodiscard]] auto closed_row(const worker_record& worker) const
        -> roster_entry;
    auto forget_gone_workers(time_point now) -> void;
    auto remove_from_steps(worker_record& worker) -> void;

    // Tasks that may crash their workers.
    /// @param unharmed  runs that the worker has besides
    [[nodiscard]] auto suspects_on(const worker_record& worker,
                                   const std::set<run_ref>& unharmed = {}) const
        -> std::map<run_ref, worker_crash>;
    auto on_worker_silent(worker_record& worker, bool connection_lost,
                          time_point now) -> void;
    auto on_worker_answers(worker_record& worker) -> void;
    auto record_crash(const run_ref& run, const worker_crash& crash,
                      const worker_record& worker, time_point now) -> void;
    auto record_crashes(worker_record& worker, time_point now,
                        const std::set<run_ref>& unharmed = {}) -> void;
    auto give_up_crashing(const task_ref& task, time_point now) -> void;
    auto end_trial(worker_record& worker, run_record& run) -> void;
    auto pass_trial(worker_record& worker, run_record& run, time_point now)
        -> void;
    auto clear_long_running(run_record& run, const task_location& location,
                            time_point now) -> void;
    [[nodiscard]] auto is_trial_needed(const step_record& step) const -> bool;
    auto begin_trial(worker_record& worker, const policy::waiting_step& item,
                     std::uint32_t index) -> void;
    auto place_suspects(const policy::waiting_step& item, time_point now)
        -> void;

    // Dispatch.
    auto dispatch(time_point now) -> void;
    auto log_starts(const policy::waiting_step& item, std::size_t count,
                    time_point now) const -> void;
    auto log_stored(const progress_batch& batch) const -> void;
    auto log_long_wait(const policy::waiting_step& item, time_point now)
        -> void;
    auto log_blocked_jobs(bool blocked, time_point now) -> void;
    auto log_awaited_workers(const std::string& message, time_point now) const
        -> void;
    auto begin_due_probes(time_point now) -> void;
    auto record_outcome(worker_record& worker, const run_ref& run,
                        pimentoshunt::policy::attempt_outcome outcome,
                        time_point now) -> void;
    auto ready_steps(time_point now) -> std::vector<policy::waiting_step>;

    // Overload; see policy/overload_selection.hpp.
    struct service_backlog;
    auto note_arrival(const job_record& job, time_point now) -> void;
    /// Sets the lateness and the latest start of steps whose service has too
    /// little capacity.
    auto apply_selection(std::vector<policy::waiting_step>& items,
                         time_point now) -> void;
    auto collect_backlog(std::map<service_name, service_backlog>& backlogs,
                         time_point now) -> void;
    auto count_late(service_backlog& backlog) -> void;
    auto update_estimates(const service_name& service,
                          const service_backlog& backlog, time_point now)
        -> void;
    auto log_overload(const service_name& service,
                      const service_backlog& backlog, bool was_short,
                      time_point now) -> void;
    [[nodiscard]] auto offers_capacity(const worker_record& worker) const
        -> bool;
    /// Whether the worker may get work of some step.
    [[nodiscard]] auto is_offered(const worker_record& worker,
                                  time_point now) const -> bool;
    /// Whether an order to start something may be sent to the worker.
    [[nodiscard]] auto accepts_starts(const worker_record& worker) const
        -> bool;
    /// Brings the worker up to date in the pool.
    auto update_pool(worker_record& worker, time_point now) -> void;
    auto is_usable(const worker_record& worker, const job_record& job,
                   const step_record& step, time_point now) const -> bool;
    auto fits(const worker_record& worker, const step_record& step) const
        -> bool;
    /// Workers that may run tasks of the step, whether or not they have room.
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
                   std::uint32_t extra_places) -> std::uint32_t;
    auto reserve_room(const policy::waiting_step& item,
                      const reserved_places& before, time_point now) -> void;
    /// @return the released places
    auto release_reservation(step_record& step) -> reserved_places;
    auto release_unvisited_reservations(time_point now) -> void;
    auto gang_workers_to_ask(const policy::waiting_step& item, time_point now)
        -> std::vector<worker_record*>;
    [[nodiscard]] auto reserved_without_ticket(const policy::waiting_step& item,
                                               time_point now) const
        -> std::vector<worker_record*>;
    auto candidates(const policy::waiting_step& item, time_point now)
        -> std::vector<worker_record*>;
    auto start(const policy::waiting_step& item, std::uint32_t index,
               worker_record& worker, std::uint64_t number, time_point now)
        -> void;
    auto send_start(worker_record& worker, run_record& run,
                    const task_location& location, time_point now) -> void;
    auto send_waiting_starts(time_point now) -> void;
    auto send_waiting_starts_to(worker_record& worker, time_point now) -> void;
    /// Whether a start that is sent now may carry the ticket.
    [[nodiscard]] auto
    is_ticket_valid(const detail::approval_record::ticket& ticket,
                    const worker_record& worker, time_point now) const -> bool;
    [[nodiscard]] auto is_permitted(worker_record& worker,
                                    const task_location& location,
                                    time_point now) const -> bool;
    auto withdraw_waiting_starts(worker_record& worker, time_point now) -> void;
    auto give_up_start(worker_record& worker, const run_ref& run,
                       time_point now) -> void;
    auto next_number(const task_record& task) const -> std::uint64_t;
    [[nodiscard]] auto is_report_awaited(const worker_record& worker,
                                         time_point now) const -> bool;
    [[nodiscard]] auto earlier_runs_possible(time_point now) const -> bool;

    // Approvals.
    auto request_approval(const policy::waiting_step& item, bool early,
                          time_point now) -> void;
    auto request_early_approvals(time_point now) -> void;
    [[nodiscard]] auto is_ready_soon(const round_record& round,
                                     const step_record& step) const -> bool;
    auto claim_room(const policy::waiting_step& item, std::uint32_t tasks,
                    const std::vector<worker_record*>& asked) -> void;
    auto release_claims(step_record& step) -> void;
    [[nodiscard]] auto approval_rate(const queue_name& queue) const -> double;
    [[nodiscard]] auto
    workers_with_expired_ticket(const policy::waiting_step& item,
                                time_point now) -> std::vector<worker_record*>;
    /// @param most  number of tasks that the workspace may start
    auto workers_to_ask(const policy::waiting_step& item, std::uint32_t most,
                        time_point now) -> std::vector<worker_record*>;

    std::uint64_t m_epoch;
    scheduler_options m_options;
    policy::clock_bounds m_clocks;
    time_point m_started_at;
    bool m_overtaken = false;
    owner_authority m_authority;
    configuration m_configuration;
    policy::workspace_usage m_usage;
    policy::workspace_rates m_rates;
    time_point m_workspaces_counted_at;
    /// Number of runs whose job is not known.
    std::size_t m_unattributed_runs = 0;
    std::unordered_map<job_id, job_record> m_jobs;
    /// Unfinished jobs in the order of their arrival.
    std::map<std::uint64_t, job_record*> m_active;
    std::uint64_t m_arrivals = 0;
    std::map<worker_id, worker_record> m_workers;
    policy::worker_pool m_pool;
    std::uint64_t m_kinds_version = 0;
    /// Workers that may have ends that are not durable.
    std::set<worker_id> m_with_unsaved_ends;
    /// Workers with starts that wait for a reading of their clock.
    std::set<worker_id> m_with_waiting_starts;
    /// The latest incarnation known at each address.
    std::unordered_map<std::string, worker_id> m_latest_at_address;
    policy::crash_age_estimate m_crash_ages;
    std::map<service_name, policy::overload_selection> m_selections;
    time_point m_overload_logged_at;
    /// Of services that are short.
    std::map<service_name, std::vector<policy::start_estimate>> m_starts;
    time_point m_passed_at;
    scheduler_pass m_last_pass;
    /// Looks at workers since the last pass.
    mutable std::uint64_t m_examined_workers = 0;
    std::vector<job_id> m_dirty;
    bool m_has_unsaved_end = false;
    std::uint64_t m_last_batch = 0;
    /// For each batch being written, the ends that are durable once it is.
    std::map<std::uint64_t, std::vector<std::pair<worker_id, std::uint64_t>>>
        m_ends_of_batch;
    std::vector<job_id> m_finished;
    /// When unknown jobs were cancelled.
    std::unordered_map<job_id, time_point> m_early_cancellations;
    time_point m_supervised_at;
    /// Slow approval requests that may still be made in this pass.
    std::size_t m_slow_request_slots_left = 0;
    /// When it was last logged that a step waits.
    time_point m_wait_logged_at;
    /// Whether inherited jobs wait for reports, and when that was last logged.
    bool m_jobs_blocked = false;
    time_point m_blocked_logged_at;
    /// Steps with a gang that reserves room.
    std::set<step_record*> m_reserving_steps;
    /// Services of which a gang has reserved part of its room in this pass.
    std::set<service_name> m_partially_reserving;
    scheduler_counts m_counts;
    pimentoshunt::policy::worker_health m_health;
    /// Ejected workers that may be given one trial run.
    std::set<worker_id> m_probed_workers;
    /// Moving average of the share of requested workers that each queue's
    /// policy approves.
    std::map<queue_name, double> m_approval_rates;
    policy::run_time_model m_run_times;
    time_point m_speeds_refreshed_at;
    time_point m_speeds_logged_at;
    time_point m_copies_checked_at;
    /// Speeds by service as of the last refresh.
    std::map<service_name, policy::speed_range> m_speed_ranges;
    outbox m_outbox;
};

} // namespace pimentoshunt::cell
