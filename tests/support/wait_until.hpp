/// @file
/// Polling of a condition with a bound, in place of a sleep.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <thread> // sleep_for

namespace pimentoshunt::testing
{

/// @brief Polls @p predicate until it holds or @p bound has passed.
/// @return whether it held
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
