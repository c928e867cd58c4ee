/// @file
/// The decisions about the jobs of one partition: what starts where and when,
/// and above all when a task may start again. No I/O and no clock of its own.
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

/// @brief Times and bounds of a tracker.
struct tracker_limits
{
    /// Length of a lease at a worker.
    milliseconds lease{10'000};
    milliseconds renew_interval{3'000};
    /// Between two look-ups, stops or fences of the same thing.
    milliseconds retry_interval{1'000};
    /// A worker silent for that long gets no renewals any more.
    milliseconds give_up_after{20'000};
    /// How far two clocks' rates may differ.
    int clock_drift_permille = 10;
    /// For requests that reach the worker after the caller has given up.
    milliseconds lease_margin{5'000};
    /// How long a placement is kept without a start.
    milliseconds hold_timeout{2'000};
    milliseconds initial_backoff{100};
    milliseconds max_backoff{10'000};
    /// Least time between two commits of one job's progress, where no start
    /// or end waits for it.
    milliseconds persist_interval{500};
    /// Placements asked for at once by one job that is not a gang.
    std::int64_t max_requested_placements = 256;
    /// A task that failed on so many different workers is the job's fault.
    std::size_t workers_for_job_fault = 3;
    /// Starts of one task that ended by a stop or a lapsed lease.
    int max_stopped_attempts = 20;
    /// Whether workers refuse renewals by an earlier owner of a partition. If
    /// not, no clock proves the end of an attempt that an earlier owner began.
    bool renewals_are_fenced = false;
};

namespace detail
{

/// @brief What is known of one attempt.
enum class attempt_phase
{
    /// Granted, not sent.
    held,
    /// The start is under way.
    starting,
    /// The start may have arrived.
    unconfirmed,
    running
};

/// @brief One placement and what runs, or may run, on it.
struct tracked_attempt
{
    attempt_id attempt;
    std::int64_t task = 0;
    job_worker worker;
    worker::epoch_number epoch = 0;
    attempt_phase phase = attempt_phase::held;
    /// Begun by an earlier owner of the partition.
    bool adopted = false;
    /// While held: until when. Else: unused.
    time_point held_until;
    /// While held: the commit that must have succeeded before the start.
    std::uint64_t needs_sequence = 0;
    /// Start and renewals under way, each of which may extend the lease.
    int calls_in_flight = 0;
    /// Leases are renewed; once ended they never are again.
    bool renew = true;
    bool inspect = false;
    bool stop = false;
    time_point next_try;
    time_point last_heard;
    /// No lease lasts longer than that, once no call is under way.
    time_point lapse_at;
};

/// @brief A job with all that is in flight for it.
struct tracked_job
{
    job_record record;
    /// By task: at most one attempt each, at any time.
    std::map<std::int64_t, tracked_attempt> attempts;
    /// Tasks whose attempts need each tick: all but those that just run.
    std::set<std::int64_t> tasks_to_tick;
    /// Tasks below that were started before, or done.
    std::int64_t next_new_task = 0;
    retry_queue waiting;
    /// Ended starts of a task that were no failures.
    std::unordered_map<std::int64_t, int> stopped;
    /// Workers of earlier owners that have not been fenced yet.
    std::vector<job_worker> unfenced_workers;
    time_point next_fence;
    /// Where the job goes once nothing of it runs; active: nowhere.
    job_state target_state = job_state::active;
    /// A member of the gang ended badly: all of it stops and begins anew.
    bool gang_aborting = false;
    /// Members of the gang that ended well in its present run.
    task_set gang_done;
    /// A member of the gang may have started in its present run.
    bool gang_ran = false;
    /// Holds and runs of the gang that came to nothing.
    int failed_rounds = 0;
    /// Those among them in which a member ran.
    int failed_runs = 0;
    time_point backoff_until;
    std::int64_t requested = 0;
    std::uint64_t sequence = 0;
    std::uint64_t persisted = 0;
    /// The last change that a start has to wait for.
    std::uint64_t start_barrier = 0;
    /// 0: no commit under way.
    std::uint64_t persisting = 0;
    bool urgent = false;
    time_point next_persist;
};

} // namespace detail

/// @brief Tracks the jobs of one partition for one epoch of its ownership.
///
/// Single-threaded. Each on() takes an event, effects() hands out what it led
/// to. A task has at most one attempt; the next begins only when the earlier
/// one is known not to run any more: by the worker's own word, or because no
/// lease that this tracker asked for can still last. Each effect that names an
/// answer must be answered, once, also when the call failed.
class job_tracker
{
  public:
    /// @param epoch  of the partition's ownership
    /// @param seed  of the backoff
    job_tracker(int partition, std::uint64_t epoch, tracker_limits limits,
                std::uint32_t seed);

    /// @brief A job submitted, or found in the table after a claim.
    /// @return false when it is tracked already or has ended
    auto on_loaded(const job_record& record, time_point now) -> bool;

    /// @brief All jobs of the partition that the table holds were given to
    /// on_loaded(); before that no worker is asked what runs there.
    auto on_all_loaded() -> void;

    auto on(const placement_granted& event, time_point now) -> void;
    auto on(const start_result& event, time_point now) -> void;
    auto on(const lease_report& event, time_point now) -> void;
    auto on(const attempt_inspected& event, time_point now) -> void;
    auto on(const stop_result& event, time_point now) -> void;
    auto on(const worker_fenced& event, time_point now) -> void;
    auto on(const progress_persisted& event, time_point now) -> void;

    /// @brief A task ended by itself, as the worker says.
    auto on_finished(const attempt_id& attempt, int exit, time_point now)
        -> void;

    /// @brief A task was checkpointed and stopped to make room; it goes on
    /// later and this counts for nothing.
    auto on_preempted(const attempt_id& attempt, time_point now) -> void;

    /// @brief Stops all of a job.
    /// @return false when it is not tracked
    auto on_cancel(const job_id& job, time_point now) -> bool;

    /// @brief The platform says that a machine is gone for good, and no
    /// instance renews leases there any more.
    auto on_worker_lost(const worker_id& worker, time_point now) -> void;

    /// @brief Time passed; to be called every few hundred milliseconds.
    /// @complexity linear in the number of jobs, of attempts that do not just
    ///             run, and of leases that are due
    auto tick(time_point now) -> void;

    /// @brief Hands out what was asked for since the last call, in order.
    [[nodiscard]] auto effects() -> std::vector<job_effect>;

    /// @brief A tracked job's progress, or nullptr.
    [[nodiscard]] auto find(const job_id& job) const -> const job_progress*;

    /// @brief Attempts that hold a placement.
    [[nodiscard]] auto attempts() const noexcept -> std::size_t
    {
        return m_attempts.size();
    }

  private:
    /// The attempts at one worker whose leases are renewed together.
    struct lease_group
    {
        job_worker worker;
        /// Some may have ended or given up renewal since.
        std::unordered_set<attempt_id> attempts;
        time_point next_renewal;
        bool under_way = false;
    };

    using job_entry = detail::tracked_job;
    using attempt_entry = detail::tracked_attempt;

    /// Where an attempt is kept; nodes of maps do not move.
    struct attempt_location
    {
        job_entry* job = nullptr;
        attempt_entry* attempt = nullptr;
    };

    [[nodiscard]] auto find_job(const job_id& job) -> job_entry*;
    [[nodiscard]] auto find_attempt(const attempt_id& attempt, job_entry*& job)
        -> attempt_entry*;
    [[nodiscard]] auto lease_expiry_delay() const -> boot_clock::duration;
    /// A random time up to @p longest.
    [[nodiscard]] auto random_delay(milliseconds longest) -> milliseconds;
    [[nodiscard]] auto backoff(int failed_rounds) -> boot_clock::duration;
    [[nodiscard]] static auto can_take_placements(const job_entry& job,
                                                  time_point now) -> bool;
    [[nodiscard]] auto pick_task(job_entry& job, time_point now)
        -> std::int64_t;
    [[nodiscard]] auto count_startable_tasks(const job_entry& job) const
        -> std::int64_t;
    [[nodiscard]] auto is_lost(const worker_id& worker, time_point now) const
        -> bool;

    auto record_placement(job_entry& job, attempt_entry& entry) -> void;
    /// Starts what is held and has nothing left to wait for.
    auto start_ready_attempts(job_entry& job) -> void;
    auto start(job_entry& job, attempt_entry& entry) -> void;
    auto adopt_task(job_entry& job, const worker_fenced& event,
                    const worker::running_task& task, time_point now) -> void;
    auto mark_fenced(job_entry& job, const worker_id& worker) -> void;
    auto fail_if_unreported(job_entry& job) -> void;
    auto finish_start(job_entry& job, attempt_entry& entry, start_status status,
                      time_point now) -> void;

    /// Removes the attempt; nothing of it runs any more.
    auto remove_attempt(job_entry& job, std::int64_t task,
                        attempt_outcome outcome) -> void;
    auto end_not_run(job_entry& job, std::int64_t task, time_point now) -> void;
    auto end_stopped(job_entry& job, std::int64_t task, time_point now) -> void;
    auto end_finished(job_entry& job, std::int64_t task, int exit,
                      time_point now) -> void;
    auto abort_gang(job_entry& job, job_fault fault_if_single_run) -> void;
    auto count_failure(job_entry& job, std::int64_t task,
                       const worker_id& worker, int exit) -> int;
    auto schedule_retry(job_entry& job, std::int64_t task, int failed_rounds,
                        time_point now) -> void;
    auto fail_job(job_entry& job, job_fault fault, const std::string& reason)
        -> void;
    auto stop_all(job_entry& job) -> void;
    auto restart_gang(job_entry& job, time_point now) -> void;
    static auto reset_gang(job_entry& job) -> void;

    /// Brings wishes, commits and the end of the job up to date.
    auto update_job(job_entry& job, time_point now) -> void;
    [[nodiscard]] static auto has_missing_members(const job_entry& job) -> bool;
    auto update_placement_request(job_entry& job, time_point now) -> void;
    auto mark_changed(job_entry& job, bool urgent) -> void;
    auto persist(job_entry& job, time_point now) -> void;

    auto tick_attempts(job_entry& job, time_point now) -> void;
    auto tick_attempt(job_entry& job, attempt_entry& entry, time_point now)
        -> void;
    auto expire_holds(job_entry& job, time_point now) -> void;
    [[nodiscard]] auto has_certainly_lapsed(const attempt_entry& entry,
                                            time_point now) const -> bool;
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
    /// When no lease lasts any more at machines that are gone.
    std::unordered_map<worker_id, time_point> m_lost_workers;
    bool m_all_loaded = false;
    std::vector<job_id> m_jobs_to_forget;
    /// Jobs whose end is durable: a reading of before may be told late. Their
    /// rows stay, so none comes again under its id.
    std::unordered_set<job_id> m_ended_jobs;
    std::vector<job_effect> m_effects;
};

} // namespace pimentoshunt::jobs
