/// @file
/// State machine of the jobs of one partition: decides which task starts where
/// and when, and when a task may safely start again. Performs no I/O and reads
/// no clock; job_coordinator passes events and the time.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/jobs/job_events.hpp>
#include <pimentoshunt/jobs/job_record.hpp>
#include <pimentoshunt/jobs/retry_queue.hpp>

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <map>           // map
#include <random>        // mt19937
#include <set>           // set
#include <string>        // string
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

namespace pimentoshunt::jobs
{

/// @brief Timings and limits of a tracker.
struct tracker_limits
{
    /// Duration of a lease at a worker.
    milliseconds lease{10'000};
    milliseconds renew_interval{3'000};
    /// Between two inspections or stops of one attempt, or two fences of one
    /// job's workers.
    milliseconds retry_interval{1'000};
    /// An attempt whose worker has not answered for this time is no longer
    /// renewed.
    milliseconds give_up_after{20'000};
    /// Largest difference of two clocks' rates, in permille.
    int clock_drift_permille = 10;
    /// Margin for requests that reach the worker after their caller has timed
    /// out.
    milliseconds lease_margin{5'000};
    /// A placement is released when it has not been used for this time.
    milliseconds hold_timeout{2'000};
    /// Basis of the exponential backoff between the starts of a task or gang.
    milliseconds initial_backoff{100};
    milliseconds max_backoff{10'000};
    /// Minimum time between two commits of one job's progress, unless a start
    /// or the job's end waits for the commit.
    milliseconds persist_interval{500};
    /// Most placements requested at the same time for one job that is not a
    /// gang.
    std::int64_t max_requested_placements = 256;
    /// Number of different workers on which a task has to fail until the
    /// failure is attributed to the job.
    std::size_t workers_for_job_fault = 3;
    /// Most starts of one task that end by a stop or an expired lease; then the
    /// job fails.
    int max_stopped_attempts = 20;
    /// Whether workers refuse renewals by an earlier owner of a partition. If
    /// they do not, no elapsed time proves the end of an attempt started by an
    /// earlier owner.
    bool renewals_are_fenced = false;
};

namespace detail
{

/// @brief What is known about the start of an attempt.
enum class attempt_phase
{
    /// The placement is granted, and the start has not been sent.
    held,
    /// The start is in flight.
    starting,
    /// The start may have arrived at the worker.
    unconfirmed,
    /// The worker has confirmed the start.
    running
};

/// @brief A placement with the attempt that runs, or may run, on it.
struct tracked_attempt
{
    attempt_id attempt;
    std::int64_t task = 0;
    job_worker worker;
    worker::epoch_number epoch = 0;
    attempt_phase phase = attempt_phase::held;
    /// Whether an earlier owner of the partition started the attempt.
    bool adopted = false;
    /// When the placement is released; used only in phase held.
    time_point held_until;
    /// Sequence number that has to be committed before the start; used only in
    /// phase held.
    std::uint64_t needs_sequence = 0;
    /// Number of starts and renewals in flight, each of which may extend the
    /// lease.
    int calls_in_flight = 0;
    /// Whether the lease is renewed.
    bool renew = true;
    /// Whether the worker has to be asked for the attempt's state.
    bool inspect = false;
    /// Whether the worker has to stop the attempt.
    bool stop = false;
    /// Earliest time of the next inspection or stop.
    time_point next_try;
    /// When the worker answered a call for the attempt last.
    time_point last_heard;
    /// Upper bound of the lease's end, valid while no call is in flight.
    time_point lease_expires_at;
};

/// @brief A job with its attempts and the state of its commits.
struct tracked_job
{
    job_record record;
    /// Attempts by task; at most one for each task at any time.
    std::map<std::int64_t, tracked_attempt> attempts;
    /// Tasks whose attempts are checked in each tick: all but those that run
    /// with regular renewals.
    std::set<std::int64_t> tasks_to_tick;
    /// All tasks below this number were started before or are done.
    std::int64_t next_new_task = 0;
    /// Tasks that wait for another start.
    retry_queue waiting;
    /// Number of starts of a task that ended by a stop or an expired lease.
    std::unordered_map<std::int64_t, int> stopped;
    /// Workers used by earlier owners that have not been fenced yet.
    std::vector<job_worker> unfenced_workers;
    time_point next_fence;
    /// The state that the job enters once no attempt is left; active when the
    /// job is not ending.
    job_state target_state = job_state::active;
    /// Whether all members of the gang are being stopped and the gang is then
    /// restarted, because a member was not started or did not succeed.
    bool gang_aborting = false;
    /// Members of the gang that succeeded in its current run.
    task_set gang_done;
    /// Whether a member of the gang may have started in its current run.
    bool gang_ran = false;
    /// Number of restarts of the gang, with or without a started member.
    int failed_rounds = 0;
    /// Number of restarts after a run in which a member may have started.
    int failed_runs = 0;
    /// The gang takes no placements before this time.
    time_point backoff_until;
    /// Placements requested and not yet granted.
    std::int64_t requested = 0;
    /// Number of the last change of the progress.
    std::uint64_t sequence = 0;
    /// Number of the last committed change.
    std::uint64_t persisted = 0;
    /// Number of the last change that starts have to wait for.
    std::uint64_t start_barrier = 0;
    /// Number of the change being committed; 0 when no commit is in flight.
    std::uint64_t persisting = 0;
    /// Whether the next commit ignores tracker_limits::persist_interval.
    bool urgent = false;
    time_point next_persist;
};

} // namespace detail

/// @brief Tracks the jobs of one partition for one epoch of its ownership.
///
/// Not thread-safe. Each on() handles an event, and effects() returns the
/// resulting effects. A task has at most one attempt. The next one starts only
/// when the previous one is known to have ended: because the worker reported
/// its end, or because no lease requested by this tracker can still be valid.
/// Each effect that names a result event has to be answered exactly once, also
/// when the call failed.
class job_tracker
{
  public:
    /// @param epoch  of the partition's ownership
    /// @param seed  of the backoff
    job_tracker(int partition, std::uint64_t epoch, tracker_limits limits,
                std::uint32_t seed);

    /// @brief Adds a job that was submitted, or read from the table.
    /// @return false when the job is already tracked or has ended
    auto on_loaded(const job_record& record, time_point now) -> bool;

    /// @brief Reports that all stored jobs of the partition were passed to
    /// on_loaded(). No worker is fenced before, as the tasks of jobs that are
    /// not loaded yet would be stopped as unknown.
    auto on_all_loaded() -> void;

    /// @brief Handles the event named by the type.
    auto on(const placement_granted& event, time_point now) -> void;
    auto on(const start_result& event, time_point now) -> void;
    auto on(const lease_report& event, time_point now) -> void;
    auto on(const attempt_inspected& event, time_point now) -> void;
    auto on(const stop_result& event, time_point now) -> void;
    auto on(const worker_fenced& event, time_point now) -> void;
    auto on(const progress_persisted& event, time_point now) -> void;

    /// @brief Handles a worker's report that a task has exited.
    auto on_finished(const attempt_id& attempt, int exit, time_point now)
        -> void;

    /// @brief Handles the preemption of a task, which was checkpointed and
    /// stopped to free capacity. The task continues later, and neither a failure
    /// nor a stop is counted.
    auto on_preempted(const attempt_id& attempt, time_point now) -> void;

    /// @brief Cancels a job and stops all its attempts.
    /// @return false when the job is not tracked
    auto on_cancel(const job_id& job, time_point now) -> bool;

    /// @brief Handles the platform's report that a worker's machine is lost for
    /// good, so that no instance renews leases there.
    auto on_worker_lost(const worker_id& worker, time_point now) -> void;

    /// @brief Advances the time; called every few hundred milliseconds.
    /// @complexity linear in the number of jobs, of attempts that are not
    ///             running undisturbed, and of leases due for renewal
    auto tick(time_point now) -> void;

    /// @brief Returns the effects requested since the last call, in order.
    [[nodiscard]] auto effects() -> std::vector<job_effect>;

    /// @brief The progress of a tracked job, or nullptr.
    [[nodiscard]] auto find(const job_id& job) const -> const job_progress*;

    /// @brief Number of attempts that hold a placement.
    [[nodiscard]] auto attempts() const noexcept -> std::size_t
    {
        return m_attempts.size();
    }

  private:
    /// The attempts at one worker, whose leases are renewed together.
    struct lease_group
    {
        job_worker worker;
        /// May contain attempts that have ended or are no longer renewed.
        std::unordered_set<attempt_id> attempts;
        time_point next_renewal;
        bool in_flight = false;
    };

    using job_entry = detail::tracked_job;
    using attempt_entry = detail::tracked_attempt;

    /// Where an attempt is stored. The pointers stay valid because the nodes of
    /// maps do not move.
    struct attempt_location
    {
        job_entry* job = nullptr;
        attempt_entry* attempt = nullptr;
    };

    [[nodiscard]] auto find_job(const job_id& job) -> job_entry*;
    [[nodiscard]] auto find_attempt(const attempt_id& attempt, job_entry*& job)
        -> attempt_entry*;
    /// Time after the end of the last call until a lease has certainly expired:
    /// its duration, the clock drift and the margin for late requests.
    [[nodiscard]] auto lease_expiry_delay() const -> boot_clock::duration;
    /// A uniformly distributed delay of at most @p longest.
    [[nodiscard]] auto random_delay(milliseconds longest) -> milliseconds;
    /// A randomized exponential backoff.
    [[nodiscard]] auto backoff(int failed_rounds) -> boot_clock::duration;
    [[nodiscard]] static auto can_take_placements(const job_entry& job,
                                                  time_point now) -> bool;
    /// Chooses the task for a placement; negative when none can start.
    [[nodiscard]] auto pick_task(job_entry& job, time_point now)
        -> std::int64_t;
    [[nodiscard]] auto count_startable_tasks(const job_entry& job) const
        -> std::int64_t;
    /// Whether a worker's machine is lost and all leases there have expired.
    [[nodiscard]] auto is_lost(const worker_id& worker, time_point now) const
        -> bool;

    /// Records an attempt's worker, and its task unless idempotent, in the
    /// progress, and sets the commit that the start has to wait for.
    auto record_placement(job_entry& job, attempt_entry& entry) -> void;
    /// Starts the held attempts whose commit has succeeded; those of a gang
    /// only once all its members can start.
    auto start_ready_attempts(job_entry& job) -> void;
    auto start(job_entry& job, attempt_entry& entry) -> void;
    /// Continues a task started by an earlier owner, or stops the task when the
    /// job does not need it.
    auto adopt_task(job_entry& job, const worker_fenced& event,
                    const worker::running_task& task, time_point now) -> void;
    auto mark_fenced(job_entry& job, const worker_id& worker) -> void;
    /// Fails a job that is not idempotent if one of its started tasks is
    /// neither done nor running, now that all its workers are fenced.
    auto fail_if_unreported(job_entry& job) -> void;
    auto finish_start(job_entry& job, attempt_entry& entry, start_status status,
                      time_point now) -> void;

    /// Removes an attempt that has ended and releases its placement.
    auto remove_attempt(job_entry& job, std::int64_t task,
                        attempt_outcome outcome) -> void;
    auto end_not_run(job_entry& job, std::int64_t task, time_point now) -> void;
    auto end_stopped(job_entry& job, std::int64_t task, time_point now) -> void;
    auto end_finished(job_entry& job, std::int64_t task, int exit,
                      time_point now) -> void;
    /// Stops all members of a gang before a restart; fails a gang that has run
    /// and is not idempotent with @p fault_if_single_run.
    auto abort_gang(job_entry& job, job_fault fault_if_single_run) -> void;
    /// Counts a failure and fails the job when a limit is reached.
    /// @return the number of failures of the task
    auto count_failure(job_entry& job, std::int64_t task,
                       const worker_id& worker, int exit) -> int;
    auto schedule_retry(job_entry& job, std::int64_t task, int failed_rounds,
                        time_point now) -> void;
    auto fail_job(job_entry& job, job_fault fault, const std::string& reason)
        -> void;
    auto stop_all(job_entry& job) -> void;
    auto restart_gang(job_entry& job, time_point now) -> void;
    static auto reset_gang(job_entry& job) -> void;

    /// Updates the job's state, placement request and commit after a change.
    auto update_job(job_entry& job, time_point now) -> void;
    [[nodiscard]] static auto has_missing_members(const job_entry& job) -> bool;
    auto update_placement_request(job_entry& job, time_point now) -> void;
    auto mark_changed(job_entry& job, bool urgent) -> void;
    auto persist(job_entry& job, time_point now) -> void;

    auto tick_attempts(job_entry& job, time_point now) -> void;
    auto tick_attempt(job_entry& job, attempt_entry& entry, time_point now)
        -> void;
    auto expire_holds(job_entry& job, time_point now) -> void;
    /// Whether the attempt has ended because its lease cannot be valid any
    /// more.
    [[nodiscard]] auto has_certainly_expired(const attempt_entry& entry,
                                             time_point now) const -> bool;
    /// Adds an attempt to its worker's lease group; a new group is first
    /// renewed after a random delay of at most @p max_delay.
    auto join_lease_group(const attempt_entry& entry, time_point now,
                          milliseconds max_delay) -> void;
    [[nodiscard]] auto make_renewal(lease_group& group) -> renew_leases;
    auto stop_renewing(job_entry& job, attempt_entry& entry, time_point now)
        -> void;
    auto tick_fences(time_point now) -> void;
    auto tick_leases(time_point now) -> void;
    auto forget_ended() -> void;

    const int m_partition;
    const std::uint64_t m_epoch;
    const tracker_limits m_limits;
    std::mt19937 m_random;
    std::unordered_map<job_id, job_entry> m_jobs;
    std::unordered_map<attempt_id, attempt_location> m_attempts;
    std::unordered_map<worker_id, lease_group> m_leases;
    /// Workers on lost machines, with the time when all leases there have
    /// expired.
    std::unordered_map<worker_id, time_point> m_lost_workers;
    bool m_all_loaded = false;
    std::vector<job_id> m_jobs_to_forget;
    /// Jobs whose end is committed. A read of the partition from before that
    /// commit may be reported later and must not revive them. The rows of ended
    /// jobs remain, so no other job gets their ids.
    std::unordered_set<job_id> m_ended_jobs;
    std::vector<job_effect> m_effects;
};

} // namespace pimentoshunt::jobs
