/// @file
/// Copies of runs that take much longer than their siblings. Answers a load in
/// which a few tasks of a step take many times as long as expected and hold up
/// their job, while the service has room.
///
/// Inputs: ended tasks of the step, speeds of workers (at most half a second
/// old), and the processors of the service in this pass. Without ended tasks of
/// the step, the expected time is the declared one times the queue's factor.
/// Used by the scheduler on the control thread; no I/O.
#pragma once

#include <pimentoshunt/cell/detail/records.hpp>
#include <pimentoshunt/clock.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t, uint32_t

namespace pimentoshunt::cell::policy
{

/// A run is a straggler after this many times the expected time, and this much
/// beyond it.
inline constexpr int straggler_factor = 2;
inline constexpr milliseconds straggler_excess{300};
/// Largest number of approval requests for the copy of one task.
inline constexpr std::uint32_t most_copy_requests = 3;

/// @brief Processors of one service, in thousandths.
struct copy_room
{
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    /// In use by copies.
    std::int64_t copies = 0;
    /// Lowest priority number of a gang that waits for room; such a gang could
    /// use any that is free.
    std::uint32_t waiting_gang = UINT32_MAX;
};

/// @brief Whether tasks of the step may have copies at all. Independent of what
/// has happened to its runs.
[[nodiscard]] auto allows_copies(const step_spec& step) -> bool;

/// @brief Whether a run has lasted so long that its task gets a copy.
/// @param expected  run time on its worker
/// @param others  other tasks of the step, of which @p done have ended
[[nodiscard]] auto is_straggler(milliseconds elapsed, milliseconds expected,
                                std::size_t others, std::size_t done) -> bool;

/// @brief Whether the service has room for a copy that takes @p millicpus:
/// less than four fifths are in use, and copies take at most a twentieth.
[[nodiscard]] auto has_room_for_copy(const copy_room& room,
                                     std::int64_t millicpus,
                                     std::uint32_t priority) -> bool;

/// @brief Whether @p worker may run the copy of a run on @p original: it is as
/// fast, and what it has free is not claimed by waiting steps.
[[nodiscard]] auto suits_copy(const detail::worker_record& worker,
                              const detail::worker_record& original,
                              std::int64_t millicpus) -> bool;

/// @brief Cost of a copy on @p worker; lower is better. Faster workers and other
/// racks than that of @p original come first.
[[nodiscard]] auto copy_cost(const detail::worker_record& worker,
                             const detail::worker_record& original,
                             const step_spec& step) -> double;

} // namespace pimentoshunt::cell::policy
