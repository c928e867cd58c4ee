/// @file
/// Assigns workers to instances by rendezvous hashing over the serving
/// instances, so that a membership change moves as few workers as possible.
#pragma once

#include <pimentoshunt/identifier.hpp>

#include <vector> // vector

namespace pimentoshunt::ownership
{

/// @brief The instance with the highest hash weight for @p key.
/// @param key  ID of the worker or other owned object
/// @param candidates  the serving instances, in any order
/// @return the empty ID if there are no candidates
/// @complexity linear in the number of candidates
[[nodiscard]] auto rendezvous_owner(const std::string& key,
                                    const std::vector<instance_id>& candidates)
    -> instance_id;

} // namespace pimentoshunt::ownership
