#include <pimentoshunt/policy/grant_scheduler.hpp>

#include <algorithm> // sort, min, max
#include <cmath>     // ceil
#include <tuple>     // tie
#include <utility>   // move

namespace pimentoshunt::policy
{

namespace
{

auto scaled(const resources& amount, double by) -> resources
{
    const auto scale = [by](std::int64_t value)
    {
        return static_cast<std::int64_t>(
            std::ceil(static_cast<double>(value) * by));
    };
    return {scale(amount.slots), scale(amount.millicpus),
            scale(amount.memory_mb), scale(amount.accelerators)};
}

auto component_min(const resources& left, const resources& right) -> resources
{
    return {std::min(left.slots, right.slots),
            std::min(left.millicpus, right.millicpus),
            std::min(left.memory_mb, right.memory_mb),
            std::min(left.accelerators, right.accelerators)};
}

/// @brief Whether @p reserved is still free after @p each is taken from
///        @p free, for every resource that @p each uses.
auto leaves_at_least(const resources& free, const resources& each,
                     const resources& reserved) -> bool
{
    const auto left = free - each;
    return (each.slots == 0 || left.slots >= reserved.slots) &&
           (each.millicpus == 0 || left.millicpus >= reserved.millicpus) &&
           (each.memory_mb == 0 || left.memory_mb >= reserved.memory_mb) &&
           (each.accelerators == 0 ||
            left.accelerators >= reserved.accelerators);
}

/// @brief A long batch attempt and its sort key for checkpoints.
struct checkpoint_choice
{
    bool over_quota = false;
    int priority = 0;
    time_point granted_at;
    resources each;
    checkpoint_candidate candidate;

