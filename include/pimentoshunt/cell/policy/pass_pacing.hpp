/// @file
/// When the next scheduling pass may begin. Answers an owner that is late: a pass
/// visits all workers and steps, and the more of them wait the longer it takes;
/// answers and ends, which make room for what waits, are processed between
/// passes.
///
/// Input: the elapsed time of the last pass, which includes what other threads
/// have taken of the processor meanwhile. Used by the owner on the control thread;
/// no I/O.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <algorithm> // clamp

namespace pimentoshunt::cell::policy
{

/// Bounds of the time from the start of a pass to that of the next one. Beyond
/// the upper one decisions would wait too long.
inline constexpr milliseconds min_pass_interval{4};
inline constexpr milliseconds max_pass_interval{50};
/// Passes take at most the reciprocal of this share of the time, unless one takes
/// longer than that share of @ref max_pass_interval.
inline constexpr int pass_interval_factor = 3;

/// @brief Earliest start of the next pass.
/// @param took  how long the last one took
[[nodiscard]] inline auto next_pass_at(time_point began,
                                       boot_clock::duration took) -> time_point
{
    return began + std::clamp<boot_clock::duration>(pass_interval_factor * took,
                                                    min_pass_interval,
                                                    max_pass_interval);
}

} // namespace pimentoshunt::cell::policy
