/// @file
/// What each entry asks of this owner, net of grants that are on their way.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/request_queue.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/policy/grant_picker.hpp>

#include <cstdint>       // uint64_t
#include <deque>         // deque
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::ownership
{

/// @brief The demand of all entries. Single-threaded.
///
/// An entry's demand is its present state and replaces the earlier one. A
/// grant that the entry had not yet seen when it spoke is still counted as
/// waiting there, so it is deducted here.
class demand_board
{
  public:
    /// @param grant_timeout  after this, grants that an entry never confirmed
    ///        are no longer deducted: their message was lost
    explicit demand_board(milliseconds grant_timeout)
        : m_grant_timeout(grant_timeout)
    {
    }

    /// @brief Replaces an entry's demand.
    /// @param grants_seen  number of the last grants message it took in
    auto told(const instance_id& entry,
              std::vector<entry::workload_demand> lines,
              std::uint64_t grants_seen) -> void;

    /// @brief Forgets an entry.
    auto gone(const instance_id& entry) -> void;

    /// @brief The net demand of all entries.
    /// @param in_force  the plan that names the workloads; lines of others are
    ///        left out
    auto lines(const plan::document& in_force, time_point now)
        -> std::vector<policy::demand_line>;

    /// @brief Records grants that are sent to an entry in one message.
    /// @return the number of that message
    auto granted(const instance_id& entry,
                 const std::vector<workload_name>& workloads, time_point now)
        -> std::uint64_t;

    /// @brief Whether any entry asks for anything.
    [[nodiscard]] auto empty() const noexcept -> bool;

  private:
    struct sent_grants
    {
        std::uint64_t number = 0;
        time_point at;
        std::unordered_map<workload_name, std::int64_t> counts;
    };

    struct entry_view
    {
        std::vector<entry::workload_demand> lines;
        std::deque<sent_grants> on_their_way;
        std::uint64_t last_number = 0;
    };

    static auto on_their_way(const entry_view& view, const workload_name& name)
        -> std::int64_t;

    milliseconds m_grant_timeout;
    std::unordered_map<instance_id, entry_view> m_entries;
};

} // namespace pimentoshunt::ownership
