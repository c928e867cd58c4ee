/// @file
/// Parses and validates the text of a plan; all faults are reported together.
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

/// Maximum size of a plan's text, in bytes.
inline constexpr std::size_t max_plan_bytes = 4u << 20;

/// @brief One fault of a plan; its line is always set.
using plan_fault = json::fault;

/// @brief Validates a plan.
/// @param text  JSON text of the plan
/// @param workers  capacities of the live workers; if empty, whether tasks fit
///                 a worker is not checked
/// @return faults in the order of the text, at most json::max_faults; empty if
///         the plan is valid
/// @complexity linear in the size of the text, plus the number of workloads
///             times the number of @p workers
[[nodiscard]] auto check(const std::string& text,
                         const std::vector<resources>& workers = {})
    -> std::vector<plan_fault>;

/// @brief Parses a plan; does not check whether tasks fit a worker.
/// @throw (leaf) plan errors 201 to 213; 209 lists the faults if there are
///        several
[[nodiscard]] auto parse(const std::string& text) -> result<document>;

} // namespace pimentoshunt::plan
