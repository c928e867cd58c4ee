/// @file
/// The state of the cell as one instance sees it, for operators.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/membership/member_table.hpp>
#include <pimentoshunt/resources.hpp>

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::control
{

/// @brief One instance in the status.
struct instance_status
{
    instance_id id;
    data_centre_name data_centre;
    membership::member_state state = membership::member_state::joining;
    bool alive = false;
    milliseconds silent{0};
    std::int64_t workers_held = 0;
    std::uint64_t plan_revision = 0;
};

/// @brief One worker in the status.
struct worker_status
{
    worker_id id;
    /// Whether this instance holds it.
    bool held = false;
    bool open_for_grants = false;
    resources free;
    resources capacity;
    std::size_t reservations = 0;
};

/// @brief One queue of this entry.
struct queue_status
{
    workload_name workload;
    workspace_name workspace;
    std::string cls;
    std::size_t length = 0;
};

/// @brief All of it.
struct cell_status
{
    instance_id instance;
    membership::member_state state = membership::member_state::joining;
    bool ready = false;
    std::uint64_t plan_revision = 0;
    /// Since the plan was last known to be the newest; negative: never.
    milliseconds plan_confirmed{-1};
    std::vector<instance_status> instances;
    std::vector<worker_status> workers;
    std::vector<queue_status> queues;
};

} // namespace pimentoshunt::control
