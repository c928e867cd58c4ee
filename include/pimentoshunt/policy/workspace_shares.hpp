/// @file
/// Quotas of workspaces and their usage at all owners, for fair scheduling.
#pragma once

#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/ledger/capacity_ledger.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/resources.hpp>

#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::policy
{

/// @brief Resources that a workspace uses on workers of other owners.
struct workspace_usage
{
    workspace_name workspace;
    resources in_use;
};

/// @brief Quota and current usage of one workspace.
struct quota_usage
{
    /// All zero if the workspace has no quota.
    resources quota;
    resources used;

    /// @brief Usage plus @p more, as a share of the quota.
    /// @return the largest share over all resources that the quota limits;
    ///         above 1 if the quota is exceeded; 0 without a quota
    [[nodiscard]] auto share(const resources& more) const -> double;
};

/// @brief Quotas of all workspaces and the usage that other owners report.
class workspace_shares
{
  public:
    /// @brief Replaces all quotas by those of @p workspaces.
    auto set_quotas(const std::vector<plan::workspace>& workspaces) -> void;

    /// @brief Replaces the reported usage at other owners.
    auto set_usage_elsewhere(const std::vector<workspace_usage>& usages)
        -> void;

    /// @brief Quota of the workspace and its usage at this and all other
    ///        owners.
    [[nodiscard]] auto quota_usage_of(const ledger::capacity_ledger& accounts,
                                      const workspace_name& workspace) const
        -> quota_usage;

  private:
    std::unordered_map<workspace_name, resources> m_quotas;
    std::unordered_map<workspace_name, resources> m_elsewhere;
};

} // namespace pimentoshunt::policy