    friend auto operator<(const checkpoint_choice& left,
                          const checkpoint_choice& right) -> bool
    {
        return std::tie(right.over_quota, left.priority, right.granted_at,
                        left.candidate.attempt.str()) <
               std::tie(left.over_quota, right.priority, left.granted_at,
                        right.candidate.attempt.str());
    }
};

} // namespace

namespace detail
{

auto operator<(const urgency& left, const urgency& right) -> bool
{
    return std::tie(left.rank, right.priority, left.over_quota, left.deadline) <
           std::tie(right.rank, left.priority, right.over_quota,
                    right.deadline);
}

} // namespace detail

grant_scheduler::grant_scheduler(grant_scheduler_options options)
    : m_options(options),
      m_reserve(options.checkpoints ? options.peak_half_life_with_checkpoints
                                    : options.peak_half_life)
{
}

auto grant_scheduler::set_plan(const plan::document& document) -> void
{
    m_shares.set_quotas(document.workspaces);
    for (const auto& [name, known] : m_workloads)
    {
        if (document.find(name) == nullptr)
        {
            m_times.forget(name);
        }
    }
    m_workloads.clear();
    for (const auto& workload : document.workloads)
    {
        m_workloads.emplace(workload.name,
                            known_workload{workload, has_long_runs(workload)});
    }
}

auto grant_scheduler::set_usage_elsewhere(
    const std::vector<workspace_usage>& usages) -> void
{
    m_shares.set_usage_elsewhere(usages);
}

auto grant_scheduler::set_cell_share(double share) -> void
{
    m_cell_share = share;
}

auto grant_scheduler::observe(const plan::workload& workload,
                              run_duration run_time) -> void
{
    m_times.observe(workload.name, run_time);
    const auto median = m_short_median;
    if (workload.cls == plan::work_class::service)
    {
        m_service_times.add(run_time);
        m_short_median = m_service_times.quantile(0.5);
    }
    if (m_short_median != median)
    {
        reclassify_workloads();
        return;
    }
    const auto known = m_workloads.find(workload.name);
    if (known != m_workloads.end())
    {
        known->second.is_long = has_long_runs(workload);
    }
}

auto grant_scheduler::observe_running(const plan::workload& workload,
                                      run_duration so_far) -> void
{
    m_times.observe_running(workload.name, so_far);
}

auto grant_scheduler::is_long(const plan::workload& workload) const -> bool
{
    const auto* const known = find(workload.name);
    return known != nullptr ? known->is_long : has_long_runs(workload);
}

auto grant_scheduler::reclassify_workloads() -> void
{
    for (auto& [name, known] : m_workloads)
    {
        known.is_long = has_long_runs(known.workload);
    }
}

auto grant_scheduler::has_long_runs(const plan::workload& workload) const
    -> bool
{
    const bool is_service = workload.cls == plan::work_class::service;
    if (!is_service && !m_times.is_learned(workload.name))
    {
        return true;
    }
    if (m_short_median.count() == 0)
    {
        return !is_service;
    }
    const auto mean = static_cast<double>(m_times.mean(workload).count());
    const auto median = static_cast<double>(m_short_median.count());
    return m_times.is_learned(workload.name) &&
           mean > m_options.long_ratio * median;
}

auto grant_scheduler::begin(const ledger::capacity_ledger& accounts,
                            const std::vector<demand_line>& lines,
                            const resources& short_use,
                            detail::workload_cache& cached, time_point now)
    -> heap
{
    resources waits;
    std::vector<detail::candidate> live;
    live.reserve(lines.size());
    for (std::size_t i = 0; i < lines.size(); ++i)
    {
        const auto& line = lines[i];
        if (line.count <= 0 || line.deadline <= now)
        {
            continue;
        }
        const auto& workload = *line.workload;
        const auto index = cache_workload(accounts, workload, cached);
        const auto& known = cached.workloads[index];
        const auto key =
            urgency_of(cached.workspaces[known.workspace], line, 0, now);
        live.push_back({key, i, line.count, 0, index});
        if (workload.cls == plan::work_class::service && !known.is_long)
        {
            waits += scaled(workload.each, static_cast<double>(line.count));
        }
    }
    const auto use = short_use + scaled(waits, m_cell_share);
    m_reserve.record_usage(component_min(use, accounts.capacity_total()), now);
    return heap({}, std::move(live));
}

auto grant_scheduler::cache_workload(const ledger::capacity_ledger& accounts,
                                     const plan::workload& workload,
                                     detail::workload_cache& cached) const
    -> std::size_t
{
    const auto next = cached.workloads.size();
    const auto entry = cached.by_workload.try_emplace(&workload, next);
    if (!entry.second)
    {
        return entry.first->second;
    }
    const auto workspace = cached.by_workspace.try_emplace(
        workload.workspace, cached.workspaces.size());
    if (workspace.second)
    {
        cached.workspaces.push_back(
            m_shares.quota_usage_of(accounts, workload.workspace));
    }
    cached.workloads.push_back({is_long(workload), workspace.first->second});
    return next;
}

auto grant_scheduler::urgency_of(const quota_usage& workspace,
                                 const demand_line& line, std::int64_t placed,
                                 time_point now) -> detail::urgency
{
    const auto& workload = *line.workload;
    const auto share = workspace.share(workload.each);
    detail::urgency key;
    key.rank = workload.cls == plan::work_class::service ? 0 : 1;
    key.priority = workload.priority;
    key.over_quota = share > 1.0 ? share : 0.0;
    // A line holds only its earliest deadline. The other deadlines are assumed
    // to follow at equal intervals, as if the units had arrived evenly since
    // the oldest one.
    const auto age =
        std::max(now - line.waiting_since, time_point::duration::zero());
    key.deadline = line.deadline + age * placed / line.count;
    return key;
}

auto grant_scheduler::find_worker_for(
    const ledger::capacity_ledger& accounts, const plan::workload& workload,
    bool is_long, const detail::reserved_capacity& reserved) const
    -> const worker_id*
{
    using ledger::accelerator_use;
    if (workload.cls == plan::work_class::gang && reserved.is_gang_waiting)
    {
        return nullptr;
    }
    if (!workload.each.fits_in(accounts.free_total()))
    {
        return nullptr;
    }
    if (!is_long)
    {
        return accounts.best_fit(workload.each, accelerator_use::allow);
    }
    const auto room = workload.cls == plan::work_class::batch
                          ? reserved.for_short + reserved.for_gang
                          : reserved.for_short;
    if (!leaves_at_least(accounts.free_total(), workload.each, room))
    {
        return nullptr;
    }
    return accounts.best_fit(workload.each, accelerator_use::protect);
}

auto grant_scheduler::reserve_for_gang(
    const ledger::capacity_ledger& accounts, const detail::candidate& waiting,
    const plan::workload& workload, detail::reserved_capacity& reserved) const
    -> void
{
    if (workload.cls != plan::work_class::gang || reserved.is_gang_waiting)
    {
        return;
    }
    const auto missing =
        scaled(workload.each, static_cast<double>(waiting.left));
    const auto most =
        scaled(accounts.capacity_total(), m_options.max_gang_reserve_share);
    reserved.is_gang_waiting = true;
    reserved.for_gang = component_min(missing, most);
}

auto grant_scheduler::work_ahead_of(const ledger::capacity_ledger& accounts,
                                    const std::vector<demand_line>& lines,
                                    const plan::workload& workload,
                                    time_point deadline, time_point now) const
    -> std::vector<work_ahead>
{
    const demand_line arrival{{}, &workload, 1, deadline, now};
    const auto quota_usage_of = [&](const plan::workload& of)
    {
        return m_shares.quota_usage_of(accounts, of.workspace);
    };
    const auto own = urgency_of(quota_usage_of(workload), arrival, 0, now);
    std::vector<work_ahead> ahead;
    for (const auto& line : lines)
    {
        if (line.count <= 0 || line.deadline <= now)
        {
            continue;
        }
        const auto workspace = quota_usage_of(*line.workload);
        const auto last = urgency_of(workspace, line, line.count - 1, now);
        const auto first = urgency_of(workspace, line, 0, now);
        if (last < own)
        {
            ahead.push_back({line.workload, line.count});
            continue;
        }
        if (!(first < own))
        {
            continue;
        }
        const auto step = (last.deadline - first.deadline) /
                          std::max<std::int64_t>(line.count - 1, 1);
        const auto earlier =
            step.count() > 0 ? (deadline - first.deadline) / step : line.count;
        ahead.push_back({line.workload, std::min(line.count, earlier + 1)});
    }
    return ahead;
}

auto grant_scheduler::checkpoint_candidates(
    const ledger::capacity_ledger& accounts,
    const std::vector<demand_line>& lines, time_point now) const
    -> std::vector<checkpoint_candidate>
{
    std::vector<checkpoint_candidate> chosen;
    const auto min_wait = std::chrono::duration_cast<run_duration>(
        m_short_median * m_options.checkpoint_wait_medians);
    const auto waits =
        scaled(short_waiting(lines, min_wait, now), m_cell_share);
    if (!m_options.checkpoints || waits.slots == 0)
    {
        return chosen;
    }
    auto missing = waits.slots - accounts.free_total().slots;
    std::vector<checkpoint_choice> choices;
    for (const auto& [id, account] : accounts.accounts())
    {
        if (!account.is_accepting())
        {
            continue;
        }
        for (const auto& [attempt, item] : account.reservations)
        {
            const auto* const known = find(item.workload);
            if (known == nullptr || !known->is_long ||
                known->workload.cls != plan::work_class::batch)
            {
                continue;
            }
            if (item.checkpoint_requested)
            {
                missing -= item.each.slots;
                continue;
            }
            const auto& workload = known->workload;
            const auto share =
                m_shares.quota_usage_of(accounts, workload.workspace).share({});
            choices.push_back({share > 1.0,
                               workload.priority,
                               item.granted_at,
                               item.each,
                               {id, attempt}});
        }
    }
    std::sort(choices.begin(), choices.end());
    for (const auto& choice : choices)
    {
        if (missing <= 0)
        {
            break;
        }
        missing -= choice.each.slots;
        chosen.push_back(choice.candidate);
    }
    return chosen;
}

auto grant_scheduler::short_in_use(
    const ledger::capacity_ledger& accounts) const -> resources
{
    resources sum;
    for (const auto& [name, used] : accounts.used_by_workload())
    {
        const auto* const known = find(name);
        if (known != nullptr && !known->is_long &&
            known->workload.cls == plan::work_class::service)
        {
            sum += used.total;
        }
    }
    return sum;
}

auto grant_scheduler::short_waiting(const std::vector<demand_line>& lines,
                                    run_duration waited, time_point now) const
    -> resources
{
    resources sum;
    for (const auto& line : lines)
    {
        const bool counts = line.count > 0 && line.deadline > now &&
                            now - line.waiting_since >= waited;
        if (counts && is_short_service(*line.workload))
        {
            sum += scaled(line.workload->each, static_cast<double>(line.count));
        }
    }
    return sum;
}

auto grant_scheduler::is_short_service(const plan::workload& workload) const
    -> bool
{
    return workload.cls == plan::work_class::service && !is_long(workload);
}

auto grant_scheduler::find(const workload_name& name) const
    -> const known_workload*
{
    const auto found = m_workloads.find(name);
    return found == m_workloads.end() ? nullptr : &found->second;
}

} // namespace pimentoshunt::policy
