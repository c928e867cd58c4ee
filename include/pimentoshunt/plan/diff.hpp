/// @file
/// Differences between two plans, by the names and keys that the plans use.
#pragma once

#include <pimentoshunt/plan/document.hpp>

#include <string> // string
#include <vector> // vector

namespace pimentoshunt::plan
{

/// @brief Whether an item was added, removed or changed.
enum class change_kind
{
    added,
    removed,
    changed
};

/// @brief One difference between two plans.
struct plan_change
{
    change_kind kind = change_kind::changed;
    /// Type of the item: "workspace", "service", "batch" or "gang".
    std::string item_type;
    std::string name;
    /// Key that changed, such as "quota.slots"; empty for added and removed
    /// items.
    std::string field;
    std::string before;
    std::string after;
};

/// @brief Formats a difference for operators, such as
/// "changed service booking: deadline_ms 2000 -> 3000".
[[nodiscard]] auto to_string(const plan_change& item) -> std::string;

/// @brief Compares two plans by the names of their items; the order of items
/// is ignored.
/// @note A workload whose class changed counts as removed and added.
/// @complexity O(n log n) in the number of items
[[nodiscard]] auto diff(const document& before, const document& after)
    -> std::vector<plan_change>;

/// @brief Compares two plan texts; a text that can't be parsed counts as an
/// empty plan.
[[nodiscard]] auto diff(const std::string& before, const std::string& after)
    -> std::vector<plan_change>;

} // namespace pimentoshunt::plan
