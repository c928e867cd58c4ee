/// @file
/// Decisions on tasks that may crash their workers. All tasks that were on a
/// crashed worker are suspects; each is started again in a *trial*, on a worker
/// where nothing else starts until the trial is over. A crash during a trial
/// shows which task causes crashes. Used by the scheduler on the control thread;
/// no I/O.
#pragma once

#include <pimentoshunt/cell/model.hpp>

#include <algorithm> // any_of, clamp, max
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <map>       // map

namespace pimentoshunt::cell::policy
{

/// Duration of the trial after the first crash.
inline constexpr milliseconds first_trial{500};
/// Longest trial.
inline constexpr milliseconds longest_trial{10'000};
/// Crashes after which a task is given up, if one of them was in a trial.
inline constexpr std::size_t crashes_with_trial = 2;
/// Crashes after which a task is given up in any case.
inline constexpr std::size_t most_crashes = 4;
/// A lasting task that has worked for this long is no longer a suspect.
inline constexpr milliseconds time_to_clear_lasting{30'000};

/// Crashes of workers under one task, by the number of the run.
using crash_history = std::map<std::uint64_t, worker_crash>;

/// @brief Whether the task causes the crashes, and is given up.
[[nodiscard]] inline auto should_give_up(const crash_history& crashes) -> bool
{
    const bool crashed_in_trial = std::any_of(crashes.begin(), crashes.end(),
                                              [](const auto& item)
                                              {
                                                  return item.second.in_trial;
                                              });
    return crashes.size() >= most_crashes ||
           (crashes.size() >= crashes_with_trial && crashed_in_trial);
}

/// @brief Duration of the next trial. After several crashes it covers the age at
/// which the workers crashed.
[[nodiscard]] inline auto trial_time(const crash_history& crashes)
    -> milliseconds
{
    if (crashes.size() < 2)
    {
        return first_trial;
    }
    milliseconds longest_age{0};
    for (const auto& [number, crash] : crashes)
    {
        longest_age = std::max(longest_age, crash.age);
    }
    return std::clamp(longest_age + first_trial, first_trial, longest_trial);
}

} // namespace pimentoshunt::cell::policy
