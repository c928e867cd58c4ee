/// @file
/// Fairness between tenants: who is over its quota, and how far.
#pragma once

#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/ledger/capacity_ledger.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/resources.hpp>

#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::policy
{

/// @brief What a tenant's work holds on workers of other owners.
struct tenant_usage
{
    tenant_name tenant;
    resources in_use;
};

/// @brief A tenant's quota and what it holds, for repeated questions.
struct tenant_position
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
class tenant_shares
{
  public:
    /// @brief Takes the quotas of @p tenants in place of all earlier ones.
    auto set_quotas(const std::vector<plan::tenant>& tenants) -> void;

    /// @brief Takes what other owners report in place of all earlier reports.
    auto set_usage_elsewhere(const std::vector<tenant_usage>& usages) -> void;

    /// @brief Where the tenant stands now, here and elsewhere.
    [[nodiscard]] auto position(const ledger::capacity_ledger& accounts,
                                const tenant_name& tenant) const
        -> tenant_position;

  private:
    std::unordered_map<tenant_name, resources> m_quotas;
    std::unordered_map<tenant_name, resources> m_elsewhere;
};

} // namespace pimentoshunt::policy
