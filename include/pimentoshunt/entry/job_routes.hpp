/// @file
/// HTTP routes on the operators' port to submit, list, show and cancel jobs.
#pragma once

#include <pimentoshunt/control/control_loop.hpp>
#include <pimentoshunt/control/job_calls.hpp>
#include <pimentoshunt/entry/http_listener.hpp>
#include <pimentoshunt/plan/active_plan.hpp>

namespace pimentoshunt::entry
{

/// @brief The services that the job routes use.
struct job_context
{
    control::control_loop& control;
    const plan::active_plan& in_force;
    /// The job table on the platform.
    control::platform_job_store& store;
};

/// @brief Adds the job routes to a listener, before it is started.
/// @param context  outlives the listener
auto add_job_routes(http_listener& listener, job_context& context) -> void;

} // namespace pimentoshunt::entry
