/// @file
/// Membership as seen by one instance: the known instances and which of them
/// are alive. Used by the control thread only.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>

#include <cstdint>       // uint64_t
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::membership
{

/// @brief State that an instance reports of itself; the values are sent between
///        instances.
enum class member_state
{
    joining = 0,
    ready = 1,
    /// Finishes its work; claims no workers and takes no new work.
    draining = 2,
    left = 3
};

/// @brief The state's name in status output.
[[nodiscard]] auto to_string(member_state state) -> std::string;

/// @brief One instance, as described by its latest known heartbeat or row.
struct member
{
    instance_id id;
    /// Increases with each start of the instance.
    std::uint64_t incarnation = 0;
    /// Host and port for messages between instances.
    std::string address;
    /// Host and port of its operator interface.
    std::string http_address;
    data_centre_name data_centre;
    member_state state = member_state::joining;
    /// Increases with each heartbeat, so that an older one that arrives late is
    /// not taken as a sign of life.
    std::uint64_t sequence = 0;
    std::uint64_t plan_revision = 0;
    std::int64_t workers_held = 0;
    std::int64_t free_slots = 0;
    /// Latest time at which the instance was known to be alive, by this
    /// instance's clock.
    time_point last_alive;
    /// Time of the latest heartbeat received without a relay, by this
    /// instance's clock.
    time_point last_direct;
    /// Latest time at which the table contained the instance, by this
    /// instance's clock.
    time_point table_read_at;
    /// ID of the commit that wrote the instance's row, and the time at which
    /// this instance first read that version.
    std::string row_write_id;
    time_point row_changed_at;
};

/// @brief Timeouts of failure detection.
struct liveness_limits
{
    /// Time without a heartbeat after which an instance counts as dead.
    milliseconds suspect_after{1'000};
    /// Time without a heartbeat or table row after which an instance is
    /// removed.
    milliseconds forget_after{60'000};
};

/// @brief The instances known to one instance, excluding itself.
///
/// Sources are heartbeats, received from the instance itself or relayed by
/// another instance with their age, and the rows of the table. Not
/// thread-safe.
class member_table
{
  public:
    explicit member_table(liveness_limits limits) : m_limits(limits)
    {
    }

    /// @brief Records a heartbeat received directly from the instance.
    /// @return whether the instance, its incarnation or its state is new
    auto heard(member update, time_point now) -> bool;

    /// @brief Records the state of an instance as relayed by another instance.
    /// @param age  age of the relayed state when it was sent
    /// @return whether the instance, its incarnation or its state is new
    auto relayed(member update, std::chrono::microseconds age, time_point now)
        -> bool;

    /// @brief Adds or updates an instance read from the table; a row is no sign
    ///        of life.
    auto add_from_table(member update, time_point now) -> void;

    /// @brief Extends all liveness deadlines by a pause of this process, during
    ///        which it could receive no heartbeats.
    auto compensate_pause(std::chrono::nanoseconds length) -> void;

    /// @brief Removes instances that have been silent for
    ///        liveness_limits::forget_after.
    auto forget_silent(time_point now) -> void;

    [[nodiscard]] auto alive(const member& item, time_point now) const -> bool;
    [[nodiscard]] auto alive(const instance_id& id, time_point now) const
        -> bool;
    /// @brief Whether the incarnation is alive and ready.
    [[nodiscard]] auto serving(const instance_id& id, std::uint64_t incarnation,
                               time_point now) const -> bool;

    [[nodiscard]] auto find(const instance_id& id) const -> const member*;
    [[nodiscard]] auto all() const
        -> const std::unordered_map<instance_id, member>&
    {
        return m_members;
    }

  private:
    auto update_row(member& known, const std::string& write_id, time_point now)
        -> void;
    auto merge(member update, time_point seen) -> bool;

    liveness_limits m_limits;
    std::unordered_map<instance_id, member> m_members;
};

} // namespace pimentoshunt::membership
