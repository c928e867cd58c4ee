/// @file
/// Seeded descriptions of loads for replays of policies: classes of jobs, bursts,
/// pauses, and capacity in cores split over workers with different speeds.
#pragma once

#include <algorithm> // max, max_element, min, sort
#include <chrono>    // duration
#include <cmath>     // exp, lround
#include <cstddef>   // size_t
#include <cstdint>   // uint32_t
#include <random>    // mt19937_64
#include <string>    // string
#include <utility>   // move, pair
#include <vector>    // vector

namespace pimentoshunt::bench
{

using real_s = std::chrono::duration<double>;

/// @brief Jobs of one queue.
struct job_class
{
    std::string name;
    double rate = 1;
    /// Mean number of steps: one, or two with the probability of the remainder.
    double steps = 1;
    double width = 1;
    /// Standard deviation of the logarithm of the width.
    double width_spread = 0.5;
    real_s task_time{1};
    double cores = 1;
    std::uint32_t priority = 0;
    double stretch = 1;
    real_s allowance{0};
    double worth = 1;
};

/// @brief A time in which a class, or all, arrives at a multiple of its rate.
struct load_burst
{
    real_s begin{0};
    real_s end{0};
    double factor = 1;
    /// Empty: all.
    std::string only;
};

/// @brief A load and the capacity that it meets.
struct load_description
{
    double cores = 1;
    /// Shares of the cores and their speeds.
    std::vector<std::pair<double, double>> speeds{{1.0, 1.0}};
    std::vector<job_class> classes;
    std::vector<load_burst> bursts;
    /// Nothing starts in this time.
    real_s pause_begin{0};
    real_s pause_end{0};
    /// Standard deviation of the logarithm of estimates over real times.
    double estimate_error = 0;
    /// Share of the tasks that take several times as long.
    double long_tasks = 0;
    double long_factor = 7;
    /// Jobs arrive until then; the replay ends when all are worthless.
    real_s length{40};
    /// Workspaces that send the same load; the first one sends @ref surge times
    /// as much.
    std::uint32_t workspaces = 1;
    double surge = 1;
};

/// @brief A job of a replay.
struct replay_job
{
    std::size_t kind = 0;
    std::uint32_t workspace = 0;
    double arrived_s = 0;
    double due_s = 0;
    double worthless_s = 0;
    double work = 0;
    double worth = 0;
    double ended_s = -1;
    /// Tasks of each step: real and estimated time.
    std::vector<std::vector<double>> task_s;
    double estimate_s = 0;
    /// Real chain length, and state of the replay.
    double chain_s = 0;
    std::size_t step = 0;
    std::size_t started = 0;
    std::size_t running = 0;
    bool begun = false;

    /// Sum over the steps of their longest tasks, at speed 1.
    [[nodiscard]] auto shortest_time_s() const -> double
    {
        double out = 0;
        for (const auto& times : task_s)
        {
            out += *std::max_element(times.begin(), times.end());
        }
        return out;
    }

    [[nodiscard]] auto longest_task_s() const -> double
    {
        double out = 0;
        for (const auto& times : task_s)
        {
            out = std::max(out, *std::max_element(times.begin(), times.end()));
        }
        return out;
    }

