#include <pimentoshunt/clock.hpp>

#include <ctime> // clock_gettime

namespace pimentoshunt
{

auto boot_clock::now() noexcept -> time_point
{
    timespec stamp{};
    ::clock_gettime(CLOCK_BOOTTIME, &stamp);
    return time_point(std::chrono::seconds(stamp.tv_sec) +
                      std::chrono::nanoseconds(stamp.tv_nsec));
}

} // namespace pimentoshunt
