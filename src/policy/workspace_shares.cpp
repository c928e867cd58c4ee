#include <pimentoshunt/policy/workspace_shares.hpp>

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

auto workspace_shares::set_quotas(
    const std::vector<plan::workspace>& workspaces) -> void
{
    m_quotas.clear();
    for (const auto& workspace : workspaces)
    {
        m_quotas.emplace(workspace.name, workspace.quota);
    }
}

auto workspace_shares::set_usage_elsewhere(
    const std::vector<workspace_usage>& usages) -> void
{
    m_elsewhere.clear();
    for (const auto& usage : usages)
    {
        m_elsewhere[usage.workspace] += usage.in_use;
    }
}

auto workspace_shares::quota_usage_of(const ledger::capacity_ledger& accounts,
                                      const workspace_name& workspace) const
    -> quota_usage
{
    const auto quota = m_quotas.find(workspace);
    if (quota == m_quotas.end())
    {
        return {};
    }
    quota_usage now{quota->second, accounts.used_by(workspace).total};
    const auto elsewhere = m_elsewhere.find(workspace);
    if (elsewhere != m_elsewhere.end())
    {
        now.used += elsewhere->second;
    }
    return now;
}

auto quota_usage::share(const resources& more) const -> double
{
    const auto all = used + more;
    return std::max({share_of(all.slots, quota.slots),
                     share_of(all.millicpus, quota.millicpus),
                     share_of(all.memory_mb, quota.memory_mb),
                     share_of(all.accelerators, quota.accelerators)});
}

} // namespace pimentoshunt::policy
