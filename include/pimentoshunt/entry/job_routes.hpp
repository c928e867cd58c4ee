/// @file
/// Jobs over HTTP, on the operators' port: submit, list, show, cancel.
#pragma once

#include <pimentoshunt/control/control_loop.hpp>
#include <pimentoshunt/control/job_calls.hpp>
#include <pimentoshunt/entry/http_listener.hpp>
#include <pimentoshunt/plan/active_plan.hpp>

namespace pimentoshunt::entry
{

/// @brief What the jobs' routes work on.
struct job_context
{
    control::control_loop& control;
    const plan::active_plan& in_force;
    control::platform_job_store& store;
};

/// @brief Adds the jobs' routes to a listener.
/// @param context  outlives the listener
auto add_job_routes(http_listener& listener, job_context& context) -> void;

} // namespace pimentoshunt::entry
