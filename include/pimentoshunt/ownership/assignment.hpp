/// @file
/// Which instance should own a worker: rendezvous hashing over those that
/// serve, so that a change of membership moves only what it must.
#pragma once

#include <pimentoshunt/identifier.hpp>

#include <vector> // vector

namespace pimentoshunt::ownership
{

/// @brief The instance with the highest hash weight for @p key.
/// @param key  a worker, or any other thing that is owned
/// @param candidates  the serving instances; their order does not matter
/// @return the empty id when there are no candidates
/// @complexity linear in the number of candidates
[[nodiscard]] auto rendezvous_owner(const std::string& key,
                                    const std::vector<instance_id>& candidates)
    -> instance_id;

} // namespace pimentoshunt::ownership
