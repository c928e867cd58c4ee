/// @file
/// Coordinates the jobs of the partitions that one instance owns: claims
/// partitions, reports the placements their jobs need, and assigns grants to
/// jobs. The control engine calls it on the control thread.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/request_queue.hpp>
#include <pimentoshunt/jobs/job_coordinator_events.hpp>
#include <pimentoshunt/jobs/job_tracker.hpp>

#include <cstdint>       // uint32_t
#include <map>           // map
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::jobs
{

/// @brief Intervals of a job_coordinator's periodic work.
struct job_coordinator_intervals
{
    /// Between two reads of an owned partition's row, jobs and cancellations.
    milliseconds read_interval{5'000};
    /// Between two attempts to claim a partition.
    milliseconds claim_interval{1'000};
    /// Between two ticks of the trackers.
    milliseconds tick_interval{100};
};

/// @brief Runs the batch and gang jobs of one instance. Not thread-safe: used
/// only by the control thread.
///
/// Safety is ensured by the table and the workers, not by this class: a
/// partition's row names its owner, each commit rewrites the row, a worker is
/// recorded before the first start on it, and starts carry the partition's
/// epoch.
class job_coordinator
{
  public:
    /// @param self  this instance's id as passed to assign()
    /// @param seed  of the trackers' backoff
    job_coordinator(instance_id self, job_coordinator_intervals times,
                    std::uint32_t seed)
        : m_self(std::move(self)), m_intervals(times), m_seed(seed)
    {
    }

    /// @brief Sets the serving instances, among which the partitions are
    /// distributed by rendezvous hashing.
    auto assign(const std::vector<instance_id>& serving) -> void;

    /// @brief Handles one event.
    auto handle(job_coordinator_event&& event, time_point now) -> void;

    /// @brief Assigns a grant to a job that waits for a placement.
    /// @return false when no job does; the grant has to be returned to its
    ///         owner
    auto bind(const entry::grant& item, time_point now) -> bool;

    /// @brief Runs the periodic work: ticks the trackers, reads owned partitions
    /// and claims assigned ones.
    auto tick(time_point now) -> void;

    /// @brief The demand sent to every owner, one entry for each workload.
    [[nodiscard]] auto demand() const -> std::vector<entry::workload_demand>;

    /// @brief Whether demand() may have changed since the last call of this
    /// function.
    [[nodiscard]] auto take_demand_changed() -> bool;

    /// @brief Returns and clears the requested effects.
    [[nodiscard]] auto take_effects() -> job_coordinator_effects;

    /// @brief Number of partitions owned now.
    [[nodiscard]] auto partitions() const noexcept -> std::size_t
    {
        return m_owned.size();
    }

  private:
    struct owned_partition
    {
        partition_state claim;
        job_tracker tracker;
        time_point next_read;
    };

    /// A job's current placement request.
    struct waiting_job
    {
        int partition = 0;
        workload_name workload;
        std::int64_t count = 0;
        std::vector<worker_id> avoid;
        time_point since;
    };

    /// A grant assigned to a job and not yet released.
    struct held_grant
    {
        entry::grant item;
        time_point granted_at;
    };

    auto on(worker_call_finished& event, time_point now) -> void;
    auto on(partition_read& event, time_point now) -> void;
    auto on(job_found& event, time_point now) -> void;
    auto on(job_cancel_requested& event, time_point now) -> void;
    auto on(commit_finished& event, time_point now) -> void;

    /// Starts tracking a partition that was claimed.
    auto add_partition(partition_read& event, time_point now) -> void;
    auto remove_partition(int partition) -> void;
    /// The owned partition, or nullptr when it is not owned in this epoch.
    auto find(int partition, std::uint64_t epoch) -> owned_partition*;
    auto dispatch_effects(owned_partition& owned, time_point now) -> void;
    auto dispatch_effect(owned_partition& owned, job_effect&& effect,
                         time_point now) -> void;
    auto update_waiting_job(int partition, placement_request&& wanted,
                            time_point now) -> void;
    /// Adds progress to the next commit.
    auto queue_progress(const owned_partition& owned,
                        persist_progress&& progress) -> void;
    auto release_grant(const release_placement& released, time_point now)
        -> void;
    /// Requests the next commit unless one is in flight.
    auto issue_commit() -> void;
    /// The job that has waited longest for the grant's workload, preferring
    /// jobs that do not avoid the worker.
    auto choose_waiting_job(const entry::grant& item)
        -> std::map<job_id, waiting_job>::iterator;

    instance_id m_self;
    job_coordinator_intervals m_intervals;
    std::uint32_t m_seed;
    std::vector<bool> m_assigned = std::vector<bool>(partition_count, false);
    std::map<int, time_point> m_claiming;
    std::map<int, owned_partition> m_owned;
    std::map<job_id, waiting_job> m_waiting_jobs;
    std::unordered_map<attempt_id, held_grant> m_grants;
    /// Progress that waits for the end of the commit in flight.
    commit_request m_next_commit;
    bool m_committing = false;
    bool m_demand_changed = false;
    time_point m_next_tick;
    job_coordinator_effects m_effects;
};

} // namespace pimentoshunt::jobs
