/// @file
/// Decides whether a caller's request is served, from its route, its key, the
/// configuration in force and the age of that knowledge. Answers the load of
/// callers with withdrawn, unknown or garbage keys, and of instances that can't
/// know the newest version.
///
/// Inputs: the configuration in force, dated as in configuration_freshness.hpp,
/// and the arrival of the request. Without a proven configuration, requests that
/// need a key are not served.
#pragma once

#include <pimentoshunt/cell/model.hpp>
#include <pimentoshunt/cell/policy/configuration_freshness.hpp>

#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::cell::policy
{

/// @brief What to do with a request.
enum class access_result
{
    /// Serve it. Without a route that means: answer that there is none.
    allowed,
    /// The caller has no valid key.
    unauthorized,
    /// The configuration is not known well enough to tell.
    unproven,
    /// Ask the store for a newer version, then decide again.
    refresh
};

/// @brief A decision on one request.
struct access_decision
{
    access_result result = access_result::unproven;
    /// Owner of the caller's key; nullptr where no key is needed. Points into
    /// the configuration.
    const workspace_config* workspace = nullptr;
};

/// @brief What the decision needs to know of a request.
struct access_query
{
    /// Route that the request matches; nullptr: none.
    const queue_route* route = nullptr;
    std::optional<key_digest> key;
    /// Whether the result depends on the configuration beyond the key: a
    /// submission, or a count of waiting jobs.
    bool uses_queue = false;
    time_point arrived;
    /// When it is answered; later than its arrival if it was held.
    time_point answered;
    /// Whether the request may still wait for a newer version.
    bool may_refresh = false;
};

/// @brief Whether requests for the route need a key.
[[nodiscard]] auto needs_key(const configuration& in_force,
                             const queue_route& route) -> bool;

/// @brief Decides on a request.
[[nodiscard]] auto decide_access(const access_query& query,
                                 const configuration& in_force,
                                 const configuration_freshness& freshness,
                                 const configuration_bounds& bounds)
    -> access_decision;

/// @brief Whether the configuration is known well enough for every request that
/// needs a key.
[[nodiscard]] auto is_fresh_for_keys(const configuration_freshness& freshness,
                                     const configuration_bounds& bounds,
                                     time_point now) -> bool;

/// @brief Finds a task, or a gang as a whole, that is larger than the limit of
/// its workspace and therefore can never run.
/// @return what is wrong and what to do about it; empty if all steps can run
[[nodiscard]] auto find_step_over_limit(const job_spec& job,
                                        const workspace_config& workspace)
    -> std::string;

} // namespace pimentoshunt::cell::policy
