/// @file
/// Tests of learned run times and speeds, and of the choice of workers by speed.
#include "fakes/cell_simulation.hpp"

#include <pimentoshunt/cell/beat_content.hpp>
#include <pimentoshunt/cell/policy/run_time_model.hpp>

#include <criterion/criterion.h>

#include <algorithm> // sort
#include <cmath>     // abs, exp, isfinite, log
#include <cstdint>   // uint32_t
#include <memory>    // make_shared
#include <random>    // mt19937, normal_distribution
#include <string>    // string, to_string
#include <utility>   // pair
#include <vector>    // vector

using namespace pimentoshunt;
using cell::policy::run_time_model;
using fakes::cell_simulation;
using fakes::simple_job;

namespace
{

/// Steps of ten tasks that end on workers of given speeds: declared times are
/// off by 0.9 from step to step, tasks vary by 0.3, and one of thirty takes
/// seven times as long.
struct ended_runs
{
    /// Kind and speed of each worker.
    std::vector<std::pair<std::string, double>> workers;
    run_time_model model;
    std::mt19937 random{7};
    /// Factor between declared and real times.
    double factor = 1.0;

    auto refresh() -> void
    {
        std::vector<cell::policy::present_worker> present;
        for (std::size_t i = 0; i < workers.size(); ++i)
        {
            present.push_back({worker_id(std::to_string(i)), workers[i].first});
        }
        model.refresh(present);
    }

    /// Ends one step, with its tasks in the order of their run times.
    auto end_step(std::uint32_t tasks = 10) -> void
    {
        constexpr double straggler_share = 0.03;
        std::normal_distribution<double> normal;
        std::uniform_int_distribution<std::size_t> any(0, workers.size() - 1);
        std::uniform_real_distribution<double> share;
        const auto work = 680 * factor * std::exp(0.9 * normal(random));
        std::vector<cell::policy::ended_run> runs;
        for (std::uint32_t i = 0; i < tasks; ++i)
        {
            const auto at = any(random);
            const auto tail = share(random) < straggler_share ? 7.0 : 1.0;
            const auto time = tail * work * std::exp(0.3 * normal(random)) /
                              workers[at].second;
            cell::policy::ended_run run;
            run.worker = worker_id(std::to_string(at));
            run.kind = workers[at].first;
            run.queue = cell::queue_name("q");
            run.declared = milliseconds(680);
            run.took = milliseconds(static_cast<int>(time));
            run.index = i;
            run.tasks = tasks;
            runs.push_back(run);
        }
        std::sort(runs.begin(), runs.end(),
                  [](const auto& left, const auto& right)
                  {
                      return left.took < right.took;
                  });
        cell::policy::step_times times;
        for (const auto& run : runs)
        {
            model.learn(run, times);
        }
    }

    /// Ends 300 runs a second, as a service of 350 workers does.
    auto run_for(int seconds) -> void
    {
        for (int half = 0; half < 2 * seconds; ++half)
        {
            refresh();
            for (int step = 0; step < 15; ++step)
            {
                end_step();
            }
        }
        refresh();
    }

    /// Mean difference between the logarithms of the learned and the real speeds,
    /// relative to the mean of the speeds.
    auto mean_error() const -> double
    {
        double mean = 0;
        for (const auto& [kind, speed] : workers)
        {
            mean += speed / static_cast<double>(workers.size());
        }
        double sum = 0;
        for (std::size_t i = 0; i < workers.size(); ++i)
        {
            const auto learned =
                model.speed_of(worker_id(std::to_string(i)), workers[i].first);
            sum += std::abs(std::log(learned * mean / workers[i].second));
        }
        return sum / static_cast<double>(workers.size());
    }
};

/// Two workers of three are of a slow kind.
auto two_kinds() -> ended_runs
{
    ended_runs out;
    for (int i = 0; i < 350; ++i)
    {
        const bool fast = i % 3 == 2;
        out.workers.emplace_back(fast ? "b" : "a", fast ? 1.7 : 0.7);
    }
    return out;
}

} // namespace

// Load: two kinds of workers, 300 ends a second. Guards against a model that finds
// their speeds only after many bursts, or never because of stragglers.
Test(cell_speeds, kinds_are_told_apart_within_two_seconds)
{
    auto runs = two_kinds();
    runs.run_for(2);
    cr_assert_lt(runs.mean_error(), 0.05);
    runs.run_for(18);
    cr_assert_lt(runs.mean_error(), 0.04);
}

// Load: speeds go by worker and not by kind. Guards against a model that knows
// kinds only.
Test(cell_speeds, workers_of_one_kind_are_told_apart)
{
    const std::vector<double> speeds = {0.8, 1.0, 1.25};
    ended_runs runs;
    for (std::size_t i = 0; i < 350; ++i)
    {
        runs.workers.emplace_back(i % 2 == 0 ? "a" : "b", speeds[i % 3]);
    }
    runs.run_for(40);
    cr_assert_lt(runs.mean_error(), 0.08);
}

