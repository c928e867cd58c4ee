/// @file
/// Computes the capacity that long work has to leave free for short work that
/// may arrive.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/resources.hpp>

namespace pimentoshunt::policy
{

/// @brief Peak of the resource usage of short work, with exponential decay.
class short_reserve
{
  public:
    /// @param half_life  time after which a recorded peak has decayed to half
    explicit short_reserve(milliseconds half_life);

    /// @brief Records the usage of short work, running and waiting, at @p now.
    auto record_usage(const resources& short_use, time_point now) -> void;

    /// @brief Capacity that long work has to leave free in addition to the
    ///        current @p short_use.
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
