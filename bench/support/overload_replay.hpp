/// @file
/// Replays a seeded load with discrete tasks against an order of waiting jobs:
/// no scheduler, no network. Capacity is pooled by speed of worker; a task, once
/// started, runs to its end.
#pragma once

#include "overload_load.hpp"

#include <pimentoshunt/cell/policy/overload_selection.hpp>

#include <algorithm>  // max, min, sort
#include <cstddef>    // size_t
#include <functional> // greater
#include <map>        // map
#include <queue>      // priority_queue
#include <tuple>      // tie, tuple
#include <utility>    // move, pair
#include <vector>     // vector

namespace pimentoshunt::bench
{

/// @brief Order in which a replay starts waiting jobs.
enum class order_rule
{
    first_come,
    /// Priority, expiry, latest start.
    latest_start,
    earliest_deadline,
    least_slack,
    /// Value per unit of work; jobs older than a bound come first.
    value_per_work,
    selection
};

inline auto to_string(order_rule rule) -> const char*
{
    constexpr const char* names[] = {
        "first come, first served",  "latest start (no selection)",
        "earliest deadline",         "least slack",
        "value per work, bound age", "selection"};
    return names[static_cast<std::size_t>(rule)];
}

/// @brief Replays a load.
class overload_replay
{
  public:
    overload_replay(load_description load, unsigned seed)
        : m_load(std::move(load)), m_jobs(draw_jobs(m_load, seed))
    {
        for (const auto& [share, speed] : m_load.speeds)
        {
            m_pools.push_back({share * m_load.cores, speed});
            m_capacity += share * m_load.cores * speed;
        }
    }

    /// @return the jobs with their ends
    auto run(order_rule rule, cell::policy::overload_options options = {})
        -> std::vector<replay_job>
    {
        m_selection = cell::policy::overload_selection(options);
        std::vector<std::size_t> active;
        std::size_t next = 0;
        double drain_s = 0;
        for (const auto& job : m_jobs)
        {
            drain_s = std::max(drain_s, job.worthless_s);
        }
        for (double now = 0; now < drain_s; now += pass_s)
        {
            end_tasks(now);
            for (; next < m_jobs.size() && m_jobs[next].arrived_s <= now;
                 ++next)
            {
                active.push_back(next);
                const auto& job = m_jobs[next];
                const auto& kind = m_load.classes[job.kind];
                m_selection.on_arrival(cell::queue_name(kind.name),
                                       kind.priority, work_left(job),
                                       at(job.arrived_s));
            }
            std::erase_if(active,
                          [&](std::size_t index)
                          {
                              return m_jobs[index].ended_s >= 0;
                          });
            const bool paused = now >= m_load.pause_begin.count() &&
                                now < m_load.pause_end.count();
            if (!paused)
            {
                start_tasks(rule, active, now);
            }
        }
        return m_jobs;
    }

    /// Upper bound of the value that any order can reach, also one that knows
    /// all run times: no job gets capacity before it arrives or after its
    /// deadline, capacity may be divided at will, and steps don't wait.
    [[nodiscard]] auto bound() const -> double
    {
        constexpr double in_time_share = 0.8;
        return in_time_share * best_fluid_value(&replay_job::due_s) +
               (1 - in_time_share) * best_fluid_value(&replay_job::worthless_s);
    }

  private:
    static constexpr double pass_s = 0.04;

    struct pool
    {
        double free = 0;
        double speed = 1;
    };

    struct running_task
    {
        double ends_s = 0;
        std::size_t job = 0;
        std::size_t pool = 0;

        friend auto operator>(const running_task& left,
                              const running_task& right) -> bool
        {
            return std::tie(left.ends_s, left.job) >
                   std::tie(right.ends_s, right.job);
        }
    };

    static auto at(double time_s) -> time_point
    {
        return time_point(std::chrono::duration_cast<boot_clock::duration>(
            real_s(1 + time_s)));
    }

    [[nodiscard]] auto work_left(const replay_job& job) const -> double
    {
        double tasks = 0;
        for (auto step = job.step; step < job.task_s.size(); ++step)
        {
            tasks += static_cast<double>(job.task_s[step].size());
        }
        // Half of what runs is left on average.
        tasks -= static_cast<double>(job.started) -
                 0.5 * static_cast<double>(job.running);
        return tasks * job.estimate_s * m_load.classes[job.kind].cores /
               m_capacity;
    }

