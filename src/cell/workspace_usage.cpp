#include <pimentoshunt/cell/policy/workspace_usage.hpp>

#include <algorithm> // clamp, max, min
#include <array>     // array
#include <utility>   // exchange

namespace pimentoshunt::cell::policy
{
namespace
{

constexpr std::array limited_resources{&resources::slots, &resources::millicpus,
                                       &resources::memory_mb,
                                       &resources::accelerators};

auto half_of(resources limit) -> resources
{
    for (const auto item : limited_resources)
    {
        auto& amount = limit.*item;
        // Half of a limit of 1 would be no limit; a negative one admits nothing.
        amount = amount == 1 ? -1 : amount / 2;
    }
    return limit;
}

} // namespace

auto charge_for(const step_spec& step, std::uint32_t tasks) -> resources
{
    auto out = step.need;
    for (const auto item : limited_resources)
    {
        out.*item *= tasks;
    }
    return out;
}

auto places_within(const resources& limit, const resources& taken,
                   const resources& need, std::uint32_t wanted) -> std::uint32_t
{
    auto places = std::int64_t{wanted};
    for (const auto item : limited_resources)
    {
        const auto bound = limit.*item;
        const auto each = need.*item;
        if (bound == 0)
        {
            continue;
        }
        const auto left = bound - taken.*item;
        if (left < 0)
        {
            return 0;
        }
        if (each > 0)
        {
            places = std::min(places, left / each);
        }
    }
    return static_cast<std::uint32_t>(places);
}

auto startable(const workspace_account* account, const resources& need,
               std::uint32_t wanted) -> std::uint32_t
{
    if (account == nullptr || !account->is_limited())
    {
        return wanted;
    }
    const auto taken = account->used + account->unreported;
    const auto beside_claim =
        places_within(account->limit, taken + account->claimed, need, wanted);
    if (account->claimed == resources{})
    {
        return beside_claim;
    }
    return std::max(beside_claim, places_within(half_of(account->limit), taken,
                                                need, wanted));
}

auto requestable(const workspace_account* account, const resources& need,
                 std::uint32_t wanted) -> std::uint32_t
{
    const auto may_start = startable(account, need, wanted);
    if (account == nullptr || account->requested == resources{})
    {
        return may_start;
    }
    return std::min(
        may_start,
        places_within(account->limit,
                      account->used + account->unreported + account->requested,
                      need, wanted));
}

auto unreported_use(const resources& runs, std::int64_t best_effort_millicpus,
                    const resources& capacity) -> resources
{
    resources out;
    for (const auto item : limited_resources)
    {
        out.*item = std::min(runs.*item, capacity.*item);
    }
    out.millicpus =
        std::min(runs.millicpus, capacity.millicpus + best_effort_millicpus);
    return out;
}

auto workspace_usage::configure(const std::vector<workspace_config>& workspaces)
    -> void
{
    for (const auto& item : workspaces)
    {
        auto* const account = account_of(item.name);
        if (account != nullptr)
        {
            account->limit = item.limit;
            account->weight = item.weight;
        }
    }
    m_has_limits = false;
    for (const auto& [name, account] : m_accounts)
    {
        m_has_limits = m_has_limits || account.is_limited();
    }
}

auto workspace_usage::account_of(const workspace_name& name)
    -> workspace_account*
{
    if (name.empty())
    {
        return nullptr;
    }
    auto& account = m_accounts[name];
    account.name = name;
    return &account;
}

auto workspace_usage::take_counts(
    const std::map<const workspace_account*, std::uint64_t>& waiting_jobs)
    -> std::vector<workspace_count>
{
    std::vector<workspace_count> out;
    for (auto& [name, account] : m_accounts)
    {
        if (out.size() <= max_counted_workspaces)
        {
            const bool has_series = out.size() < max_counted_workspaces;
            out.push_back({has_series ? name.str() : "other", 0, 0, 0});
        }
        auto& count = out.back();
        count.millicpus += account.used.millicpus;
        count.held_back += std::exchange(account.held_back, 0);
        const auto waiting = waiting_jobs.find(&account);
        count.waiting_jobs +=
            waiting == waiting_jobs.end() ? 0 : waiting->second;
    }
    return out;
}

auto workspace_usage::begin_pass() -> void
{
    for (auto& [name, account] : m_accounts)
    {
        account.unreported = {};
        account.claimed = {};
        account.requested = {};
    }
}

} // namespace pimentoshunt::cell::policy
