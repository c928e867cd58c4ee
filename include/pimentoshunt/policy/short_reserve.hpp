/// @file
/// How much is kept free of long work, for the short work that may come.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/resources.hpp>

namespace pimentoshunt::policy
{

/// @brief A maximum of recent short use that decays with time.
class short_reserve
{
  public:
    /// @param half_life  time after which a peak counts half
    explicit short_reserve(milliseconds half_life);

    /// @brief Notes what short work holds and waits for at @p now.
    auto note(const resources& short_use, time_point now) -> void;

    /// @brief What long work has to leave free beside @p short_use.
    [[nodiscard]] auto required_free(const resources& short_use,
                                     time_point now) const -> resources;

  private:
    struct peak
    {
        double slots = 0;
        double millicpus = 0;
        double memory_mb = 0;
        double accelerators = 0;
    };

    [[nodiscard]] auto decayed(time_point now) const -> peak;

    milliseconds m_half_life;
    peak m_peak;
    time_point m_at;
};

} // namespace pimentoshunt::policy
