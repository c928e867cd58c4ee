/// @file
/// The jobs of the partitions that one instance owns: which partitions those
/// are, what their jobs ask for, and which job a grant goes to.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/request_desk.hpp>
#include <pimentoshunt/jobs/desk_events.hpp>
#include <pimentoshunt/jobs/job_tracker.hpp>

#include <cstdint>       // uint32_t
#include <map>           // map
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::jobs
{

/// @brief Times of the desk.
struct desk_times
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
class job_desk
{
  public:
    /// @param self  this instance, among those that serve() is given
    job_desk(instance_id self, desk_times times, std::uint32_t seed)
        : m_self(std::move(self)), m_times(times), m_seed(seed)
    {
    }

    /// @brief Takes the serving instances, by which partitions are shared out.
    auto assign(const std::vector<instance_id>& serving) -> void;

    /// @brief Takes in one event.
    auto handle(desk_event&& news, time_point now) -> void;

    /// @brief Gives a grant to a job that wants it.
    /// @return false when none does: give it back
    auto bind(const entry::grant& item, time_point now) -> bool;

    /// @brief Lets time pass.
    auto tick(time_point now) -> void;

    /// @brief What the jobs ask of every owner, one line a workload.
    [[nodiscard]] auto demand() const -> std::vector<entry::asked_line>;

    /// @brief Whether demand() may have changed since the last call of this.
    [[nodiscard]] auto take_demand_changed() -> bool;

    /// @brief Hands out what is to be done.
    [[nodiscard]] auto take_effects() -> desk_effects;

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

    struct wish
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

    auto on(worker_answered& news, time_point now) -> void;
    auto on(partition_read& news, time_point now) -> void;
    auto on(job_found& news, time_point now) -> void;
    auto on(job_cancelled& news, time_point now) -> void;
    auto on(commit_ended& news, time_point now) -> void;

    auto take_over(partition_read& news, time_point now) -> void;
    auto drop(int partition) -> void;
    auto find(int partition, std::uint64_t epoch) -> owned_partition*;
    auto collect(owned_partition& owned, time_point now) -> void;
    auto dispatch(owned_partition& owned, job_effect&& effect, time_point now)
        -> void;
    auto note_wish(int partition, want_placements&& wanted, time_point now)
        -> void;
    auto note_progress(const owned_partition& owned,
                       persist_progress&& progress) -> void;
    auto note_release(const release_placement& released, time_point now)
        -> void;
    auto release_commit() -> void;
    auto choose_wish(const entry::grant& item)
        -> std::map<job_id, wish>::iterator;

    instance_id m_self;
    desk_times m_times;
    std::uint32_t m_seed;
    std::vector<bool> m_wanted = std::vector<bool>(partition_count, false);
    std::map<int, time_point> m_claiming;
    std::map<int, owned_partition> m_owned;
    std::map<job_id, wish> m_wishes;
    std::unordered_map<attempt_id, held_grant> m_grants;
    /// Progress that waits for the commit under way to end.
    wanted_commit m_next_commit;
    bool m_committing = false;
    bool m_demand_changed = false;
    time_point m_next_tick;
    desk_effects m_effects;
};

} // namespace pimentoshunt::jobs
