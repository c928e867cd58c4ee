/// @file
/// How many tombstones an instance writes for a workspace's cancelled jobs that are
/// not stored.
///
/// Load: a caller that cancels IDs which nobody has submitted makes the store keep
/// a few rows for each of them, which every new owner has to read. Input: the
/// tombstones that this instance has written for the workspace within their
/// retention; after a restart it knows of none. Used by the control thread only; no
/// I/O and no clock.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <algorithm> // max
#include <chrono>    // ceil, seconds
#include <cstddef>   // size_t
#include <deque>     // deque

namespace pimentoshunt::cell::policy
{

/// How long a tombstone is kept: as long as the final state of a job. Writes take
/// effect some seconds late at most.
inline constexpr milliseconds tombstone_retention{130'000};

/// @brief Limits the tombstones that one instance writes for one workspace.
class tombstone_limit
{
  public:
    /// Those that may exist at a time.
    static constexpr std::size_t max_tombstones = 500;

    /// @brief Whether a further one may be written.
    [[nodiscard]] auto allows(time_point now) -> bool
    {
        while (!m_written_at.empty() &&
               now - m_written_at.front() >= tombstone_retention)
        {
            m_written_at.pop_front();
        }
        return m_written_at.size() < max_tombstones;
    }

    /// @brief Counts one that is being written.
    auto on_write(time_point now) -> void
    {
        m_written_at.push_back(now);
    }

    /// @brief Time until a further one is allowed, at least 1 s.
    [[nodiscard]] auto retry_after(time_point now) const -> std::chrono::seconds
    {
        constexpr std::chrono::seconds shortest{1};
        if (m_written_at.empty())
        {
            return shortest;
        }
        return std::max(shortest,
                        std::chrono::ceil<std::chrono::seconds>(
                            m_written_at.front() + tombstone_retention - now));
    }

  private:
    std::deque<time_point> m_written_at;
};

} // namespace pimentoshunt::cell::policy
