/// @file
/// The operators' interface over HTTP, on a port and pool of its own.
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

/// @brief What the operators' routes work on.
struct operator_context
{
    control::control_loop& control;
    const plan::active_plan& in_force;
    plan::plan_store<platform::http_platform>& plans;
    platform::http_platform& store;
    const metrics::registry& meters;
    /// Starts a graceful stop of this instance.
    std::function<void()> drain_self;
    /// Text for /metrics.
    std::function<std::string()> metrics;
};

/// @brief Adds the operators' routes to a listener.
/// @param context  outlives the listener
auto add_operator_routes(http_listener& listener, operator_context& context)
    -> void;

/// Rows below this prefix name the workers that operators drain.
inline constexpr const char* drained_prefix = "drain/worker/";

} // namespace pimentoshunt::entry
