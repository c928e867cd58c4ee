/// @file
/// The steps of reading a plan, from the shape of the text to its meaning.
#pragma once

#include <pimentoshunt/json/fault.hpp>
#include <pimentoshunt/plan/document.hpp>

#include <boost/json/value.hpp>

#include <string> // string
#include <vector> // vector

namespace pimentoshunt::plan::detail
{

/// @brief A plan as far as it could be read.
struct parse_state
{
    document parsed;
    /// JSON pointers, parallel to the document's two lists.
    std::vector<std::string> workspace_pointers;
    std::vector<std::string> workload_pointers;
    std::vector<json::fault> faults;
};

/// @brief Types, ranges and unknown keys.
auto read_structure(const boost::json::value& root, parse_state& out) -> void;

/// @brief Names, dependencies and quotas.
auto check_semantics(parse_state& out) -> void;

/// @brief Whether each task fits one of the workers.
auto check_worker_capacity(parse_state& out,
                           const std::vector<resources>& workers) -> void;

} // namespace pimentoshunt::plan::detail
