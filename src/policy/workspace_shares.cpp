#include <pimentoshunt/policy/tenant_shares.hpp>

#include <algorithm> // max

namespace pimentoshunt::policy
{

namespace
{

auto share_of(std::int64_t used, std::int64_t quota) -> double
{
    if (quota <= 0)
    {
        return 0;
    }
    return static_cast<double>(used) / static_cast<double>(quota);
}

} // namespace

auto tenant_shares::set_quotas(const std::vector<plan::tenant>& tenants) -> void
{
    m_quotas.clear();
    for (const auto& tenant : tenants)
    {
        m_quotas.emplace(tenant.name, tenant.quota);
    }
}

auto tenant_shares::set_usage_elsewhere(const std::vector<tenant_usage>& usages)
    -> void
{
    m_elsewhere.clear();
    for (const auto& usage : usages)
    {
        m_elsewhere[usage.tenant] += usage.in_use;
    }
}

auto tenant_shares::position(const ledger::capacity_ledger& accounts,
                             const tenant_name& tenant) const -> tenant_position
{
    const auto quota = m_quotas.find(tenant);
    if (quota == m_quotas.end())
    {
        return {};
    }
    tenant_position now{quota->second, accounts.used_by(tenant).total};
    const auto elsewhere = m_elsewhere.find(tenant);
    if (elsewhere != m_elsewhere.end())
    {
        now.used += elsewhere->second;
    }
    return now;
}

auto tenant_position::share(const resources& more) const -> double
{
    const auto all = used + more;
    return std::max({share_of(all.slots, quota.slots),
                     share_of(all.millicpus, quota.millicpus),
                     share_of(all.memory_mb, quota.memory_mb),
                     share_of(all.accelerators, quota.accelerators)});
}

} // namespace pimentoshunt::policy
