/// @file
/// Tracks whether the store answers this instance.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/logging.hpp>

namespace pimentoshunt::cell
{

/// @brief Remembers the outcome of the last calls to the store. Used by the
/// control thread only.
class store_health
{
  public:
    /// @brief Records the end of a call; logs the begin and end of an outage.
    auto record(bool answered, time_point now) -> void
    {
        if (answered)
        {
            m_answered_at = now;
            if (m_failing)
            {
                logging::info("store answers again")
                    .with("away", now - m_failing_since);
            }
            m_failing = false;
            return;
        }
        m_failed_at = now;
        if (!m_failing)
        {
            m_failing = true;
            m_failing_since = now;
            logging::warn("store does not answer");
        }
    }

    /// @brief Whether calls have failed for @ref unavailable_after without a
    /// success.
    [[nodiscard]] auto is_unavailable(time_point now) const -> bool
    {
        return m_failing && now - m_failing_since >= unavailable_after;
    }

    /// @brief Whether no call has failed within @ref steady_after.
    [[nodiscard]] auto is_steady(time_point now) const -> bool
    {
        return now - m_failed_at >= steady_after;
    }

    /// @brief Whether the last call failed.
    [[nodiscard]] auto is_failing() const noexcept -> bool
    {
        return m_failing;
    }

    /// @brief Whether the last call failed, and did so within @ref recent.
    [[nodiscard]] auto fails_now(time_point now) const -> bool
    {
        return m_failing && now - m_failed_at <= recent;
    }

    /// @brief For how long calls have failed without a success; zero if the
    /// last one was answered.
    [[nodiscard]] auto outage(time_point now) const -> boot_clock::duration
    {
        return m_failing ? now - m_failing_since : boot_clock::duration(0);
    }

    /// @brief When the store last answered.
    [[nodiscard]] auto answered_at() const noexcept -> time_point
    {
        return m_answered_at;
    }

    /// @brief Whether calls have failed for @ref hand_over_after while the
    /// store has answered another instance in the meantime.
    /// @param other_answered_at  when the store last answered the other
    ///                           instance
    [[nodiscard]] auto fails_only_here(time_point other_answered_at,
                                       time_point now) const -> bool
    {
        return m_failing && now - m_failing_since >= hand_over_after &&
               other_answered_at >= m_failing_since + min_answer_lead;
    }

  private:
    /// An owner hands over sooner than callers are refused, so that another
    /// instance can continue at once.
    static constexpr milliseconds hand_over_after{200};
    /// Age of other instances' reports, from the interval and the travel time
    /// of their hellos.
    static constexpr milliseconds min_answer_lead{150};
    /// A single lost answer is not an outage.
    static constexpr milliseconds unavailable_after{400};

    /// While the store is away a feed calls it every 100 ms, or every 600 ms if
    /// it is silent.
    static constexpr milliseconds recent{500};
    /// A store with failed parts fails some calls every second.
    static constexpr milliseconds steady_after{700};

    bool m_failing = false;
    time_point m_failing_since;
    time_point m_answered_at;
    time_point m_failed_at;
};

} // namespace pimentoshunt::cell
