/// @file
/// The clock by which leases and deadlines are measured.
#pragma once

#include <chrono> // duration, time_point

namespace pimentoshunt
{

/// @brief CLOCK_BOOTTIME: monotonic, and it goes on while the machine sleeps.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// @brief The present time; comparable within one machine only.
    static auto now() noexcept -> time_point;
};

using time_point = boot_clock::time_point;
using std::chrono::milliseconds;

} // namespace pimentoshunt
