/// @file
/// The jobs of the partitions that one instance owns: which partitions those
/// are, what their jobs ask for, and which job a grant goes to.
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

/// @brief Times of the desk.
struct job_coordinator_intervals
{
    /// Between two looks at a held partition's row, jobs and cancellations.
    milliseconds read_interval{5'000};
    /// Between two tries to claim a partition.
    milliseconds claim_interval{1'000};
    /// Between two ticks of the trackers.
    milliseconds tick_interval{100};
};

/// @brief Batch and gang work of one instance. Single-threaded: it belongs to
/// the control thread.
///
/// Safety rests on the table and the workers, not on this class: a partition
/// row names its owner, each commit rewrites it, a worker is recorded before
/// the first start on it, and starts carry the partition's epoch.
class job_coordinator
{
  public:
    /// @param self  this instance, among those that serve() is given
    job_coordinator(instance_id self, job_coordinator_intervals times,
                    std::uint32_t seed)
        : m_self(std::move(self)), m_intervals(times), m_seed(seed)
    {
    }

    /// @brief Takes the serving instances, by which partitions are shared out.
    auto assign(const std::vector<instance_id>& serving) -> void;

    /// @brief Takes in one event.
    auto handle(job_coordinator_event&& event, time_point now) -> void;

    /// @brief Gives a grant to a job that wants it.
    /// @return false when none does: give it back
    auto bind(const entry::grant& item, time_point now) -> bool;

    /// @brief Lets time pass.
    auto tick(time_point now) -> void;

    /// @brief What the jobs ask of every owner, one line a workload.
    [[nodiscard]] auto demand() const -> std::vector<entry::workload_demand>;

    /// @brief Whether demand() may have changed since the last call of this.
    [[nodiscard]] auto take_demand_changed() -> bool;

    /// @brief Hands out what is to be done.
    [[nodiscard]] auto take_effects() -> job_coordinator_effects;

    /// @brief Partitions owned now.
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

    struct waiting_job
    {
        int partition = 0;
        workload_name workload;
        std::int64_t count = 0;
        std::vector<worker_id> avoid;
        time_point since;
    };

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

    auto add_partition(partition_read& event, time_point now) -> void;
    auto remove_partition(int partition) -> void;
    auto find(int partition, std::uint64_t epoch) -> owned_partition*;
    auto dispatch_effects(owned_partition& owned, time_point now) -> void;
    auto dispatch_effect(owned_partition& owned, job_effect&& effect,
                         time_point now) -> void;
    auto update_waiting_job(int partition, placement_request&& wanted,
                            time_point now) -> void;
    auto queue_progress(const owned_partition& owned,
                        persist_progress&& progress) -> void;
    auto release_grant(const release_placement& released, time_point now)
        -> void;
    auto issue_commit() -> void;
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
    /// Progress that waits for the commit under way to end.
    commit_request m_next_commit;
    bool m_committing = false;
    bool m_demand_changed = false;
    time_point m_next_tick;
    job_coordinator_effects m_effects;
};

} // namespace pimentoshunt::jobs
