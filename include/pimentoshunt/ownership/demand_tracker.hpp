/// @file
/// Demand that each entry instance sends to this owner, minus the grants in
/// flight to that entry. Used by the control thread only.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/request_queue.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/policy/grant_scheduler.hpp>

#include <cstdint>       // uint64_t
#include <deque>         // deque
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::ownership
{

/// @brief Demand of all entry instances. Not thread-safe.
///
/// A demand message holds the complete demand of its entry and replaces the
/// earlier one. Work for which a grant was in flight when the entry sent the
/// message is still counted in it, so the grant is deducted here.
class demand_tracker
{
  public:
    /// @param grant_timeout  time after which grants that the entry has not
    ///        confirmed count as lost and are no longer deducted
    explicit demand_tracker(milliseconds grant_timeout)
        : m_grant_timeout(grant_timeout)
    {
    }

    /// @brief Replaces an entry's demand.
    /// @param grants_seen  number of the last grants message that the entry
    ///        has processed
    auto set_demand(const instance_id& entry,
                    std::vector<entry::workload_demand> lines,
                    std::uint64_t grants_seen) -> void;

    /// @brief Removes the demand of an entry and its grants in flight.
    auto remove_entry(const instance_id& entry) -> void;

    /// @brief Demand of all entries minus the grants in flight.
    /// @param in_force  the plan in force; demand for workloads that it does
    ///        not contain is left out
    auto lines(const plan::document& in_force, time_point now)
        -> std::vector<policy::demand_line>;

    /// @brief Records the grants that are sent to an entry in one message.
    /// @return the sequence number of the message
    auto granted(const instance_id& entry,
                 const std::vector<workload_name>& workloads, time_point now)
        -> std::uint64_t;

    /// @brief Whether no entry has any demand.
    [[nodiscard]] auto empty() const noexcept -> bool;

  private:
    struct sent_grants
    {
        std::uint64_t number = 0;
        time_point at;
        std::unordered_map<workload_name, std::int64_t> counts;
    };

    struct entry_demand
    {
        std::vector<entry::workload_demand> lines;
        std::deque<sent_grants> in_flight;
        std::uint64_t last_number = 0;
    };

    static auto in_flight(const entry_demand& view, const workload_name& name)
        -> std::int64_t;

    milliseconds m_grant_timeout;
    std::unordered_map<instance_id, entry_demand> m_entries;
};

} // namespace pimentoshunt::ownership
