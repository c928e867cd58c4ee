/// @file
/// Tests of what decisions cost the owner of a large cell, by counts that do not
/// depend on the machine.
#include "fakes/cell_simulation.hpp"

#include <pimentoshunt/cell/policy/pass_pacing.hpp>

#include <criterion/criterion.h>

#include <cstddef> // size_t
#include <string>  // string, to_string

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::simple_job;

namespace
{

constexpr std::size_t worker_count = 1'100;
constexpr std::size_t waiting_jobs = 150;
constexpr std::int64_t worker_millicpus = 4'000;
constexpr std::size_t passes = 50;
/// Two looks at each worker in a pass, however many steps wait.
constexpr std::uint64_t max_looks = 2 * passes * worker_count;

auto job_with_approval(const std::string& id, std::uint32_t tasks)
    -> cell::job_spec
{
    auto job = simple_job(id, tasks, worker_millicpus);
    job.queue.approval.required = true;
    job.queue.approval.time_per_call = std::chrono::milliseconds(30);
    job.queue.approval.ticket_lifetime = milliseconds(2'500);
    return job;
}

auto add_workers(cell_simulation& simulation) -> void
{
    for (std::size_t i = 0; i < worker_count; ++i)
    {
        simulation.add_worker("w" + std::to_string(i), worker_millicpus);
    }
    simulation.run_for(milliseconds(2'000));
}

/// Adds the workers and a task on each that takes all of it.
auto fill_cell(cell_simulation& simulation) -> void
{
    add_workers(simulation);
    simulation.jobs().accept(simple_job("full", worker_count, worker_millicpus),
                             simulation.now);
    simulation.run_for(milliseconds(100));
    cr_assert_eq(simulation.running(), worker_count);
}

auto accept_waiting_jobs(cell_simulation& simulation, bool with_approval)
    -> void
{
    for (std::size_t i = 0; i < waiting_jobs; ++i)
    {
        const auto id = "waiting" + std::to_string(i);
        simulation.jobs().accept(with_approval
                                     ? job_with_approval(id, 4)
                                     : simple_job(id, 4, worker_millicpus),
                                 simulation.now);
    }
}

/// Looks at workers in the passes of a second; the events between them included.
auto looks_in_a_second(cell_simulation& simulation) -> std::uint64_t
{
    std::uint64_t out = 0;
    for (std::size_t i = 0; i < passes; ++i)
    {
        simulation.run_for(milliseconds(20));
        out += simulation.jobs().last_pass().examined_workers;
    }
    return out;
}

} // namespace

// Guards against an owner that uses up its processor as soon as work waits: each
// step that waited looked at every worker in every pass.
Test(cell_owner_cost, waiting_steps_do_not_look_at_full_workers)
{
    cell_simulation simulation;
    fill_cell(simulation);
    accept_waiting_jobs(simulation, true);
    cr_assert_lt(looks_in_a_second(simulation), max_looks);
}

Test(cell_owner_cost, steps_without_approval_do_not_look_at_full_workers)
{
    cell_simulation simulation;
    fill_cell(simulation);
    accept_waiting_jobs(simulation, false);
    cr_assert_lt(looks_in_a_second(simulation), max_looks);
}

// Each job that came, and each request for approvals, looked at every worker.
Test(cell_owner_cost, new_jobs_do_not_look_at_all_workers)
{
    cell_simulation simulation;
    add_workers(simulation);
    accept_waiting_jobs(simulation, true);
    cr_assert_lt(looks_in_a_second(simulation), max_looks);
    cr_assert_eq(simulation.starts.size(), 4 * waiting_jobs);
}

// Guards against an owner whose passes take over half of its time when they are
// long, so that answers and ends wait and the next pass is longer still.
Test(cell_owner_cost, long_passes_leave_most_of_the_time)
{
    const time_point began{std::chrono::hours(1)};
    for (int took = 1; took <= 16; ++took)
    {
        const auto next = cell::policy::next_pass_at(began, milliseconds(took));
        cr_assert_geq((next - began) / milliseconds(took), 3, "%d ms", took);
    }
    // Decisions don't wait for ever.
    cr_assert_leq(cell::policy::next_pass_at(began, std::chrono::seconds(1)) -
                      began,
                  milliseconds(50));
}
