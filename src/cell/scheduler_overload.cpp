// Overload: gives the selection of jobs the backlog and the capacity of each
// service with too little room, and the waiting steps their lateness class.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/cell/policy/overload_selection.hpp>
#include <pimentoshunt/cell/policy/worker_choice.hpp>
#include <pimentoshunt/logging.hpp>

#include <algorithm> // max
#include <array>     // array
#include <cstddef>   // size_t
#include <map>       // map
#include <vector>    // vector

namespace pimentoshunt::cell
{
namespace
{

using real_s = std::chrono::duration<double>;

/// Share of a service that the resources are; the largest of all kinds counts.
auto share_of(const resources& part, const resources& whole) -> double
{
    const auto ratio = [](std::int64_t of, std::int64_t in)
    {
        return in <= 0 ? 0.0
                       : static_cast<double>(of) / static_cast<double>(in);
    };
    return std::max({ratio(part.millicpus, whole.millicpus),
                     ratio(part.memory_mb, whole.memory_mb),
                     ratio(part.accelerators, whole.accelerators)});
}

/// Work of a task in seconds of the whole service. Lasting tasks have no end, and
/// best-effort tasks only use what is left.
auto task_work(const step_spec& step, const resources& capacity) -> double
{
    if (step.lasting || step.filler)
    {
        return 0;
    }
    return share_of(step.need, capacity) * real_s(step.estimate).count();
}

/// Estimated work that is left; half of each running task on average.
auto work_left(const detail::round_record& round, const resources& capacity)
    -> double
{
    constexpr double left_of_running = 0.5;
    double out = 0;
    for (const auto& step : round.steps)
    {
        const auto waiting = static_cast<double>(step.waiting.size());
        const auto running =
            static_cast<double>(step.spec->count - step.done_count) - waiting;
        out += (waiting + left_of_running * std::max(0.0, running)) *
               task_work(*step.spec, capacity);
    }
    return out;
}

auto is_under_way(const detail::round_record& round) -> bool
{
    for (const auto& step : round.steps)
    {
        if (step.waiting.size() < step.spec->count)
        {
            return true;
        }
    }
    return false;
}

/// Whether its workspace's limit has kept the round back in one of the last
/// passes. It does not compete for the capacity then, whatever is free.
auto is_held_back(const detail::round_record& round, time_point now) -> bool
{
    constexpr milliseconds recent{200};
    for (const auto& step : round.steps)
    {
        if (step.held_back_since && now - step.held_back_at <= recent)
        {
            return true;
        }
    }
    return false;
}

/// Identifies a round in the order of arrival of its job.
auto arrival_of(const detail::job_record& job,
                const detail::round_record& round) -> std::uint64_t
{
    constexpr unsigned round_bits = 20;
    return (job.arrival << round_bits) + round.number;
}

} // namespace

/// Unfinished jobs of a service.
struct scheduler::service_backlog
{
    resources capacity;
    resources room;
    /// What all waiting tasks need.
    resources need;
    std::vector<policy::backlog_job> jobs;
    /// Of each job.
    std::vector<job_record*> records;
    std::vector<round_record*> rounds;
    /// Position of a round among the jobs.
    std::map<const round_record*, std::size_t> positions;
    policy::overload_summary summary;
};

auto scheduler::offers_capacity(const worker_record& worker) const -> bool
{
    return worker.registered && !worker.ended && !worker.entry.draining &&
           !worker.is_ejected;
}

auto scheduler::note_arrival(const job_record& job, time_point now) -> void
{
    const auto& queue = job.spec->queue;
    // A workspace at its limit takes no capacity from others for a new job.
    if (!job.spec->steps.empty() &&
        policy::startable(job.account, policy::charge_for(job.spec->steps[0]),
                          1) == 0)
    {
        return;
    }
    const auto work = job.rounds.empty()
                          ? 0.0
                          : work_left(job.rounds.front(),
                                      m_pool.sums(queue.service).capacity);
    if (work > 0)
    {
        m_selections[queue.service].on_arrival(queue.name, queue.priority, work,
                                               now);
    }
}

auto scheduler::collect_backlog(
    std::map<service_name, service_backlog>& backlogs, time_point now) -> void
{
    for (auto& [arrival, job] : m_active)
    {
        const auto found = backlogs.find(job->spec->queue.service);
        if (found == backlogs.end())
        {
            continue;
        }
        auto& backlog = found->second;
        const auto& queue = job->spec->queue;
        auto& selection = m_selections[queue.service];
        const auto target = policy::objective(queue, job->longest_chain);
        for (auto& round : job->rounds)
        {
            if (!round.released || round.done)
            {
                continue;
            }
            policy::backlog_job item;
            item.arrival = arrival_of(*job, round);
            item.priority = queue.priority;
            item.due = round.released_at + target;
            // As in compute_deadlines().
            item.worthless_at = std::max(round.released_at, job->accepted_at) +
                                policy::worthless_after_objectives * target;
            bool lasting = false;
            for (const auto& step : round.steps)
            {
                lasting = lasting || step.spec->lasting;
                if (step.done_count < step.spec->count)
                {
                    item.chain = std::max(item.chain, job->chains[step.number]);
                }
            }
            item.work = work_left(round, backlog.capacity);
            item.worth = selection.worth_of(queue.name, item.work);
            if (is_held_back(round, now))
            {
                item.work = 0;
            }
            item.expired = now > item.worthless_at && !lasting;
            item.under_way = lasting || is_under_way(round);
            backlog.positions[&round] = backlog.jobs.size();
            backlog.jobs.push_back(item);
            backlog.records.push_back(job);
            backlog.rounds.push_back(&round);
        }
    }
}

auto scheduler::apply_selection(std::vector<policy::waiting_step>& items,
                                time_point now) -> void
{
    m_passed_at = now;
    std::map<service_name, service_backlog> backlogs;
    for (const auto& item : items)
    {
        backlogs[item.job->spec->queue.service].need += policy::resources_for(
            *item.step->spec,
            static_cast<std::uint32_t>(item.step->waiting.size()));
    }
    for (const auto& [service, selection] : m_selections)
    {
        if (selection.is_short())
        {
            backlogs.try_emplace(service);
        }
    }
    for (auto& [service, backlog] : backlogs)
    {
        const auto sums = m_pool.sums(service);
        backlog.capacity = sums.capacity;
        backlog.room = sums.room;
    }
    // On most passes all that waits has room, and jobs need not be compared.
    std::erase_if(backlogs,
                  [&](const auto& item)
                  {
                      return !m_selections[item.first].is_short() &&
                             item.second.need.fits_in(item.second.room);
                  });
    if (backlogs.empty())
    {
        return;
    }
    collect_backlog(backlogs, now);
    for (auto& [service, backlog] : backlogs)
    {
        auto& selection = m_selections[service];
        const bool was_short = selection.is_short();
        backlog.summary = selection.select(backlog.jobs, now);
        if (selection.is_short())
        {
            count_late(backlog);
        }
        update_estimates(service, backlog, now);
        log_overload(service, backlog, was_short, now);
    }
    for (auto& item : items)
    {
        const auto& service = item.job->spec->queue.service;
        if (!m_selections[service].is_short())
        {
            continue;
        }
        const auto& backlog = backlogs.at(service);
        const auto& job = backlog.jobs[backlog.positions.at(item.round)];
        item.lateness = job.lateness;
        item.latest_start = job.order_time();
    }
}

auto scheduler::update_estimates(const service_name& service,
                                 const service_backlog& backlog, time_point now)
    -> void
{
    const auto& selection = m_selections[service];
    if (selection.is_short())
    {
        m_starts[service] =
            policy::estimate_starts(backlog.summary, selection, now);
    }
    else
    {
        m_starts.erase(service);
    }
}

auto scheduler::worker_kinds(time_point now) const
    -> std::map<service_name, policy::service_view>
{
    std::map<service_name, policy::service_view> out;
    for (const auto& [id, worker] : m_workers)
    {
        if (worker.registered && !worker.ended)
        {
            auto& view = out[worker.entry.service];
            view.incomplete = view.incomplete ||
                              now - m_started_at < policy::time_to_learn_kinds;
            view.add_kind({worker.entry.capacity, worker.entry.labels});
        }
    }
    return out;
}

auto scheduler::count_late(service_backlog& backlog) -> void
{
    for (std::size_t i = 0; i < backlog.jobs.size(); ++i)
    {
        auto& round = *backlog.rounds[i];
        const auto& queue = backlog.records[i]->spec->queue.name;
        const auto lateness = backlog.jobs[i].lateness;
        if (lateness == policy::lateness_class::expired)
        {
            m_counts.expired_jobs[queue] += round.counted_expired ? 0 : 1;
            round.counted_expired = true;
        }
        else if (lateness >= policy::lateness_class::delayed)
        {
            m_counts.delayed_jobs[queue] += round.counted_delayed ? 0 : 1;
            round.counted_delayed = true;
        }
    }
    // A counter without a change would count as one.
    const auto is_zero = [](const auto& item)
    {
        return item.second == 0;
    };
    std::erase_if(m_counts.expired_jobs, is_zero);
    std::erase_if(m_counts.delayed_jobs, is_zero);
}

auto scheduler::log_overload(const service_name& service,
                             const service_backlog& backlog, bool was_short,
                             time_point now) -> void
{
    const bool is_short = m_selections[service].is_short();
    const bool changed = is_short != was_short;
    m_counts.overloads += changed && is_short ? 1 : 0;
    if (!changed &&
        (!is_short || now - m_overload_logged_at < m_options.wait_log_interval))
    {
        return;
    }
    m_overload_logged_at = now;
    if (!logging::is_enabled(logging::level::info))
    {
        return;
    }
    std::map<queue_name, std::array<std::size_t, 3>> by_queue;
    for (std::size_t i = 0; i < backlog.jobs.size(); ++i)
    {
        const auto lateness = backlog.jobs[i].lateness;
        auto& counts = by_queue[backlog.records[i]->spec->queue.name];
        const std::size_t at = lateness <= policy::lateness_class::chosen   ? 0
                               : lateness < policy::lateness_class::expired ? 1
                                                                            : 2;
        ++counts[at];
    }
    for (const auto& [queue, counts] : by_queue)
    {
        logging::info(is_short ? "capacity is short"
                               : "capacity suffices again")
            .with("service", service)
            .with("queue", queue)
            .with("chosen", counts[0])
            .with("delayed", counts[1])
            .with("expired", counts[2])
            .with("millicpus", backlog.capacity.millicpus);
    }
}

} // namespace pimentoshunt::cell