// Load: equal workers, declared times off by three. Guards against speeds that are
// only noise, which would change how equal workers are chosen.
Test(cell_speeds, equal_workers_get_equal_speeds)
{
    for (const std::size_t count : {3u, 40u, 350u})
    {
        ended_runs runs;
        runs.factor = 3.0;
        for (std::size_t i = 0; i < count; ++i)
        {
            runs.workers.emplace_back(std::string(1, "abcdefgh"[i % 8]), 1.0);
        }
        for (int second = 0; second < 20; ++second)
        {
            runs.run_for(1);
            cr_assert_lt(runs.mean_error(), 0.03, "%zu workers, second %d",
                         count, second);
        }
        const auto factor = runs.model.factor_of(cell::queue_name("q"));
        cr_assert(factor > 2.0 && factor < 4.5, "%f", factor);
    }
}

// Load: reports that can't be true. Guards against one worker or estimate that
// makes all others look slow.
Test(cell_speeds, extreme_run_times_are_bounded)
{
    auto runs = two_kinds();
    runs.workers[0] = {"a", 1'000.0};
    runs.run_for(10);
    runs.workers[0] = {"a", 0.7};
    cr_assert_lt(runs.mean_error(), 0.1);
    run_time_model model;
    cell::policy::step_times times;
    cell::policy::ended_run run;
    run.worker = worker_id("w");
    run.queue = cell::queue_name("q");
    for (int i = 0; i < 100; ++i)
    {
        run.declared = milliseconds(i % 2 == 0 ? 0 : 86'400'000);
        run.took = milliseconds(i % 3 == 0 ? 0 : 1);
        model.learn(run, times);
    }
    model.refresh({{run.worker, run.kind}});
    cr_assert(std::isfinite(model.speed_of(run.worker, run.kind)));
    cr_assert_geq(model.factor_of(run.queue), cell::policy::lowest_factor);
    model.restore({{{cell::queue_name("q"), 1e9}}, {{"a", -1}, {"b", 1e9}}});
    model.refresh({{worker_id("x"), "a"}, {worker_id("y"), "b"}});
    cr_assert_leq(model.speed_of(worker_id("y"), "b"),
                  cell::policy::highest_speed);
    cr_assert_leq(model.factor_of(run.queue), cell::policy::highest_factor);
}

namespace
{

/// Four slow workers and two fast ones of four places each; their speeds are
/// known.
struct two_speeds
{
    cell_simulation simulation;

    explicit two_speeds(double slow = 0.7, double fast = 1.7)
    {
        for (int i = 0; i < 6; ++i)
        {
            simulation.add_worker("w" + std::to_string(i), 4'000, "r1-1",
                                  i % 3 == 2 ? "b" : "a");
        }
        simulation.jobs().restore_speeds({{}, {{"a", slow}, {"b", fast}}});
        simulation.run_for(milliseconds(700));
    }

    /// A job whose objective leaves @p stretch times its run time.
    auto accept(const std::string& id, std::uint32_t tasks, double stretch,
                bool gang = false) -> void
    {
        auto job = simple_job(id, tasks, 1'000);
        job.steps[0].estimate = milliseconds(680);
        job.steps[0].gang = gang;
        job.queue.stretch = stretch;
        job.queue.allowance = milliseconds(0);
        simulation.jobs().accept(job, simulation.now);
        simulation.run_for(milliseconds(60));
    }

    auto starts_on_fast() const -> std::size_t
    {
        std::size_t out = 0;
        for (const auto& start : simulation.starts)
        {
            const auto& id = start.target.worker.str();
            out += id == "w2" || id == "w5" ? 1 : 0;
        }
        return out;
    }
};

} // namespace

// Load: steps with a close objective beside steps with slack. Guards against urgent
// steps on workers that can't finish them in time.
Test(cell_speeds, close_objectives_get_fast_workers_and_slack_slow_ones)
{
    two_speeds cell;
    cell.accept("slack", 4, 4.0);
    cr_assert_eq(cell.starts_on_fast(), 0u);
    cell.accept("close", 5, 1.9);
    cr_assert_eq(cell.starts_on_fast(), 5u);
    // The slow workers have twelve places left.
    cell.accept("overflow", 14, 4.0);
    cr_assert_eq(cell.simulation.starts.size(), 23u);
    cr_assert_eq(cell.starts_on_fast(), 7u);
}

// Load: a gang, as slow as its slowest member. Guards against one member on a slow
// worker.
Test(cell_speeds, a_gang_with_a_close_objective_gets_fast_workers)
{
    two_speeds cell;
    cell.accept("gang", 6, 1.9, true);
    cr_assert_eq(cell.starts_on_fast(), 6u);
}

// Load: workers whose speeds hardly differ. Guards against a change of packing.
Test(cell_speeds, speeds_within_a_tenth_change_nothing)
{
    two_speeds equal(1.0, 1.0);
    two_speeds close(0.98, 1.05);
    for (auto* const cell : {&equal, &close})
    {
        cell->accept("slack", 3, 4.0);
        cell->accept("close", 6, 1.9);
    }
    const auto& left = equal.simulation.starts;
    const auto& right = close.simulation.starts;
    cr_assert_eq(left.size(), right.size());
    for (std::size_t i = 0; i < left.size(); ++i)
    {
        cr_assert_eq(left[i].target.worker, right[i].target.worker);
    }
}

// Load: a queue with approvals. Guards against approvals of slow workers only, with
// which a step with a close objective is late.
Test(cell_speeds, approvals_are_requested_for_suitable_workers_first)
{
    two_speeds cell;
    for (const auto& [id, stretch] :
         {std::pair("close", 1.2), std::pair("slack", 4.0)})
    {
        auto job = simple_job(id, 1, 1'000);
        job.steps[0].estimate = milliseconds(680);
        job.queue.stretch = stretch;
        job.queue.allowance = milliseconds(0);
        job.queue.approval.required = true;
        cell.simulation.jobs().accept(job, cell.simulation.now);
        cell.simulation.run_pass();
    }
    const auto& requests = cell.simulation.approval_requests;
    cr_assert_eq(requests.size(), 2u);
    cr_assert_eq(requests[0].workers[0], worker_id("w2"));
    cr_assert_eq(requests[0].workers[1], worker_id("w5"));
    cr_assert_geq(requests[1].workers.size(), 4u);
    for (std::size_t i = 0; i < 4; ++i)
    {
        const auto& id = requests[1].workers[i];
        cr_assert(id != worker_id("w2") && id != worker_id("w5"));
    }
}

// Load: runs of one step on both kinds. Guards against ends that don't reach the
// model.
Test(cell_speeds, ends_of_runs_are_learned)
{
    cell_simulation simulation;
    for (int i = 0; i < 6; ++i)
    {
        simulation.add_worker("w" + std::to_string(i), 4'000, "r1-1",
                              i % 3 == 2 ? "b" : "a");
    }
    simulation.run_pass();
    for (int i = 0; i < 30; ++i)
    {
        auto job = simple_job("j" + std::to_string(i), 10, 1'000);
        job.steps[0].most_per_worker = 2;
        simulation.jobs().accept(job, simulation.now);
        simulation.run_pass();
        for (auto& [id, worker] : simulation.workers)
        {
            const bool fast = worker.entry.labels.front() == "b";
            for (auto& [ref, run] : worker.runs)
            {
                run.ends_at = simulation.now + milliseconds(fast ? 400 : 1'000);
            }
        }
        simulation.run_for(milliseconds(1'200));
    }
    const auto kinds = simulation.jobs().learned_speeds().kinds;
    const auto ratio = kinds.at("b") / kinds.at("a");
    cr_assert(ratio > 2.1 && ratio < 2.6, "%f", ratio);
}

// Load: a takeover on a cell with two kinds of workers. Guards against an owner that
// has to learn the speeds anew, and against heartbeats that carry needless speeds.
Test(cell_speeds, a_later_owner_begins_with_the_speeds_of_the_heartbeat)
{
    wire::cell_beat beat;
    cell::policy::learned_speeds known{{{cell::queue_name("q"), 3.0}},
                                       {{"a", 0.7}, {"b", 1.7}}};
    cell::write_speeds(known, beat);
    cell::scheduler_options options;
    cell::read_speeds(beat, options.speeds);
    cell::read_speeds({}, options.speeds);
    const cell::scheduler later(2, options, time_point{});
    const auto learned = later.learned_speeds();
    cr_assert_float_eq(learned.factors.at(cell::queue_name("q")), 3.0, 0.001);
    cr_assert_float_eq(learned.kinds.at("b") / learned.kinds.at("a"), 1.7 / 0.7,
                       0.001);
    wire::cell_beat plain;
    cell::write_speeds({{{cell::queue_name("q"), 1.05}}, {{"a", 1.0}}}, plain);
    cr_assert(plain.kinds().empty() && plain.factors().empty());
}

// Load: a step that is late, in a service with too little capacity. Guards against
// a preference that takes the time of the order under overload for a deadline.
Test(cell_speeds, the_order_under_overload_does_not_change_the_preference)
{
    const auto spec =
        std::make_shared<const cell::job_spec>(simple_job("j1", 4, 1'000));
    cell::detail::job_record job;
    job.spec = spec;
    cell::policy::set_chains(job);
    cell::detail::round_record round;
    cell::detail::step_record step;
    step.spec = &spec->steps.front();
    const time_point now{std::chrono::hours(1)};
    cell::policy::waiting_step item;
    item.job = &job;
    item.round = &round;
    item.step = &step;
    const cell::policy::speed_range range{true, 0.7, 1.7, 1.0};
    for (int age = 0; age < 5'000; age += 100)
    {
        round.released_at = now - milliseconds(age);
        job.accepted_at = round.released_at;
        cell::policy::compute_deadlines(item, now);
        const auto before = cell::policy::preference_of(item, range, 1.0, now);
        item.latest_start = item.due + std::chrono::seconds(5);
        const auto after = cell::policy::preference_of(item, range, 1.0, now);
        cr_assert_eq(after.fast_first, before.fast_first, "%d ms", age);
        cr_assert_float_eq(after.required, before.required, 1e-9);
    }
}
