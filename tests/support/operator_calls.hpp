/// @file
/// Requests to the operator interface of instances, and plans to submit to it.
/// Functions block for the HTTP exchange and are called by the test's thread.
#pragma once

#include "cell.hpp"

#include <pimentoshunt/clock.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string

namespace pimentoshunt::testing
{

/// @brief Parameters of the service in a test's plan.
struct plan_service
{
    std::string name = "desk";
    bool idempotent = false;
    milliseconds deadline{10'000};
};

/// @brief Returns the JSON text of a plan with one workspace and one service.
[[nodiscard]] auto plan_text(const plan_service& service = {}) -> std::string;

/// @brief Response of an instance to a submitted plan.
struct submission_result
{
    /// HTTP status; 0 if no response was received.
    int status = 0;
    std::string body;
};

/// @brief Submits a plan to an instance's operator interface.
/// @param based_on  revision of the plan that the submitted plan replaces
[[nodiscard]] auto submit_plan(int operator_port, const std::string& text,
                               std::uint64_t based_on) -> submission_result;

/// @brief Plan in force, as reported by one instance.
struct reported_plan
{
    std::uint64_t revision = 0;
    std::string text;
    /// Time since the instance last confirmed the plan.
    milliseconds confirmed_ago{0};
};

/// @brief Queries an instance's plan; revision 0 if it does not answer.
[[nodiscard]] auto get_plan(int operator_port) -> reported_plan;

/// @brief Whether each running instance reports this revision and text as the
/// plan in force.
[[nodiscard]] auto is_plan_in_force(cell& test_cell, std::uint64_t revision,
                                    const std::string& text) -> bool;

/// @brief Queries an instance's status; empty if it does not answer.
[[nodiscard]] auto status_of(const cell_instance& instance)
    -> boost::json::object;

/// @brief Counts the workers that an instance owns; -1 if it does not answer.
[[nodiscard]] auto count_owned_workers(const cell_instance& instance)
    -> std::int64_t;

/// @brief Whether the running instances together own @p count workers.
[[nodiscard]] auto are_workers_owned(cell& test_cell, std::int64_t count)
    -> bool;

/// @brief Counts the requests in an instance's queues; -1 if it does not
/// answer.
[[nodiscard]] auto count_waiting_requests(const cell_instance& instance)
    -> std::int64_t;

/// @brief Starts a cell, submits a plan and waits until the plan is in force on
/// each instance and @p workers workers are owned.
/// @return an empty text, or an error
[[nodiscard]] auto start_with_plan(cell& test_cell, const std::string& text,
                                   std::int64_t workers) -> std::string;

} // namespace pimentoshunt::testing