    auto end_tasks(double now) -> void
    {
        while (!m_running.empty() && m_running.top().ends_s <= now)
        {
            const auto ended = m_running.top();
            m_running.pop();
            auto& job = m_jobs[ended.job];
            m_pools[ended.pool].free += m_load.classes[job.kind].cores;
            --job.running;
            if (job.running == 0 && job.started == job.task_s[job.step].size())
            {
                job.started = 0;
                ++job.step;
                job.ended_s = job.step == job.task_s.size() ? ended.ends_s : -1;
            }
        }
    }

    auto start_tasks(order_rule rule, const std::vector<std::size_t>& active,
                     double now) -> void
    {
        std::vector<cell::policy::backlog_job> backlog;
        backlog.reserve(active.size());
        for (const auto index : active)
        {
            const auto& job = m_jobs[index];
            const auto& kind = m_load.classes[job.kind];
            cell::policy::backlog_job item;
            item.arrival = index;
            item.priority = kind.priority;
            item.due = at(job.due_s);
            item.worthless_at = at(job.worthless_s);
            item.chain = std::chrono::duration_cast<milliseconds>(
                real_s(static_cast<double>(job.task_s.size() - job.step) *
                       job.estimate_s));
            item.work = work_left(job);
            item.worth =
                m_selection.worth_of(cell::queue_name(kind.name), item.work);
            item.under_way = job.begun;
            item.expired = now > job.worthless_s;
            backlog.push_back(item);
        }
        if (rule == order_rule::selection)
        {
            m_selection.select(backlog, at(now));
        }
        std::vector<std::pair<std::tuple<double, double, double>, std::size_t>>
            order;
        for (const auto& item : backlog)
        {
            const auto& job = m_jobs[item.arrival];
            if (job.started < job.task_s[job.step].size())
            {
                order.emplace_back(key(rule, item, now), item.arrival);
            }
        }
        std::sort(order.begin(), order.end());
        for (const auto& [position, index] : order)
        {
            if (!start_job(index, now))
            {
                break;
            }
        }
    }

    [[nodiscard]] auto key(order_rule rule,
                           const cell::policy::backlog_job& item,
                           double now) const
        -> std::tuple<double, double, double>
    {
        const auto& job = m_jobs[item.arrival];
        const real_s chain = item.chain;
        const double priority = item.priority;
        const double expired = item.expired ? 1 : 0;
        switch (rule)
        {
        case order_rule::first_come:
            return {0, 0, job.arrived_s};
        case order_rule::latest_start:
            return {priority, expired, job.due_s - chain.count()};
        case order_rule::earliest_deadline:
            return {priority, expired, job.due_s};
        case order_rule::least_slack:
            return {priority, expired,
                    (job.due_s - now - chain.count()) /
                        std::max(0.01, chain.count())};
        case order_rule::value_per_work:
        {
            const bool old = now > (job.due_s + job.worthless_s) / 2;
            return {priority, expired,
                    old ? job.arrived_s - 1e9
                        : -item.worth / std::max(1e-9, item.work)};
        }
        case order_rule::selection:
            break;
        }
        if (!m_selection.is_short())
        {
            return {priority, expired, job.due_s - chain.count()};
        }
        return {priority, static_cast<double>(item.lateness),
                real_s(item.order_time().time_since_epoch()).count()};
    }

    /// @return false if no pool has room for a task of any class
    auto start_job(std::size_t index, double now) -> bool
    {
        auto& job = m_jobs[index];
        const auto& kind = m_load.classes[job.kind];
        while (job.started < job.task_s[job.step].size())
        {
            std::size_t best = 0;
            for (std::size_t i = 1; i < m_pools.size(); ++i)
            {
                best = m_pools[i].free > m_pools[best].free ? i : best;
            }
            if (m_pools[best].free < kind.cores)
            {
                return false;
            }
            m_pools[best].free -= kind.cores;
            const auto took =
                job.task_s[job.step][job.started] / m_pools[best].speed;
            m_running.push({now + took, index, best});
            ++job.started;
            ++job.running;
            job.begun = true;
        }
        return true;
    }

    [[nodiscard]] auto fastest_speed() const -> double
    {
        double out = 0;
        for (const auto& each : m_pools)
        {
            out = std::max(out, each.speed);
        }
        return out;
    }

    [[nodiscard]] auto slowest_speed() const -> double
    {
        double out = m_pools.front().speed;
        for (const auto& each : m_pools)
        {
            out = std::min(out, each.speed);
        }
        return out;
    }

