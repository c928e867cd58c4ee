/// @file
/// What the owner's heartbeat carries of the speeds that its scheduler has learned,
/// with which a later owner begins.
#pragma once

#include <pimentoshunt/cell/policy/run_time_model.hpp>
#include <pimentoshunt/cell/scheduler.hpp>

#include <cell.pb.h>

namespace pimentoshunt::cell
{

/// @brief Adds the learned speeds in about one heartbeat a second.
auto write_learned(const scheduler& from, wire::cell_beat& to) -> void;

/// @brief Adds the speeds of kinds if they differ, and the factors of queues that
/// are far from 1, at most 32 of each. A later owner would not miss others.
auto write_speeds(const policy::learned_speeds& from, wire::cell_beat& to)
    -> void;

/// @brief Takes over the speeds of a heartbeat that carries some.
auto read_speeds(const wire::cell_beat& from, policy::learned_speeds& to)
    -> void;

} // namespace pimentoshunt::cell
