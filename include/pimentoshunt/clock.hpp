/// @file
/// The clock for leases, deadlines and all other durations.
#pragma once

#include <chrono> // duration, time_point

namespace pimentoshunt
{

/// @brief Clock based on CLOCK_BOOTTIME: monotonic, and continues while the
/// machine is suspended, so that leases expire during a suspension.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// @brief Returns the current time; comparable within one machine only.
    static auto now() noexcept -> time_point;
};

using time_point = boot_clock::time_point;
using std::chrono::milliseconds;

} // namespace pimentoshunt
