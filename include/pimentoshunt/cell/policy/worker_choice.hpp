/// @file
/// Which worker a task gets. Answers a full cell of unlike sizes: large tasks
/// must still find room in one piece, data must be near, and what has just
/// failed on a worker should not go there again.
#pragma once

#include <pimentoshunt/cell/detail/records.hpp>

#include <cstdint> // uint32_t
#include <vector>  // vector

namespace pimentoshunt::cell::policy
{

/// @brief What placing a task on a worker costs; the lowest is best.
[[nodiscard]] auto placement_cost(const detail::worker_record& worker,
                                  const step_spec& step, const worker_id& avoid)
    -> double;

/// @brief How many tasks of the step have room on the worker, within the step's
/// own limits.
[[nodiscard]] auto places_on(const detail::worker_record& worker,
                             const step_spec& step) -> std::uint32_t;

/// @brief How many would have if nothing else were there.
[[nodiscard]] auto places_when_empty(const detail::worker_record& worker,
                                     const step_spec& step) -> std::uint32_t;

/// @brief What so many tasks of the step take of a worker.
[[nodiscard]] auto resources_for(const step_spec& step, std::uint32_t tasks)
    -> resources;

/// @brief Those with the most free processors first; ties stay in their order.
auto sort_by_free_cpu(std::vector<detail::worker_record*>& workers) -> void;

/// @brief A place for each member of a gang, on one rack where it needs that.
/// @return as many workers as the step has tasks, or none
[[nodiscard]] auto
choose_gang_places(const std::vector<detail::worker_record*>& candidate_workers,
                   const step_spec& step)
    -> std::vector<detail::worker_record*>;

} // namespace pimentoshunt::cell::policy
