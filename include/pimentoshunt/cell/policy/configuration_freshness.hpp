/// @file
/// Decides whether an instance knows the configuration well enough to answer a
/// caller. Answers the load of an instance that is cut off from the store, was
/// frozen, or follows over a slow link, and would go on with an old version.
///
/// Inputs: the times at which calls were sent whose answers showed the newest
/// version (with the feed's wait of 1 s: up to 2 s and a round trip old), and
/// the arrival of the request. Without any such call nothing is proven.
///
/// Why the difference of the two is enough: a request that arrives at r was sent
/// before r. The store's answers are linearizable, so knowledge of a call sent
/// at p shows every version acknowledged before p. If r - p is within the bound,
/// a version that is not known was acknowledged less than the bound before the
/// request was sent, whatever happens afterwards.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <algorithm> // max, min
#include <chrono>    // ceil
#include <optional>  // optional

namespace pimentoshunt::cell::policy
{

/// @brief Ages beyond which knowledge of the configuration is not used; empty:
/// no bound.
struct configuration_bounds
{
    /// For requests that need a key.
    std::optional<milliseconds> credential_max_age;
    /// For whatever else depends on the configuration.
    std::optional<milliseconds> configuration_max_age;
};

/// @brief Dates what an instance knows of the configuration, by @ref boot_clock:
/// it counts time spent suspended, and wall clocks that are set don't change it.
class configuration_freshness
{
  public:
    /// @brief Records that the answer to a call sent at @p sent_at showed the
    /// newest version. Answers may arrive in another order than their calls.
    auto on_proof(time_point sent_at) -> void
    {
        if (m_is_newest_readable && (!m_proven_at || sent_at > *m_proven_at))
        {
            m_proven_at = sent_at;
        }
    }

    /// @brief Records whether the newest version could be read. While it can't,
    /// nobody knows which keys it withdraws: the last proof keeps its date.
    auto on_newest(bool readable) -> void
    {
        m_is_newest_readable = readable;
    }

    /// @brief When the last call was sent whose answer showed the newest
    /// version.
    [[nodiscard]] auto proven_at() const -> std::optional<time_point>
    {
        return m_proven_at;
    }

    /// @brief Age of the knowledge for a request that arrived at @p arrived; 0
    /// if it was proven later, empty if it never was.
    [[nodiscard]] auto age(time_point arrived) const
        -> std::optional<milliseconds>
    {
        if (!m_proven_at)
        {
            return std::nullopt;
        }
        return *m_proven_at > arrived
                   ? milliseconds(0)
                   : std::chrono::ceil<milliseconds>(arrived - *m_proven_at);
    }

    /// @brief Whether the knowledge is within a bound.
    [[nodiscard]] auto is_within(std::optional<milliseconds> bound,
                                 time_point arrived) const -> bool
    {
        const auto known = age(arrived);
        return !bound || (known && *known <= *bound);
    }

    /// @brief Whether the newest version at a time after @p arrived is known.
    [[nodiscard]] auto is_proven_after(time_point arrived) const -> bool
    {
        return m_proven_at && *m_proven_at > arrived;
    }

  private:
    std::optional<time_point> m_proven_at;
    bool m_is_newest_readable = true;
};

/// @brief Wait of the configuration's feed that keeps the age below the smaller
/// bound: the age reaches twice the wait and a round trip.
[[nodiscard]] inline auto feed_wait(const configuration_bounds& bounds,
                                    milliseconds usual) -> milliseconds
{
    constexpr int parts = 3;
    constexpr milliseconds min_wait{50};
    auto out = usual;
    for (const auto& bound :
         {bounds.credential_max_age, bounds.configuration_max_age})
    {
        out = bound ? std::min(out, std::max(min_wait, *bound / parts)) : out;
    }
    return out;
}

} // namespace pimentoshunt::cell::policy
