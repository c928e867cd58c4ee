/// @file
/// Polls a condition up to a time limit. Tests use this in place of a fixed
/// sleep.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <thread> // sleep_for

namespace pimentoshunt::testing
{

/// @brief Calls @p predicate on the caller's thread until it returns true or
/// @p bound has passed.
/// @param step  time between two calls
/// @return whether the predicate returned true
template<class Predicate>
[[nodiscard]] auto wait_until(Predicate&& predicate, milliseconds bound,
                              milliseconds step = milliseconds{10}) -> bool
{
    const auto end = boot_clock::now() + bound;
    while (!predicate())
    {
        if (boot_clock::now() >= end)
        {
            return false;
        }
        std::this_thread::sleep_for(step);
    }
    return true;
}

} // namespace pimentoshunt::testing
