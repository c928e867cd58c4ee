/// @file
/// Measures the lag of the control thread's event loop.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <algorithm> // clamp
#include <chrono>    // duration
#include <cmath>     // exp

namespace pimentoshunt::cell
{

/// @brief Averages the lateness of a periodic timer; other events wait in the
/// loop for as long.
class loop_lag
{
  public:
    /// @brief Records that the timer has fired.
    /// @param due  when it should have fired
    auto on_timer(time_point due, time_point now) -> void
    {
        using real_ms = std::chrono::duration<double, std::milli>;
        const auto late = std::clamp<boot_clock::duration>(
            now - due, boot_clock::duration::zero(), max_lateness);
        const real_ms passed = m_fired_at == time_point{}
                                   ? real_ms(averaging_window)
                                   : real_ms(now - m_fired_at);
        const auto weight = 1.0 - std::exp(-passed / real_ms(averaging_window));
        m_mean += weight * (real_ms(late) - m_mean);
        m_fired_at = now;
    }

    /// @brief The average lateness.
    [[nodiscard]] auto mean() const -> milliseconds
    {
        return std::chrono::duration_cast<milliseconds>(m_mean);
    }

  private:
    static constexpr milliseconds averaging_window{500};
    /// A longer delay comes from a pause of the whole process that is already
    /// over.
    static constexpr milliseconds max_lateness{1'000};

    std::chrono::duration<double, std::milli> m_mean{0};
    time_point m_fired_at;
};

} // namespace pimentoshunt::cell
