/// @file
/// In which order waiting steps get room. Answers the crest: when short and
/// long work arrive in waves and together want more than there is.
#pragma once

#include <pimentoshunt/cell/detail/records.hpp>
#include <pimentoshunt/clock.hpp>

#include <cstdint> // uint32_t
#include <vector>  // vector

namespace pimentoshunt::cell::policy
{

/// @brief A step with tasks that could start.
struct waiting_step
{
    detail::job_record* job = nullptr;
    detail::round_record* round = nullptr;
    detail::step_record* step = nullptr;
    /// When its round should be over.
    time_point due;
    /// The latest start that can still meet it.
    time_point latest_start;
    /// Past the time after which its end earns nothing more.
    bool expired = false;
};

/// @brief The longest chain of estimated work from @p step to the end.
[[nodiscard]] auto critical_path_from(const job_spec& job, std::uint32_t step)
    -> milliseconds;

/// @brief Time in which a round of @p job should be over.
[[nodiscard]] auto objective(const job_spec& job) -> milliseconds;

/// @brief Fills in the times of @p item.
auto compute_deadlines(waiting_step& item, time_point now) -> void;

/// @brief Sorts: by priority, what can't earn any more last, then by the
/// latest start that still meets the objective.
/// @complexity n log n
auto sort(std::vector<waiting_step>& items) -> void;

} // namespace pimentoshunt::cell::policy
