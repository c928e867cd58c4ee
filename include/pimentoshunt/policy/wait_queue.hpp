/// @file
/// Priority queue of the requests that wait at an entry instance for a grant.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>

#include <cstdint>       // uint64_t
#include <iterator>      // prev
#include <limits>        // numeric_limits
#include <optional>      // optional
#include <set>           // set
#include <tuple>         // tie
#include <unordered_map> // unordered_map
#include <utility>       // move
#include <vector>        // vector

namespace pimentoshunt::policy
{

/// @brief Identifier of one waiting item; never reused within a queue.
using wait_ticket = std::uint64_t;

/// @brief Summary of the waiting items of one workload.
struct wait_summary
{
    workload_name workload;
    std::size_t count = 0;
    /// Deadline of the first item in queue order, late or not.
    time_point next_deadline;
    /// Arrival of the item that has waited longest.
    time_point oldest_arrival;
};

namespace detail
{

/// @brief Sort key within one workload; the smallest is served first.
struct queue_position
{
    int priority = 0;
    time_point latest_start;
    wait_ticket ticket = 0;

    friend auto operator<(const queue_position& left,
                          const queue_position& right) -> bool
    {
        return std::tie(right.priority, left.latest_start, left.ticket) <
               std::tie(left.priority, right.latest_start, right.ticket);
    }
};

/// @brief Sort key of the expiry order over all workloads.
struct expiry_position
{
    time_point deadline;
    wait_ticket ticket = 0;

    friend auto operator<(const expiry_position& left,
                          const expiry_position& right) -> bool
    {
        return std::tie(left.deadline, left.ticket) <
               std::tie(right.deadline, right.ticket);
    }
};

} // namespace detail

/// @brief Queue of one entry instance, ordered per workload by priority, then
///        latest start, then arrival.
///
/// An item past its latest start is served after all items that are not: it
/// would likely miss its deadline, and an item that can still meet its deadline
/// uses the slot better. The queue keeps no data of an item that has left by
/// @ref pop, @ref cancel or @ref expire. An item whose deadline has passed is
/// returned by @ref expire only, so that each request gets its final answer.
/// Not thread-safe.
/// @tparam Item  movable; data with which the entry continues the request
template<class Item>
class wait_queue
{
  public:
    /// @brief Adds @p item.
    /// @param workload  workload whose queue gets the item
    /// @param priority  higher is served first within the workload
    /// @param deadline  time from which on pop does not return the item
    /// @param now  arrival time; not before the @p now of earlier calls
    /// @param latest_start  time from which on a run likely misses the deadline
    /// @return the ticket for @ref cancel
    /// @complexity logarithmic in the number of waiting items
    auto push(const workload_name& workload, int priority, time_point deadline,
              time_point latest_start, time_point now, Item item)
        -> wait_ticket;

    /// @brief Adds @p item with unknown run time: its latest start is its
    ///        deadline.
    auto push(const workload_name& workload, int priority, time_point deadline,
              time_point now, Item item) -> wait_ticket
    {
        return push(workload, priority, deadline, deadline, now,
                    std::move(item));
    }

    /// @brief Removes and returns the most urgent item of @p workload that has
    ///        not expired.
    /// @complexity logarithmic in the number of waiting items, times the number
    ///             of distinct priorities that have late items
    auto pop(const workload_name& workload, time_point now)
        -> std::optional<Item>;

    /// @brief Removes one item from any position.
    /// @return the item, or nullopt if it is no longer waiting
    /// @complexity logarithmic in the number of waiting items
    auto cancel(wait_ticket ticket) -> std::optional<Item>;

    /// @brief Removes and returns all items whose deadline is at or before
    ///        @p now.
    /// @complexity logarithmic for each item returned
    auto expire(time_point now) -> std::vector<Item>;

    /// @brief Earliest deadline of all items; nullopt if the queue is empty.
    [[nodiscard]] auto next_expiry() const -> std::optional<time_point>;

    /// @brief Number of waiting items, including expired ones.
    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return m_items.size();
    }

    /// @brief Number of waiting items of @p workload, including expired ones.
    [[nodiscard]] auto size(const workload_name& workload) const -> std::size_t;

