/// @file
/// From the operators' text to typed data, with every fault at once.
#pragma once

#include <pimentoshunt/error.hpp>
#include <pimentoshunt/json/fault.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/resources.hpp>

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::plan
{

/// Longest text of a plan, in bytes.
inline constexpr std::size_t max_plan_bytes = 4u << 20;

/// @brief One fault of a plan; its line is always known.
using plan_fault = json::fault;

/// @brief Finds every fault of a plan.
/// @param text  the operators' text
/// @param workers  capacities of the workers that live; with none, it is not
///                 checked whether work fits a worker
/// @return faults in the order of the text; empty if the plan is sound
/// @complexity linear in the text, times the different worker capacities
[[nodiscard]] auto check(const std::string& text,
                         const std::vector<resources>& workers = {})
    -> std::vector<plan_fault>;

/// @brief Reads a plan.
/// @throw (leaf) plan errors 201 to 214, as @ref check finds them
[[nodiscard]] auto parse(const std::string& text) -> result<document>;

} // namespace pimentoshunt::plan
