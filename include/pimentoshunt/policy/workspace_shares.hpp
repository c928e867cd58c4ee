/// @file
/// Fairness between workspaces: who is over its quota, and how far.
#pragma once

#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/ledger/capacity_ledger.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/resources.hpp>

#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::policy
{

/// @brief What a workspace's work holds on workers of other owners.
struct workspace_usage
{
    workspace_name workspace;
    resources in_use;
};

/// @brief A workspace's quota and what it holds, for repeated questions.
struct quota_usage
{
    /// All zero without a quota.
    resources quota;
    resources used;

    /// @brief Use with @p more as a share of the quota.
    /// @return the largest share over all resources that the quota limits;
    ///         above 1 it is over; 0 without a quota
    [[nodiscard]] auto share(const resources& more) const -> double;
};

/// @brief Quotas and the usage that other owners report.
class workspace_shares
{
  public:
    /// @brief Takes the quotas of @p workspaces in place of all earlier ones.
    auto set_quotas(const std::vector<plan::workspace>& workspaces) -> void;

    /// @brief Takes what other owners report in place of all earlier reports.
    auto set_usage_elsewhere(const std::vector<workspace_usage>& usages)
        -> void;

    /// @brief Where the workspace stands now, here and elsewhere.
    [[nodiscard]] auto quota_usage_of(const ledger::capacity_ledger& accounts,
                                      const workspace_name& workspace) const
        -> quota_usage;

  private:
    std::unordered_map<workspace_name, resources> m_quotas;
    std::unordered_map<workspace_name, resources> m_elsewhere;
};

} // namespace pimentoshunt::policy