    [[nodiscard]] auto value() const -> double
    {
        constexpr double late_share = 0.2;
        if (ended_s < 0 || ended_s > worthless_s)
        {
            return 0;
        }
        return ended_s <= due_s ? worth : late_share * worth;
    }
};

/// @brief Draws the jobs of a load, sorted by arrival.
inline auto draw_jobs(const load_description& load, unsigned seed)
    -> std::vector<replay_job>
{
    constexpr double objectives_to_worthless = 3;
    std::vector<replay_job> out;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::normal_distribution<double> normal;
    for (std::size_t kind = 0; kind < load.classes.size(); ++kind)
    {
        const auto& from = load.classes[kind];
        const auto mean_work =
            from.steps * from.width * from.cores * from.task_time.count();
        double most = load.surge + load.workspaces - 1;
        for (const auto& burst : load.bursts)
        {
            most = std::max(most,
                            (load.surge + load.workspaces - 1) * burst.factor);
        }
        const double each = 1.0 / load.workspaces;
        for (double at = 0; at < load.length.count();)
        {
            std::exponential_distribution<double> gap(from.rate * most * each);
            at += gap(random);
            double factor = 1;
            for (const auto& burst : load.bursts)
            {
                const bool applies =
                    burst.only.empty() || burst.only == from.name;
                factor = applies && at >= burst.begin.count() &&
                                 at < burst.end.count()
                             ? factor * burst.factor
                             : factor;
            }
            const double drawn = uniform(random) * most;
            const double total = load.surge + load.workspaces - 1;
            if (drawn >= total * factor)
            {
                continue;
            }
            replay_job job;
            job.kind = kind;
            const double who = drawn / factor;
            job.workspace =
                who < load.surge
                    ? 0
                    : 1 + static_cast<std::uint32_t>(who - load.surge);
            job.arrived_s = at;
            const auto spread = from.width_spread;
            const double width = from.width * std::exp(spread * normal(random) -
                                                       spread * spread / 2);
            const auto tasks = std::max<std::size_t>(
                1, static_cast<std::size_t>(std::lround(width)));
            const std::size_t steps =
                1 + (uniform(random) < from.steps - 1 ? 1 : 0);
            for (std::size_t step = 0; step < steps; ++step)
            {
                auto& times = job.task_s.emplace_back();
                for (std::size_t i = 0; i < tasks; ++i)
                {
                    const bool slow = uniform(random) < load.long_tasks;
                    times.push_back(from.task_time.count() *
                                    (slow ? load.long_factor : 1.0));
                    job.work += times.back() * from.cores;
                }
            }
            job.chain_s = static_cast<double>(steps) * from.task_time.count();
            job.estimate_s = from.task_time.count() *
                             std::exp(load.estimate_error * normal(random));
            const double target =
                from.stretch * job.chain_s + from.allowance.count();
            job.due_s = at + target;
            job.worthless_s = at + objectives_to_worthless * target;
            job.worth =
                from.worth * std::min(4.0, 0.3 + 0.7 * job.work / mean_work);
            out.push_back(std::move(job));
        }
    }
    std::sort(out.begin(), out.end(),
              [](const replay_job& left, const replay_job& right)
              {
                  return left.arrived_s < right.arrived_s;
              });
    return out;
}

/// @brief Capacity of 6,300 equal cores: quick checks and long reports.
/// @param factor  offered load over capacity
inline auto checks_and_reports(double factor) -> load_description
{
    load_description out;
    out.cores = 6'300;
    // The rates are those of 0.8 times the capacity.
    const double scale = factor / 0.8;
    out.classes = {{"check", 36 * scale, 1.6, 10, 0.5, real_s(0.64), 2.2, 0,
                    1.5, real_s(0.25), 0.63},
                   {"report", 5.9 * scale, 2, 21, 0.5, real_s(3.8), 4.5, 2, 2.2,
                    real_s(1.2), 3.8}};
    out.bursts = {{real_s(8), real_s(13), 1.8, "report"},
                  {real_s(20), real_s(24), 2.3, "check"},
                  {real_s(33), real_s(38), 1.5, "report"}};
    out.pause_begin = real_s(26);
    out.pause_end = real_s(33);
    return out;
}

/// @brief Capacity of 25,000 cores of two speeds: quick checks and settlements,
/// with estimates that are far off and tasks that take seven times as long.
inline auto uneven_settlements(double factor) -> load_description
{
    load_description out;
    out.cores = 25'000;
    constexpr double third = 1.0 / 3;
    out.speeds = {{third, 0.7}, {third, 0.7}, {third, 1.7}};
    out.estimate_error = 0.9;
    out.long_tasks = 0.03;
    out.classes = {{"check", 34, 1.6, 10, 0.5, real_s(0.68), 8.9, 0, 1.5,
                    real_s(0.25), 0.63},
                   {"settlement", 4, 2, 21, 0.5, real_s(3.2), 18, 2, 2.2,
                    real_s(1.2), 3.8}};
    // Mean work of a second, with the longer tasks.
    double offered = 0;
    for (const auto& item : out.classes)
    {
        offered += item.rate * item.steps * item.width * item.cores *
                   item.task_time.count() *
                   (1 + out.long_tasks * (out.long_factor - 1));
    }
    double capacity = 0;
    for (const auto& [share, speed] : out.speeds)
    {
        capacity += share * speed * out.cores;
    }
    for (auto& item : out.classes)
    {
        item.rate *= factor * capacity / offered;
    }
    return out;
}

} // namespace pimentoshunt::bench
