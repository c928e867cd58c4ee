/// @file
/// Gauge values that the control thread publishes about once a second.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/metrics/registry.hpp>
#include <pimentoshunt/plan/document.hpp>

#include <cstdint> // int64_t
#include <map>     // map

namespace pimentoshunt::control
{

/// @brief Values of one instance at one time.
struct gauge_snapshot
{
    /// Reserved slots of this instance's workers.
    std::int64_t slots_in_use = 0;
    /// Free slots of this instance's accepting workers.
    std::int64_t slots_free = 0;
    std::int64_t workers_held = 0;
    std::uint64_t plan_revision = 0;
    /// Requests waiting at this entry, by work class; contains all classes.
    std::map<plan::work_class, std::int64_t> waiting;
    /// Grants issued since the last snapshot.
    std::uint64_t grants = 0;
    /// Longest declared run time of the workloads with reservations on this
    /// instance's workers.
    milliseconds max_held_run_time{0};
};

/// @brief Writes a snapshot to the metrics registry.
auto publish(const gauge_snapshot& seen, metrics::registry& meters) -> void;

} // namespace pimentoshunt::control
