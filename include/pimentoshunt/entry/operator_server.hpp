/// @file
/// HTTP routes for operators, on a separate port and thread pool: status, plan,
/// draining, metrics and health checks.
#pragma once

#include <pimentoshunt/control/control_loop.hpp>
#include <pimentoshunt/entry/http_listener.hpp>
#include <pimentoshunt/metrics/registry.hpp>
#include <pimentoshunt/plan/active_plan.hpp>
#include <pimentoshunt/plan/plan_store.hpp>
#include <pimentoshunt/platform/http_platform.hpp>

#include <functional> // function
#include <string>     // string

namespace pimentoshunt::entry
{

/// @brief The services that the operators' routes use.
struct operator_context
{
    control::control_loop& control;
    const plan::active_plan& in_force;
    plan::plan_store<platform::http_platform>& plans;
    platform::http_platform& store;
    const metrics::registry& meters;
    /// Starts draining this instance, which then stops.
    std::function<void()> drain_self;
    /// Renders the text of /metrics.
    std::function<std::string()> metrics;
};

/// @brief Adds the operators' routes to a listener, before it is started.
/// @param context  outlives the listener
auto add_operator_routes(http_listener& listener, operator_context& context)
    -> void;

/// Key prefix of the rows that name the workers drained by operators.
inline constexpr const char* drained_prefix = "drain/worker/";

} // namespace pimentoshunt::entry
