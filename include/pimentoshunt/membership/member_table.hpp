/// @file
/// Which instances there are, and which of them live, as one of them sees it.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>

#include <cstdint>       // uint64_t
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::membership
{

/// @brief What an instance says of itself.
enum class member_state
{
    joining = 0,
    ready = 1,
    /// Finishes what it has; owns and takes nothing new.
    draining = 2,
    left = 3
};

/// @brief The state's name in status output.
[[nodiscard]] auto to_string(member_state state) -> std::string;

/// @brief One instance as its last known message described it.
struct member
{
    instance_id id;
    /// Grows with each start of an instance of the same id.
    std::uint64_t incarnation = 0;
    /// Host and port for messages between instances.
    std::string address;
    /// Host and port of its operator interface.
    std::string http_address;
    data_centre_name data_centre;
    member_state state = member_state::joining;
    /// Grows with each heartbeat: an echo of an older one is no sign of life.
    std::uint64_t sequence = 0;
    std::uint64_t plan_revision = 0;
    std::int64_t workers_held = 0;
    std::int64_t free_slots = 0;
    /// Latest time at which it is known to have lived, on our clock.
    time_point last_alive;
    /// Latest time at which it was heard without a relay, on our clock.
    time_point last_direct;
    /// Latest time at which the table named it, on our clock.
    time_point table_read_at;
    /// The commit that wrote its row, and when we first saw that one.
    std::string row_write_id;
    time_point row_changed_at;
};

/// @brief Limits by which silence is judged.
struct liveness_limits
{
    /// Silence after which an instance counts as dead.
    milliseconds suspect_after{1'000};
    /// Silence after which it is forgotten.
    milliseconds forget_after{60'000};
};

/// @brief The instances known to one instance, itself not included.
///
/// Knowledge comes from heartbeats, heard from the instance itself or relayed
/// by another with its age (indirect learning). Single-threaded.
class member_table
{
  public:
    explicit member_table(liveness_limits limits) : m_limits(limits)
    {
    }

    /// @brief Takes in a heartbeat of the instance itself.
    /// @return whether its incarnation or state is new to us
    auto heard(member update, time_point now) -> bool;

    /// @brief Takes in what another instance knows.
    /// @param age  how old that knowledge was when it was sent
    /// @return whether the instance or its state is new to us
    auto relayed(member update, std::chrono::microseconds age, time_point now)
        -> bool;

    /// @brief Adds an address learnt from the table, not known to live.
    auto add_from_table(member update, time_point now) -> void;

    /// @brief After a pause of our own: silence in it says nothing of others.
    auto compensate_pause(std::chrono::nanoseconds length) -> void;

    /// @brief Drops those that have been silent for long.
    auto forget_silent(time_point now) -> void;

    [[nodiscard]] auto alive(const member& item, time_point now) const -> bool;
    [[nodiscard]] auto alive(const instance_id& id, time_point now) const
        -> bool;
    /// @brief Whether that very incarnation lives and is not leaving.
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
