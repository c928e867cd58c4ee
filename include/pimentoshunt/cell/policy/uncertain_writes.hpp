/// @file
/// Jobs whose submission had an unknown outcome at this instance.
///
/// Load: a store outage leaves many submissions without an answer, which callers
/// send again, cancel or look up. Input: the outcomes of this instance's own writes;
/// those of other instances are not known here. Used by the control thread only; no
/// I/O and no clock.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>

#include <cstddef>       // size_t
#include <unordered_map> // unordered_map

namespace pimentoshunt::cell::policy
{

/// @brief Remembers submissions with an unknown outcome until they are settled.
class uncertain_writes
{
  public:
    /// A transaction without an answer takes effect some seconds late at most.
    static constexpr milliseconds longest_delay{10'000};
    /// All are forgotten beyond this number.
    static constexpr std::size_t max_jobs = 20'000;

    /// @param now  when the last write ended without an answer
    auto add(const job_id& job, time_point now) -> void
    {
        if (m_ended_at.size() >= max_jobs)
        {
            m_ended_at.clear();
        }
        m_ended_at[job] = now;
    }

    /// @brief The outcome is known now.
    auto settle(const job_id& job) -> void
    {
        m_ended_at.erase(job);
    }

    /// @brief Whether the job may have been stored.
    [[nodiscard]] auto contains(const job_id& job) const -> bool
    {
        return m_ended_at.contains(job);
    }

    /// @brief Whether the job may still be stored although a read has not found it.
    [[nodiscard]] auto may_arrive(const job_id& job, time_point now) const
        -> bool
    {
        const auto found = m_ended_at.find(job);
        return found != m_ended_at.end() && now - found->second < longest_delay;
    }

  private:
    std::unordered_map<job_id, time_point> m_ended_at;
};

} // namespace pimentoshunt::cell::policy
