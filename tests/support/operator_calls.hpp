/// @file
/// What operators ask of instances, and seeded plans for them.
#pragma once

#include "cell.hpp"

#include <pimentoshunt/clock.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string

namespace pimentoshunt::testing
{

/// @brief A service of a test's plan.
struct plan_service
{
    std::string name = "desk";
    bool idempotent = false;
    milliseconds deadline{10'000};
};

/// @brief The text of a plan with one workspace and one service.
[[nodiscard]] auto plan_text(const plan_service& service = {}) -> std::string;

/// @brief How an instance answered a submitted plan.
struct submission_result
{
    /// 0 when none came.
    int status = 0;
    std::string body;
};

/// @brief Submits a plan to an instance's operator interface.
[[nodiscard]] auto submit_plan(int operator_port, const std::string& text,
                               std::uint64_t based_on) -> submission_result;

/// @brief The plan in force as one instance tells it.
struct reported_plan
{
    std::uint64_t revision = 0;
    std::string text;
    milliseconds confirmed_ago{0};
};

/// @brief Asks an instance for its plan; revision 0 when it does not answer.
[[nodiscard]] auto get_plan(int operator_port) -> reported_plan;

/// @brief Whether each running instance has that plan in force.
[[nodiscard]] auto is_plan_in_force(cell& test_cell, std::uint64_t revision,
                                    const std::string& text) -> bool;

/// @brief An instance's own status; empty when it does not answer.
[[nodiscard]] auto status_of(const cell_instance& instance)
    -> boost::json::object;

/// @brief How many workers an instance holds; -1 when it does not answer.
[[nodiscard]] auto count_owned_workers(const cell_instance& instance)
    -> std::int64_t;

/// @brief Whether the running instances hold @p count workers together.
[[nodiscard]] auto are_workers_owned(cell& test_cell, std::int64_t count)
    -> bool;

/// @brief Requests that wait at an instance; -1 when it does not answer.
[[nodiscard]] auto count_waiting_requests(const cell_instance& instance)
    -> std::int64_t;

/// @brief Starts a cell, submits a plan and waits until it is in force and
/// every worker is held.
/// @return an empty text, or what failed
[[nodiscard]] auto start_with_plan(cell& test_cell, const std::string& text,
                                   std::int64_t workers) -> std::string;

} // namespace pimentoshunt::testing
