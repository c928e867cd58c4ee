/// @file
/// Scores workers for a task and finds room for gangs. Packs tightly so that
/// large tasks still find room on one worker, prefers workers near the data,
/// and avoids workers on which the task has just failed. Called by the
/// scheduler on the control thread; no I/O.
#pragma once

#include <pimentoshunt/cell/detail/records.hpp>
#include <pimentoshunt/cell/policy/speed_preference.hpp>

#include <concepts> // predicate, regular_invocable
#include <cstdint>  // uint32_t
#include <vector>   // vector

namespace pimentoshunt::cell::policy
{

/// @brief Cost of placing a task of @p step on @p worker; lower is better.
/// @param avoid  worker on which the task failed or stalled last; may be empty
[[nodiscard]] auto placement_cost(const detail::worker_record& worker,
                                  const step_spec& step, const worker_id& avoid)
    -> double;

/// @brief Cost of a trial of a task that may crash the worker; lower is better.
/// The emptiest worker comes first, as a crash ends all that runs there.
[[nodiscard]] auto trial_cost(const detail::worker_record& worker,
                              const step_spec& step, const worker_id& avoid)
    -> double;

/// @brief The allowed worker with the lowest cost, the first of equals; nullptr if
/// none is allowed.
template<std::predicate<const detail::worker_record&> Allowed,
         std::regular_invocable<const detail::worker_record&> Cost>
[[nodiscard]] auto cheapest(const std::vector<detail::worker_record*>& workers,
                            Allowed is_allowed, Cost cost_of)
    -> detail::worker_record*
{
    detail::worker_record* best = nullptr;
    double best_cost = 0;
    for (auto* const worker : workers)
    {
        if (!is_allowed(*worker))
        {
            continue;
        }
        const double cost = cost_of(*worker);
        if (best == nullptr || cost < best_cost)
        {
            best = worker;
            best_cost = cost;
        }
    }
    return best;
}

/// @brief How many tasks of @p step fit into the free resources of @p worker,
/// at most the step's own limits.
[[nodiscard]] auto places_on(const detail::worker_record& worker,
                             const step_spec& step) -> std::uint32_t;

/// @brief How many tasks of @p step would fit if the worker were empty.
[[nodiscard]] auto places_when_empty(const detail::worker_record& worker,
                                     const step_spec& step) -> std::uint32_t;

/// @brief Resources that @p tasks tasks of @p step take on one worker.
[[nodiscard]] auto resources_for(const step_spec& step, std::uint32_t tasks)
    -> resources;

/// @brief Sorts by ID: the order of a hash table must not decide.
auto sort_by_id(std::vector<detail::worker_record*>& workers) -> void;

/// @brief Sorts stably by free processors, most first.
auto sort_by_free_cpu(std::vector<detail::worker_record*>& workers) -> void;

/// @brief Sorts stably by free processors that no approval request in flight
/// claims, most first.
auto sort_by_unclaimed_cpu(std::vector<detail::worker_record*>& workers)
    -> void;

/// @brief Finds a place for every member of a gang, all on one rack if the step
/// prefers that and such a rack exists. A gang is as slow as its slowest member:
/// of several racks, the one whose least suitable member suits best is chosen.
/// @return one worker per task, or an empty list if they don't all fit
[[nodiscard]] auto
choose_gang_places(const std::vector<detail::worker_record*>& candidate_workers,
                   const step_spec& step,
                   const speed_preference& preference = {})
    -> std::vector<detail::worker_record*>;

} // namespace pimentoshunt::cell::policy
