/// @file
/// Tests of the scheduler when its workers have too little room for the waiting
/// work.
#include "fakes/cell_simulation.hpp"

#include <pimentoshunt/cell/owner_view.hpp>

#include <criterion/criterion.h>

#include <chrono> // seconds
#include <string> // string, to_string

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::simple_job;
using std::chrono::seconds;

namespace
{

/// A job that takes a worker of 1,000 millicpus for a second, and is due 5.25 s
/// after it was accepted.
auto short_job(const std::string& name) -> cell::job_spec
{
    auto job = simple_job(name, 1, 1'000);
    job.queue.stretch = 5;
    job.steps.front().estimate = seconds(1);
    return job;
}

auto run_in_a_second(cell_simulation& simulation) -> void
{
    simulation.run_time = [](const cell::run_ref&)
    {
        return std::optional<milliseconds>(seconds(1));
    };
}

auto state(cell_simulation& simulation, const std::string& name)
    -> cell::job_state
{
    return simulation.jobs().state_of(job_id(name)).value();
}

/// A worker with a backlog of 14 s, and a job that arrives when 8 s of it are
/// left, most of which is late.
auto replay_backlog(cell_simulation& simulation) -> void
{
    run_in_a_second(simulation);
    simulation.add_worker("w1", 1'000);
    simulation.run_pass();
    for (int i = 0; i < 14; ++i)
    {
        simulation.jobs().accept(short_job("old" + std::to_string(i)),
                                 simulation.now);
    }
    simulation.run_for(seconds(6));
    simulation.jobs().accept(short_job("new"), simulation.now);
}

} // namespace

// Guards against serving jobs that are late already while another one, which
// could be in time, becomes late behind them.
Test(cell_overload, a_job_that_can_be_in_time_goes_before_late_ones)
{
    cell_simulation simulation;
    replay_backlog(simulation);
    simulation.run_for(seconds(5));
    cr_assert_neq(state(simulation, "new"), cell::job_state::queued);
    const auto counts = simulation.jobs().take_counts();
    cr_assert_geq(counts.overloads, 1u);
    cr_assert_geq(counts.delayed_jobs.at(cell::queue_name("queue")), 5u);
}

// Guards against delayed jobs that are never served.
Test(cell_overload, delayed_jobs_are_served_when_there_is_room_again)
{
    cell_simulation simulation;
    replay_backlog(simulation);
    simulation.run_for(seconds(30));
    for (int i = 0; i < 14; ++i)
    {
        cr_assert_neq(state(simulation, "old" + std::to_string(i)),
                      cell::job_state::queued, "old%d", i);
    }
    cr_assert_eq(simulation.running(), 0u);
}

// Guards against throwing away the work of a job that has begun: its second step
// goes before jobs of which nothing has been done.
Test(cell_overload, a_job_that_is_under_way_goes_on)
{
    cell_simulation simulation;
    run_in_a_second(simulation);
    simulation.add_worker("w1", 1'000);
    simulation.run_pass();
    auto two_steps = short_job("two");
    two_steps.queue.stretch = 8;
    two_steps.steps.push_back(two_steps.steps.front());
    two_steps.steps.back().after = {0};
    simulation.jobs().accept(two_steps, simulation.now);
    simulation.run_for(milliseconds(200));
    for (int i = 0; i < 10; ++i)
    {
        simulation.jobs().accept(short_job("new" + std::to_string(i)),
                                 simulation.now);
    }
    simulation.run_for(milliseconds(2'800));
    std::size_t of_two = 0;
    for (const auto& order : simulation.starts)
    {
        of_two += order.run.task.step.job == job_id("two") ? 1 : 0;
    }
    cr_assert_eq(of_two, 2u);
}

// Guards against refusing jobs for good while the workers that could run them are
// still registering.
Test(cell_overload, nothing_is_too_large_for_workers_that_are_still_coming)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 1'000);
    simulation.run_for(seconds(1));
    const auto job = simple_job("large", 1, 2'000);
    cell::owner_view view;
    view.update(simulation.jobs(), simulation.now);
    cr_assert_not(view.refusal_of(job, simulation.now));
    simulation.run_for(seconds(10));
    view.update(simulation.jobs(), simulation.now);
    cr_assert(view.refusal_of(job, simulation.now)->never_runs);
    // What another instance reads from a heartbeat says the same.
    pimentoshunt::wire::cell_beat beat;
    view.write(beat, simulation.now);
    cell::owner_view other;
    other.read(beat, simulation.now);
    cr_assert(other.refusal_of(job, simulation.now)->never_runs);
    cr_assert_not(other.refusal_of(job, simulation.now + seconds(4)));
    simulation.add_worker("w2", 2'000);
    simulation.run_pass();
    view.update(simulation.jobs(), simulation.now);
    cr_assert_not(view.refusal_of(job, simulation.now));
}

// Guards against refusing jobs for lack of capacity while workers are idle, since
// the jobs of a workspace wait for its limit.
Test(cell_overload, work_that_a_limit_keeps_back_is_no_lack_of_capacity)
{
    cell_simulation simulation;
    run_in_a_second(simulation);
    simulation.configure({fakes::workspace("a", 1'000)});
    for (int i = 0; i < 10; ++i)
    {
        simulation.add_worker("w" + std::to_string(i), 1'000);
    }
    simulation.run_pass();
    auto job = short_job("b");
    job.queue.priority = 2;
    cell::owner_view view;
    for (int i = 0; i < 300; ++i)
    {
        auto held_back = short_job("a" + std::to_string(i));
        held_back.workspace = workspace_name("a");
        simulation.jobs().accept(held_back, simulation.now);
        simulation.run_for(milliseconds(20));
        view.update(simulation.jobs(), simulation.now);
        cr_assert_not(view.refusal_of(job, simulation.now), "after %d jobs", i);
    }
    cr_assert_eq(simulation.running(), 1u);
}
