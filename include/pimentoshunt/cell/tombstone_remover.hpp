/// @file
/// Removes tombstones of cancelled jobs after their retention, for the owner of
/// the cell.
#pragma once

#include <pimentoshunt/cell/policy/tombstone_limit.hpp>
#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/logging.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <deque>   // deque
#include <map>     // map
#include <memory>  // enable_shared_from_this
#include <string>  // string
#include <utility> // move
#include <vector>  // vector

namespace pimentoshunt::cell
{

/// @brief Keeps track of the tombstones of one ownership. Each removal depends on
/// the version that was seen, so that a renewed tombstone stays. Used by the
/// control thread only.
template<class Platform>
class tombstone_remover
    : public std::enable_shared_from_this<tombstone_remover<Platform>>
{
  public:
    /// @param retention  time from when a tombstone was seen to its removal
    explicit tombstone_remover(
        Platform& platform,
        milliseconds retention = policy::tombstone_retention)
        : m_platform(platform), m_retention(retention)
    {
    }

    /// @brief Notes a tombstone of the store; one that is renewed is noted again.
    auto add(const stored_row& row, time_point now) -> void
    {
        m_parts[row.at.part].kept.push_back({row.at, row.version, now});
    }

    /// @brief Removes expired tombstones, one transaction for each part at a time.
    auto remove_due(time_point now) -> void
    {
        if (now < m_next_removal)
        {
            return;
        }
        m_next_removal = now + removal_interval;
        for (auto& [name, part] : m_parts)
        {
            if (!part.is_removing)
            {
                remove_from(name, part, now);
            }
        }
    }

    /// @brief Removes nothing from now on.
    auto stop() -> void
    {
        m_ended = true;
    }

  private:
    /// A tombstone as it was seen.
    struct entry
    {
        row_key at;
        std::uint64_t version = 0;
        time_point seen_at;
    };

    struct part_state
    {
        /// In the order in which they were seen.
        std::deque<entry> kept;
        bool is_removing = false;
    };

    static constexpr milliseconds commit_timeout{700};
    static constexpr milliseconds removal_interval{1'000};
    /// Each is a condition and a removal; the store allows 100 entries.
    static constexpr std::size_t max_rows = 45;

    auto remove_from(const std::string& name, part_state& part, time_point now)
        -> void
    {
        // The feed may show a row again, and a row may have been renewed.
        std::map<std::string, entry> newest;
        while (!part.kept.empty() && newest.size() < max_rows &&
               now - part.kept.front().seen_at >= m_retention)
        {
            auto& item = part.kept.front();
            auto& known = newest[item.at.key];
            if (item.version > known.version)
            {
                known = std::move(item);
            }
            part.kept.pop_front();
        }
        if (newest.empty())
        {
            return;
        }
        std::vector<entry> due;
        row_transaction transaction;
        for (auto& [key, item] : newest)
        {
            transaction.conditions.push_back({item.at, item.version});
            transaction.removals.push_back(item.at);
            due.push_back(std::move(item));
        }
        part.is_removing = true;
        m_platform.commit(transaction, commit_timeout,
                          [self = this->shared_from_this(), name,
                           due = std::move(due)](const commit_result& result)
                          {
                              if (!self->m_ended)
                              {
                                  self->on_removed(name, due, result);
                              }
                          });
    }

    auto on_removed(const std::string& name, const std::vector<entry>& due,
                    const commit_result& result) -> void
    {
        auto& part = m_parts.at(name);
        part.is_removing = false;
        if (result.state == commit_state::committed)
        {
            logging::debug("expired tombstones removed")
                .with("part", name)
                .with("rows", due.size());
            return;
        }
        const bool is_conflict = result.state == commit_state::conflict;
        for (auto item = due.rbegin(); item != due.rend(); ++item)
        {
            const auto* const row = find_row(result.current, item->at);
            const bool is_unchanged =
                row != nullptr && row->version == item->version;
            if (!is_conflict || is_unchanged)
            {
                part.kept.push_front(*item);
            }
        }
    }

    Platform& m_platform;
    milliseconds m_retention;
    std::map<std::string, part_state> m_parts;
    time_point m_next_removal;
    bool m_ended = false;
};

} // namespace pimentoshunt::cell
