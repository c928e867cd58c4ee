/// @file
/// Decisions on tasks that may crash their workers. Tasks that had just begun on a
/// worker when it crashed are suspects (all, if none had); each is started again in
/// a *trial*, on a worker where nothing else starts until the trial is over. A
/// crash during a trial shows which task causes crashes. Used by the scheduler on
/// the control thread; no I/O.
#pragma once

#include <pimentoshunt/cell/model.hpp>

#include <algorithm> // clamp, max, max_element
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <deque>     // deque
#include <map>       // map

namespace pimentoshunt::cell::policy
{

/// Duration of the trial after the first crash, while little is known of others.
inline constexpr milliseconds first_trial{500};
/// Shortest trial, however early the workers crash.
inline constexpr milliseconds shortest_trial{100};
/// A crash does not tell a trial from a run that began no longer before it.
inline constexpr milliseconds contemporary{100};
/// Longest trial.
inline constexpr milliseconds longest_trial{10'000};
/// Crashes under confirmed runs after which a task is given up, if one of these
/// was in a trial.
inline constexpr std::size_t crashes_with_trial = 2;
/// Crashes after which a task is given up in any case.
inline constexpr std::size_t most_crashes = 4;
/// A lasting task that has worked for this long is no longer a suspect.
inline constexpr milliseconds time_to_clear_lasting{30'000};

/// Crashes of workers under one task, by the number of the run.
using crash_history = std::map<std::uint64_t, worker_crash>;

/// @brief Whether the task may crash its worker, so that it runs in a trial.
[[nodiscard]] inline auto is_suspect(const crash_history& crashes) -> bool
{
    return crashes.size() > 1 ||
           (!crashes.empty() && crashes.begin()->second.likely);
}

/// @brief Whether the task causes the crashes, and is given up. A run that its
/// worker may not have begun proves little.
[[nodiscard]] inline auto should_give_up(const crash_history& crashes) -> bool
{
    std::size_t confirmed = 0;
    bool in_trial = false;
    for (const auto& [number, crash] : crashes)
    {
        confirmed += crash.confirmed ? 1 : 0;
        in_trial = in_trial || (crash.confirmed && crash.in_trial);
    }
    return crashes.size() >= most_crashes ||
           (confirmed >= crashes_with_trial && in_trial);
}

/// @brief How soon after their start tasks crash their workers, learned from the
/// latest crashes in a trial. With many such tasks, trials that last no longer
/// than needed keep the workers usable.
class crash_age_estimate
{
  public:
    /// @param age  of the run on trial when its worker crashed
    auto record(milliseconds age) -> void
    {
        m_ages.push_back(age);
        if (m_ages.size() > ages_kept)
        {
            m_ages.pop_front();
        }
    }

    /// @brief Age up to which a run may be the cause of a crash; a younger run is
    /// suspected first.
    [[nodiscard]] auto suspicious_age() const -> milliseconds
    {
        if (m_ages.size() < least_ages)
        {
            return first_trial;
        }
        const auto longest = *std::max_element(m_ages.begin(), m_ages.end());
        return std::clamp(safety_factor * longest, shortest_trial, first_trial);
    }

  private:
    static constexpr std::size_t least_ages = 4;
    static constexpr std::size_t ages_kept = 16;
    static constexpr int safety_factor = 2;

    std::deque<milliseconds> m_ages;
};

/// @brief Duration of the next trial. After several crashes it covers the age at
/// which the workers crashed.
/// @param suspicious_age  as in crash_age_estimate
[[nodiscard]] inline auto trial_time(const crash_history& crashes,
                                     milliseconds suspicious_age)
    -> milliseconds
{
    if (crashes.size() < 2)
    {
        return suspicious_age;
    }
    milliseconds longest_age{0};
    for (const auto& [number, crash] : crashes)
    {
        longest_age = std::max(longest_age, crash.age);
    }
    return std::clamp(longest_age + suspicious_age, suspicious_age,
                      longest_trial);
}

} // namespace pimentoshunt::cell::policy
