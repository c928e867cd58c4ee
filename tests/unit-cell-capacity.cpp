/// @file
/// Tests of workers whose capacity changes while they run: no start may bring one
/// over what it says of itself.
#include "fakes/cell_simulation.hpp"

#include <criterion/criterion.h>

#include <string> // string, to_string

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::simple_job;

namespace
{

auto resize(cell_simulation& simulation, const std::string& name,
            std::int64_t millicpus) -> void
{
    auto& worker = simulation.workers.at(worker_id(name));
    worker.entry.capacity.millicpus = millicpus;
    simulation.register_worker(worker);
}

auto runs_on(const cell_simulation& simulation, const std::string& name)
    -> std::size_t
{
    return simulation.workers.at(worker_id(name)).runs.size();
}

} // namespace

// Guards against starts on a worker that has shrunk below what runs there (rule
// LIMIT), also of tasks that take no processor.
Test(cell_capacity, a_worker_that_has_shrunk_gets_nothing_until_it_has_room)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 8'000);
    simulation.run_pass();
    simulation.jobs().accept(simple_job("j1", 6, 1'000), simulation.now);
    simulation.run_for(milliseconds(200));
    cr_assert_eq(runs_on(simulation, "w1"), 6u);
    resize(simulation, "w1", 4'000);
    simulation.jobs().accept(simple_job("j2", 8, 1'000), simulation.now);
    auto filler = simple_job("j3", 1, 1'000);
    filler.steps.front().filler = true;
    simulation.jobs().accept(filler, simulation.now);
    simulation.run_for(milliseconds(500));
    cr_assert_eq(simulation.starts.size(), 6u);
    for (std::uint32_t i = 0; i < 3; ++i)
    {
        simulation.end_run("w1", {{{job_id("j1"), 0, 0}, i}, 1},
                           cell::run_end::done);
    }
    simulation.run_for(milliseconds(500));
    cr_assert_eq(simulation.live_runs({{job_id("j3"), 0, 0}, 0}), 1u);
    cr_assert_eq(runs_on(simulation, "w1"), 5u, "four and a filler");
    resize(simulation, "w1", 8'000);
    simulation.run_for(milliseconds(500));
    cr_assert_eq(runs_on(simulation, "w1"), 9u, "eight and a filler");
}

// What is being stopped still takes room.
Test(cell_capacity, a_stopping_run_counts_on_a_worker_that_has_shrunk)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 8'000);
    simulation.run_pass();
    simulation.jobs().accept(simple_job("j1", 1, 5'000), simulation.now);
    simulation.run_for(milliseconds(200));
    simulation.workers.at(worker_id("w1")).lost_stops = 5;
    resize(simulation, "w1", 6'000);
    simulation.jobs().cancel(job_id("j1"), simulation.now);
    simulation.jobs().accept(simple_job("j2", 1, 2'000), simulation.now);
    simulation.run_for(milliseconds(300));
    cr_assert_eq(simulation.starts.size(), 1u);
    simulation.run_for(milliseconds(2'000));
    cr_assert_eq(simulation.starts.size(), 2u);
}

// Guards against a gang that starts on room which it had reserved before.
Test(cell_capacity, a_gang_gives_up_places_on_a_worker_that_has_shrunk)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 8'000);
    simulation.add_worker("w2", 8'000);
    simulation.ticket_lifetime = milliseconds(100);
    auto gang = simple_job("j1", 4, 4'000);
    gang.steps.front().gang = true;
    gang.queue.approval.required = true;
    gang.queue.approval.ticket_lifetime = milliseconds(100);
    simulation.run_pass();
    simulation.jobs().accept(gang, simulation.now);
    // Its tickets are void when they arrive, so that it only reserves.
    simulation.run_for(milliseconds(300));
    cr_assert_eq(simulation.starts.size(), 0u);
    resize(simulation, "w2", 4'000);
    simulation.ticket_lifetime = milliseconds(2'500);
    simulation.run_for(milliseconds(3'000));
    cr_assert_eq(simulation.starts.size(), 0u);
    resize(simulation, "w2", 8'000);
    simulation.run_for(milliseconds(3'000));
    cr_assert_eq(simulation.starts.size(), 4u);
}

// Guards against a later owner that takes the capacity from the roster.
Test(cell_capacity, a_later_owner_knows_the_capacity_before_its_first_start)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 8'000);
    simulation.run_for(milliseconds(100));
    const auto job = simple_job("j1", 8, 1'000);
    resize(simulation, "w1", 3'000);
    simulation.take_over({job});
    simulation.run_for(milliseconds(7'000));
    cr_assert_eq(runs_on(simulation, "w1"), 3u);
}

// Guards against starts by the capacity of an earlier life: the worker has
// restarted, smaller, and its report comes before its entry.
Test(cell_capacity, a_restarted_worker_gets_nothing_before_its_new_entry)
{
    cell_simulation simulation;
    auto& worker = simulation.add_worker("w1", 8'000);
    simulation.run_for(milliseconds(100));
    simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(300));
    worker.entry.capacity.millicpus = 2'000;
    simulation.restart_worker("w1", false);
    simulation.run_for(milliseconds(1'000));
    simulation.jobs().accept(simple_job("j2", 8, 1'000), simulation.now);
    simulation.run_for(milliseconds(3'000));
    cr_assert_leq(runs_on(simulation, "w1"), 2u, "%zu runs",
                  runs_on(simulation, "w1"));
    worker.registered = true;
    simulation.register_worker(worker);
    simulation.run_for(milliseconds(1'000));
    cr_assert_eq(runs_on(simulation, "w1"), 2u);
}

// A task that fits nowhere is not lost: a worker may grow again.
Test(cell_capacity, a_task_that_fits_nowhere_starts_when_a_worker_grows)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 8'000);
    simulation.run_pass();
    resize(simulation, "w1", 4'000);
    simulation.jobs().accept(simple_job("j1", 1, 6'000), simulation.now);
    simulation.run_for(milliseconds(4'000));
    cr_assert_eq(simulation.starts.size(), 0u);
    resize(simulation, "w1", 8'000);
    simulation.run_for(milliseconds(500));
    cr_assert_eq(simulation.starts.size(), 1u);
}
