/// @file
/// What changed between two plans, in the operators' own terms.
#pragma once

#include <pimentoshunt/plan/document.hpp>

#include <string> // string
#include <vector> // vector

namespace pimentoshunt::plan
{

/// @brief How an item differs.
enum class change_kind
{
    added,
    removed,
    changed
};

/// @brief One difference.
struct plan_change
{
    change_kind kind = change_kind::changed;
    /// "workspace", "service", "batch" or "gang".
    std::string item_type;
    std::string name;
    /// Key in the plan, such as "quota.slots"; empty for added and removed.
    std::string field;
    std::string before;
    std::string after;
};

/// @brief "changed service booking: deadline_ms 2000 -> 3000".
[[nodiscard]] auto to_string(const plan_change& item) -> std::string;

/// @brief Compares two plans by name; the order of items plays no part.
/// @note Work that changes its class counts as removed and added.
/// @complexity O(n log n) in the number of items
[[nodiscard]] auto diff(const document& before, const document& after)
    -> std::vector<plan_change>;

/// @brief Compares two texts; one that is no plan counts as empty.
[[nodiscard]] auto diff(const std::string& before, const std::string& after)
    -> std::vector<plan_change>;

} // namespace pimentoshunt::plan
