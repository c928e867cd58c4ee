#include <pimentoshunt/cell/policy/workspace_order.hpp>

#include <algorithm> // any_of, find, max, min
#include <chrono>    // duration
#include <cstdint>   // int64_t, uint32_t
#include <iterator>  // prev
#include <utility>   // exchange

namespace pimentoshunt::cell::policy
{
namespace
{

/// Tolerance for sums of fractions of a token.
constexpr double rounding = 1e-6;
/// How late a job may be added without being taken for one accepted later: rows
/// arrive out of order by about a second, and clocks of instances differ.
constexpr milliseconds longest_delay{60'000};
constexpr double max_increment = 1'000'000.0;
/// Part of a workspace's rate at which its aged jobs are admitted. With an eighth,
/// a workspace at seven times its load cost the others 0.06 of their jobs.
constexpr double aged_share = 0.03125;

} // namespace

auto job_rate::add(const job_id& job, calendar_time accepted_at) -> void
{
    const position at{accepted_at, job};
    m_jobs.try_emplace(at);
    m_unmarked = m_unmarked ? std::min(*m_unmarked, at) : at;
}

auto job_rate::update(double weight) -> std::vector<rate_mark>
{
    std::vector<rate_mark> out;
    if (!m_unmarked)
    {
        return out;
    }
    const auto capacity = std::max(weight, 1.0);
    auto next = m_jobs.find(*std::exchange(m_unmarked, std::nullopt));
    bucket state{next->first.first, capacity};
    if (next != m_jobs.begin())
    {
        state = std::prev(next)->second;
    }
    else if (m_before)
    {
        state = *m_before;
    }
    for (; next != m_jobs.end(); ++next)
    {
        const auto passed = std::max<std::chrono::duration<double>>(
            next->first.first - state.at, std::chrono::duration<double>(0));
        state.tokens =
            std::min(capacity, state.tokens + weight * passed.count());
        state.at = std::max(state.at, next->first.first);
        const bool is_beyond = state.tokens < 1.0 - rounding;
        state.tokens -= is_beyond ? 0.0 : 1.0;
        next->second = state;
        out.push_back({next->first.second, is_beyond});
    }
    const auto newest = m_jobs.rbegin()->first.first;
    while (m_jobs.begin()->first.first + longest_delay < newest)
    {
        m_before = m_jobs.begin()->second;
        m_jobs.erase(m_jobs.begin());
    }
    return out;
}

auto workspace_rates::add(const workspace_account* account, const job_id& job,
                          calendar_time accepted_at) -> void
{
    if (account == nullptr || accepted_at == calendar_time{})
    {
        return;
    }
    m_rates[account].add(job, accepted_at);
    if (std::find(m_changed.begin(), m_changed.end(), account) ==
        m_changed.end())
    {
        m_changed.push_back(account);
    }
}

auto workspace_rates::update() -> std::vector<rate_mark>
{
    std::vector<rate_mark> out;
    for (const auto* const account : std::exchange(m_changed, {}))
    {
        const auto marks = m_rates.at(account).update(account->weight);
        out.insert(out.end(), marks.begin(), marks.end());
    }
    return out;
}

auto admit_aged(std::vector<waiting_step>& items, time_point now) -> void
{
    for (auto& item : items)
    {
        auto& job = *item.job;
        if (!item.beyond_rate || job.account == nullptr)
        {
            continue;
        }
        auto& account = *job.account;
        if (!job.aged && now - item.round->released_at >= beyond_rate_wait)
        {
            const std::chrono::duration<double> by_rate(
                1.0 / (aged_share * account.weight));
            job.aged = now - account.aged_at >= longest_aged_interval ||
                       now - account.aged_at >= by_rate;
            account.aged_at = job.aged ? now : account.aged_at;
        }
        if (job.aged)
        {
            item.beyond_rate = false;
            item.lateness = lateness_class::under_way;
        }
    }
}

auto dominant_share(const resources& used, const resources& capacity) -> double
{
    const auto share = [](std::int64_t amount, std::int64_t whole)
    {
        return whole > 0
                   ? static_cast<double>(amount) / static_cast<double>(whole)
                   : 0.0;
    };
    return std::max({share(used.slots, capacity.slots),
                     share(used.millicpus, capacity.millicpus),
                     share(used.memory_mb, capacity.memory_mb),
                     share(used.accelerators, capacity.accelerators), 0.0});
}

auto are_workspaces_competing(const std::vector<waiting_step>& items) -> bool
{
    return std::any_of(items.begin(), items.end(),
                       [&](const waiting_step& item)
                       {
                           return item.job->account !=
                                  items.front().job->account;
                       });
}

auto set_share_increments(
    std::vector<waiting_step>& items,
    const std::map<workspace_name, workspace_account>& accounts,
    const cell_load& load) -> void
{
    struct group
    {
        resources used;
        double weight = 1.0;
        bool is_active = false;
    };
    std::map<const workspace_account*, group> groups;
    // What no workspace accounts for belongs to jobs without one.
    auto& rest = groups[nullptr];
    rest.used = load.used;
    for (const auto& [name, account] : accounts)
    {
        groups[&account] = {account.used, account.weight,
                            account.used != resources{}};
        rest.used -= account.used;
    }
    for (const auto& item : items)
    {
        groups[item.job->account].is_active = true;
    }
    double sum = 0;
    for (const auto& [account, at] : groups)
    {
        sum += at.is_active ? at.weight : 0.0;
    }
    for (auto& item : items)
    {
        auto& at = groups[item.job->account];
        const auto share = dominant_share(at.used, load.capacity);
        const auto increment = increments_of_share * share * sum / at.weight;
        item.share_increment =
            static_cast<std::uint32_t>(std::min(increment, max_increment));
        at.used +=
            charge_for(*item.step->spec,
                       static_cast<std::uint32_t>(item.step->waiting.size()));
    }
}

} // namespace pimentoshunt::cell::policy
