/// @file
/// Numbers that the control thread publishes about once a second.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/metrics/registry.hpp>
#include <pimentoshunt/plan/document.hpp>

#include <cstdint> // int64_t
#include <map>     // map

namespace pimentoshunt::control
{

/// @brief The state of one instance at one moment.
struct gauge_snapshot
{
    /// Slots held by work on this instance's workers.
    std::int64_t slots_in_use = 0;
    /// Slots of its workers that take work and are free.
    std::int64_t slots_free = 0;
    std::int64_t workers_held = 0;
    std::uint64_t plan_revision = 0;
    /// Requests that wait at this entry; each class is named.
    std::map<plan::work_class, std::int64_t> waiting;
    /// Grants given out since the last snapshot.
    std::uint64_t grants = 0;
    /// Longest declared run time of the work that holds slots here.
    milliseconds max_held_run_time{0};
};

/// @brief Writes a snapshot to the metrics.
auto publish(const gauge_snapshot& seen, metrics::registry& meters) -> void;

} // namespace pimentoshunt::control
