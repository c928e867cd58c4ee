/// @file
/// Internal steps of parsing a plan: structure first, then semantics.
#pragma once

#include <pimentoshunt/json/fault.hpp>
#include <pimentoshunt/plan/document.hpp>

#include <boost/json/value.hpp>

#include <string> // string
#include <vector> // vector

namespace pimentoshunt::plan::detail
{

/// @brief Result of the parsing steps so far: the plan and its faults.
struct parse_state
{
    document parsed;
    /// JSON pointers of the items of parsed.workspaces, at the same indices.
    std::vector<std::string> workspace_pointers;
    /// JSON pointers of the items of parsed.workloads, at the same indices.
    std::vector<std::string> workload_pointers;
    std::vector<json::fault> faults;
};

/// @brief Reads the JSON value into @p out; reports wrong types, values out of
/// range, missing and unknown keys.
auto read_structure(const boost::json::value& root, parse_state& out) -> void;

/// @brief Reports duplicate and unknown names, quotas too small for one task
/// or gang, and dependency cycles.
auto check_semantics(parse_state& out) -> void;

/// @brief Reports each workload of which one task fits none of @p workers;
/// does nothing if @p workers is empty.
auto check_worker_capacity(parse_state& out,
                           const std::vector<resources>& workers) -> void;

} // namespace pimentoshunt::plan::detail
