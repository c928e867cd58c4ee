/// @file
/// State of the cell as seen by one instance, for operators.
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

/// @brief Status of one instance.
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

/// @brief Status of one worker.
struct worker_status
{
    worker_id id;
    /// Whether this instance holds the worker.
    bool held = false;
    bool open_for_grants = false;
    resources free;
    resources capacity;
    std::size_t reservations = 0;
};

/// @brief Status of one queue of this entry.
struct queue_status
{
    workload_name workload;
    workspace_name workspace;
    std::string cls;
    std::size_t length = 0;
};

/// @brief State of the cell: its instances, workers and this entry's queues.
struct cell_status
{
    instance_id instance;
    membership::member_state state = membership::member_state::joining;
    bool ready = false;
    std::uint64_t plan_revision = 0;
    /// Time since the plan was last known to be the newest; negative if never.
    milliseconds plan_confirmed{-1};
    std::vector<instance_status> instances;
    std::vector<worker_status> workers;
    std::vector<queue_status> queues;
};

} // namespace pimentoshunt::control