    /// Most value that a fluid schedule reaches within windows that end at
    /// @p deadline. The sets of work that fit form a polymatroid, so that taking
    /// jobs by value per work, each as far as it fits, is optimal.
    [[nodiscard]] auto best_fluid_value(double replay_job::*deadline) const
        -> double
    {
        constexpr double slot_s = 0.5;
        double end_s = 0;
        for (const auto& job : m_jobs)
        {
            end_s = std::max(end_s, job.*deadline);
        }
        const auto slots = static_cast<std::size_t>(end_s / slot_s) + 2;
        // What has started before a pause runs on.
        double longest_s = 0;
        for (const auto& job : m_jobs)
        {
            longest_s = std::max(longest_s, job.longest_task_s());
        }
        const double all_ended =
            m_load.pause_begin.count() + longest_s / slowest_speed();
        std::vector<double> offered(slots + 1, 0.0);
        for (std::size_t i = 0; i < slots; ++i)
        {
            const double begin = static_cast<double>(i) * slot_s;
            const double paused = std::max(
                0.0, std::min(m_load.pause_end.count(), begin + slot_s) -
                         std::max(all_ended, begin));
            offered[i + 1] = offered[i] + m_capacity * (slot_s - paused);
        }
        // Room that is left between the beginnings of two slots.
        std::vector<std::vector<double>> room(slots + 1);
        for (std::size_t from = 0; from <= slots; ++from)
        {
            room[from].resize(slots + 1);
            for (std::size_t to = from; to <= slots; ++to)
            {
                room[from][to] = offered[to] - offered[from];
            }
        }
        std::vector<const replay_job*> by_density;
        for (const auto& job : m_jobs)
        {
            // No order ends a job sooner than its longest tasks.
            if (job.arrived_s + job.shortest_time_s() / fastest_speed() <=
                job.*deadline)
            {
                by_density.push_back(&job);
            }
        }
        std::sort(by_density.begin(), by_density.end(),
                  [](const replay_job* left, const replay_job* right)
                  {
                      return left->worth * right->work >
                             right->worth * left->work;
                  });
        double value = 0;
        for (const auto* const job : by_density)
        {
            const auto first =
                static_cast<std::size_t>(job->arrived_s / slot_s);
            const auto last =
                static_cast<std::size_t>(job->*deadline / slot_s) + 1;
            double served = job->work;
            for (std::size_t from = 0; from <= first; ++from)
            {
                for (std::size_t to = last; to <= slots; ++to)
                {
                    served = std::min(served, room[from][to]);
                }
            }
            if (served <= 0)
            {
                continue;
            }
            for (std::size_t from = 0; from <= first; ++from)
            {
                for (std::size_t to = last; to <= slots; ++to)
                {
                    room[from][to] -= served;
                }
            }
            value += job->worth * served / job->work;
        }
        return value;
    }

    load_description m_load;
    std::vector<replay_job> m_jobs;
    std::vector<pool> m_pools;
    double m_capacity = 0;
    std::priority_queue<running_task, std::vector<running_task>,
                        std::greater<running_task>>
        m_running;
    cell::policy::overload_selection m_selection;
};

/// @brief Results of a replay.
struct overload_result
{
    /// Value that was reached, and by class.
    double value = 0;
    std::map<std::size_t, double> share_of_class;
    /// Share of the jobs served before they are worthless: of each class, and of
    /// the largest tenth of each class.
    std::map<std::size_t, double> served;
    std::map<std::size_t, double> largest_served;
    std::map<std::size_t, double> in_time;
};

inline auto summarize(const std::vector<replay_job>& jobs) -> overload_result
{
    overload_result out;
    std::map<std::size_t, std::vector<const replay_job*>> by_class;
    for (const auto& job : jobs)
    {
        out.value += job.value();
        by_class[job.kind].push_back(&job);
    }
    const auto served = [](const replay_job* job)
    {
        return job->value() > 0 ? 1.0 : 0.0;
    };
    for (auto& [kind, members] : by_class)
    {
        std::sort(members.begin(), members.end(),
                  [](const replay_job* left, const replay_job* right)
                  {
                      return left->work > right->work;
                  });
        const auto tenth = std::max<std::size_t>(1, members.size() / 10);
        double worth = 0;
        for (std::size_t i = 0; i < members.size(); ++i)
        {
            const auto* const job = members[i];
            out.share_of_class[kind] += job->value();
            worth += job->worth;
            out.served[kind] +=
                served(job) / static_cast<double>(members.size());
            out.in_time[kind] +=
                (job->value() > 0 && job->ended_s <= job->due_s ? 1.0 : 0.0) /
                static_cast<double>(members.size());
            out.largest_served[kind] +=
                i < tenth ? served(job) / static_cast<double>(tenth) : 0;
        }
        out.share_of_class[kind] /= std::max(1e-9, worth);
    }
    return out;
}

} // namespace pimentoshunt::bench
