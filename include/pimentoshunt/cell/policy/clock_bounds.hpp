/// @file
/// What one steady clock shows while time passes on another one. The owner that
/// extends a lease on a worker and the one that waits for its end both reckon
/// with these bounds: a lease that is granted within them ends, by any owner's
/// clock, no later than assumed.
///
/// Input: the share by which a worker's clock may be slow. No state and no I/O.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <chrono> // ceil, duration, duration_cast

namespace pimentoshunt::cell::policy
{

/// @brief Bounds between the clocks of an owner and of a worker.
class clock_bounds
{
  public:
    /// @param slowness  share by which a worker's clock may be slower than the
    ///                  owner's, at least 0 and below 1; it is never faster
    constexpr explicit clock_bounds(double slowness) noexcept
        : m_slowest(1 - slowness)
    {
    }

    /// @brief Least time that has passed by the worker's clock while @p by_owner
    /// passed by the owner's.
    [[nodiscard]] auto least_by_worker(boot_clock::duration by_owner) const
        -> milliseconds
    {
        return std::chrono::duration_cast<milliseconds>(
            precise_milliseconds(by_owner) * m_slowest);
    }

    /// @brief Longest time by the owner's clock until @p by_worker has passed by
    /// the worker's, with a safety margin.
    [[nodiscard]] auto longest_by_owner(milliseconds by_worker) const
        -> milliseconds
    {
        return std::chrono::ceil<milliseconds>(precise_milliseconds(by_worker) /
                                               m_slowest) +
               safety_margin;
    }

    /// @brief Uncertainty of a reading of the worker's clock after @p age by the
    /// owner's clock.
    [[nodiscard]] auto uncertainty(boot_clock::duration age) const
        -> milliseconds
    {
        return std::chrono::ceil<milliseconds>(precise_milliseconds(age) *
                                               (1 - m_slowest));
    }

  private:
    using precise_milliseconds = std::chrono::duration<double, std::milli>;

    static constexpr milliseconds safety_margin{200};

    double m_slowest;
};

} // namespace pimentoshunt::cell::policy