    /// @brief One summary for each workload with waiting items.
    /// @note Call @ref expire first, so that expired items are not counted.
    /// @complexity linear in the number of workloads with waiting items
    [[nodiscard]] auto summaries() const -> std::vector<wait_summary>;

  private:
    struct waiting
    {
        workload_name workload;
        detail::queue_position place;
        time_point deadline;
        time_point arrived;
        Item item;
    };

    struct workload_queue
    {
        std::set<detail::queue_position> order;
        /// Tickets increase in order of arrival, so the first is the oldest.
        std::set<wait_ticket> arrivals;
    };

    auto remove(wait_ticket ticket) -> std::optional<Item>;

    std::unordered_map<wait_ticket, waiting> m_items;
    std::unordered_map<workload_name, workload_queue> m_lines;
    std::set<detail::expiry_position> m_expiry;
    wait_ticket m_next = 1;
};

template<class Item>
auto wait_queue<Item>::push(const workload_name& workload, int priority,
                            time_point deadline, time_point latest_start,
                            time_point now, Item item) -> wait_ticket
{
    const auto ticket = m_next++;
    const detail::queue_position place{priority, latest_start, ticket};
    auto& line = m_lines[workload];
    line.order.insert(place);
    line.arrivals.insert(ticket);
    m_expiry.insert({deadline, ticket});
    m_items.emplace(ticket,
                    waiting{workload, place, deadline, now, std::move(item)});
    return ticket;
}

template<class Item>
auto wait_queue<Item>::pop(const workload_name& workload, time_point now)
    -> std::optional<Item>
{
    const auto found = m_lines.find(workload);
    if (found == m_lines.end())
    {
        return std::nullopt;
    }
    const auto& order = found->second.order;
    const auto last = std::numeric_limits<wait_ticket>::max();
    auto next = order.begin();
    std::optional<wait_ticket> late;
    while (next != order.end() && next->latest_start <= now)
    {
        // Skips the late items of this priority in one step.
        next = order.upper_bound({next->priority, now, last});
        const auto nearest = std::prev(next)->ticket;
        if (!late.has_value() && m_items.at(nearest).deadline > now)
        {
            late = nearest;
        }
    }
    if (next != order.end())
    {
        return remove(next->ticket);
    }
    return late.has_value() ? remove(*late) : std::nullopt;
}

template<class Item>
auto wait_queue<Item>::cancel(wait_ticket ticket) -> std::optional<Item>
{
    return remove(ticket);
}

template<class Item>
auto wait_queue<Item>::expire(time_point now) -> std::vector<Item>
{
    std::vector<Item> expired;
    while (!m_expiry.empty() && m_expiry.begin()->deadline <= now)
    {
        auto item = remove(m_expiry.begin()->ticket);
        expired.push_back(std::move(*item));
    }
    return expired;
}

template<class Item>
auto wait_queue<Item>::next_expiry() const -> std::optional<time_point>
{
    if (m_expiry.empty())
    {
        return std::nullopt;
    }
    return m_expiry.begin()->deadline;
}

template<class Item>
auto wait_queue<Item>::size(const workload_name& workload) const -> std::size_t
{
    const auto found = m_lines.find(workload);
    return found == m_lines.end() ? 0 : found->second.order.size();
}

template<class Item>
auto wait_queue<Item>::summaries() const -> std::vector<wait_summary>
{
    std::vector<wait_summary> all;
    all.reserve(m_lines.size());
    for (const auto& [name, line] : m_lines)
    {
        const auto& oldest = m_items.at(*line.arrivals.begin());
        const auto& first = m_items.at(line.order.begin()->ticket);
        all.push_back(
            {name, line.order.size(), first.deadline, oldest.arrived});
    }
    return all;
}

template<class Item>
auto wait_queue<Item>::remove(wait_ticket ticket) -> std::optional<Item>
{
    const auto found = m_items.find(ticket);
    if (found == m_items.end())
    {
        return std::nullopt;
    }
    auto& removed = found->second;
    const auto line = m_lines.find(removed.workload);
    line->second.order.erase(removed.place);
    line->second.arrivals.erase(ticket);
    if (line->second.order.empty())
    {
        m_lines.erase(line);
    }
    m_expiry.erase({removed.deadline, ticket});
    std::optional<Item> item(std::move(removed.item));
    m_items.erase(found);
    return item;
}

} // namespace pimentoshunt::policy
