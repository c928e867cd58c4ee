/// @file
/// Leases on workers whose clock was last read long ago: an owner and its
/// successor have to reckon with the same bound.
#include "fakes/cell_simulation.hpp"

#include <criterion/criterion.h>

#include <algorithm> // max
#include <string>    // string, to_string
#include <utility>   // move
#include <vector>    // vector

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::simple_job;

namespace
{

const cell::task_ref first_task{{job_id("j1"), 0, 0}, 0};
constexpr milliseconds idle_step{500};
/// A pass that asks the worker for a reading, and one that sends the start.
constexpr milliseconds two_passes{40};

/// Time without a call, up to an hour, and the speed of the workers' clocks.
struct idle_case
{
    milliseconds idle;
    double clock_rate;
};

auto idle_cases() -> std::vector<idle_case>
{
    std::vector<idle_case> out;
    for (const auto idle : {1, 20, 30, 75, 150, 240, 250, 280, 1'000, 3'600})
    {
        for (const auto rate : {0.98, 0.985, 0.99, 1.0})
        {
            out.push_back({std::chrono::seconds(idle), rate});
        }
    }
    return out;
}

auto describe(const idle_case& item) -> std::string
{
    return std::to_string(item.idle.count()) + " ms, rate " +
           std::to_string(item.clock_rate);
}

/// Workers that have reported and then been idle.
auto make_idle(cell_simulation& simulation, const idle_case& item,
               std::size_t workers) -> void
{
    for (std::size_t i = 1; i <= workers; ++i)
    {
        simulation.add_worker("w" + std::to_string(i), 1'000).clock_rate =
            item.clock_rate;
    }
    simulation.run_for(milliseconds(1'000));
    simulation.run_for(item.idle, idle_step);
}

auto accept_job(cell_simulation& simulation, std::uint32_t tasks = 1)
    -> cell::job_spec
{
    auto job = simple_job("j1", tasks, 1'000);
    simulation.jobs().accept(job, simulation.now);
    return job;
}

/// The worker that has a run.
auto busy_worker(cell_simulation& simulation) -> fakes::fake_cell_worker*
{
    for (auto& [id, worker] : simulation.workers)
    {
        if (!worker.runs.empty())
        {
            return &worker;
        }
    }
    return nullptr;
}

/// Starts a task on an idle worker, cuts the worker off and lets the next owner
/// take over. @return the longest number of runs of the task at one time
auto runs_after_takeover(const idle_case& item, milliseconds cut_after,
                         bool earlier_owner_ended) -> std::size_t
{
    cell::scheduler_options options;
    options.earlier_owner_ended = earlier_owner_ended;
    cell_simulation simulation(1, options);
    make_idle(simulation, item, 2);
    const auto job = accept_job(simulation);
    simulation.run_for(cut_after);
    auto* const cut_off = busy_worker(simulation);
    cr_assert(cut_off != nullptr, "%s", describe(item).c_str());
    cut_off->receives_orders = false;
    simulation.take_over({job});
    std::size_t most = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        simulation.run_for(milliseconds(20));
        most = std::max(most, simulation.live_runs(first_task));
    }
    cr_assert_eq(simulation.starts.size(), 2u, "%s: %zu starts",
                 describe(item).c_str(), simulation.starts.size());
    return most;
}

} // namespace

// Guards against a lease that outlasts the wait of the next owner by the error of
// an old reading of the worker's clock, on which the task then ran twice.
Test(cell_idle_leases, a_lease_on_an_idle_worker_ends_before_its_successor_runs)
{
    for (const auto& item : idle_cases())
    {
        cr_assert_eq(runs_after_takeover(item, milliseconds(200), true), 1u,
                     "%s, owner stopped", describe(item).c_str());
        cr_assert_eq(runs_after_takeover(item, two_passes, false), 1u,
                     "%s, owner killed", describe(item).c_str());
    }
}

// The same without a takeover: the owner that has given the lease waits for it.
Test(cell_idle_leases, the_owner_itself_waits_for_a_lease_on_an_idle_worker)
{
    for (const auto& item : idle_cases())
    {
        cell_simulation simulation;
        make_idle(simulation, item, 2);
        accept_job(simulation);
        simulation.run_for(two_passes);
        auto* const cut_off = busy_worker(simulation);
        cr_assert(cut_off != nullptr, "%s", describe(item).c_str());
        cut_off->receives_orders = false;
        for (int i = 0; i < 500; ++i)
        {
            simulation.run_for(milliseconds(20));
            cr_assert_leq(simulation.live_runs(first_task), 1u, "%s",
                          describe(item).c_str());
        }
        cr_assert_eq(simulation.live_runs(first_task), 1u, "%s",
                     describe(item).c_str());
    }
}

// No worker may hold a lease longer than the one that a successor reckons with,
// by its own clock at the time of the order.
Test(cell_idle_leases,
     no_order_asks_for_a_longer_lease_than_a_successor_assumes)
{
    for (const auto& item : idle_cases())
    {
        cell_simulation simulation;
        make_idle(simulation, item, 1);
        accept_job(simulation);
        const auto& worker = simulation.workers.at(worker_id("w1"));
        for (int i = 0; i < 50; ++i)
        {
            simulation.run_for(milliseconds(20));
            cr_assert_leq(
                (worker.lease_end - worker.clock(simulation.now)).count(),
                cell::scheduler_options().lease.count(), "%s",
                describe(item).c_str());
        }
    }
}

// Guards against leases that are too short instead: on a calm cell each task
// starts once, at once, and runs to its end.
Test(cell_idle_leases, work_on_an_idle_cell_starts_at_once_and_does_not_lapse)
{
    for (const auto& item : idle_cases())
    {
        cell_simulation simulation;
        simulation.run_time = [](const cell::run_ref&)
        {
            return milliseconds(20'000);
        };
        make_idle(simulation, item, 4);
        accept_job(simulation, 3);
        simulation.run_for(two_passes);
        cr_assert_eq(simulation.running(), 3u, "%s", describe(item).c_str());
        simulation.run_for(milliseconds(20'500));
        cr_assert_eq(simulation.starts.size(), 3u, "%s: %zu starts",
                     describe(item).c_str(), simulation.starts.size());
        cr_assert_eq(simulation.late_starts, 0u, "%s", describe(item).c_str());
        cr_assert(simulation.jobs().state_of(job_id("j1")) ==
                  cell::job_state::succeeded);
    }
}

namespace
{

/// A worker that has been idle for five minutes and no longer answers.
auto lose_idle_worker(cell_simulation& simulation) -> fakes::fake_cell_worker&
{
    make_idle(simulation, {std::chrono::minutes(5), 1.0}, 1);
    auto& worker = simulation.workers.at(worker_id("w1"));
    worker.receives_orders = false;
    return worker;
}

} // namespace

// A start that waits for a reading has not been sent, so that its task need not
// wait for a lease when the worker doesn't answer.
Test(cell_idle_leases, a_start_whose_worker_does_not_answer_goes_elsewhere)
{
    cell_simulation simulation;
    lose_idle_worker(simulation);
    accept_job(simulation);
    simulation.run_for(milliseconds(100));
    cr_assert(simulation.starts.empty());
    simulation.add_worker("w2", 1'000);
    simulation.run_for(milliseconds(1'000));
    cr_assert_eq(simulation.workers.at(worker_id("w2")).runs.size(), 1u);
    cr_assert_eq(simulation.starts.size(), 1u);
}

// The worker was not silent under a run of the task, which is no suspect.
Test(cell_idle_leases, a_start_that_was_not_sent_makes_no_suspect)
{
    cell_simulation simulation;
    lose_idle_worker(simulation);
    accept_job(simulation);
    simulation.run_pass();
    simulation.crash_worker(worker_id("w1"));
    simulation.run_for(milliseconds(10'000));
    cr_assert_eq(simulation.running(), 1u);
    cr_assert_eq(simulation.jobs().take_counts().crashes, 0u);
}

Test(cell_idle_leases, a_job_cancelled_before_its_start_is_sent_never_starts)
{
    cell_simulation simulation;
    auto& worker = lose_idle_worker(simulation);
    accept_job(simulation);
    simulation.run_for(milliseconds(100));
    simulation.jobs().cancel(job_id("j1"), simulation.now);
    worker.receives_orders = true;
    simulation.run_for(milliseconds(3'000));
    cr_assert(simulation.starts.empty());
    cr_assert(simulation.jobs().workers().at(worker_id("w1")).runs.empty());
}

// An owner whose permission runs out while a start waits for a reading must not
// send it.
Test(cell_idle_leases, a_waiting_start_is_not_sent_without_permission)
{
    cell_simulation simulation;
    make_idle(simulation, {std::chrono::minutes(5), 1.0}, 1);
    simulation.workers.at(worker_id("w1")).answer_delay = milliseconds(40);
    accept_job(simulation);
    simulation.run_pass();
    simulation.authority.may_act = false;
    simulation.run_for(milliseconds(1'000));
    cr_assert(simulation.starts.empty());
    simulation.authority.may_act = true;
    simulation.run_for(milliseconds(1'000));
    cr_assert_eq(simulation.running(), 1u);
}

// A gang starts whole or not at all, also when one of its workers is lost.
Test(cell_idle_leases, a_gang_starts_whole_on_workers_that_were_idle)
{
    cell_simulation simulation;
    make_idle(simulation, {std::chrono::minutes(5), 1.0}, 3);
    simulation.workers.at(worker_id("w1")).receives_orders = false;
    auto job = simple_job("j1", 2, 1'000);
    job.steps[0].gang = true;
    simulation.jobs().accept(job, simulation.now);
    simulation.run_for(milliseconds(3'000));
    cr_assert_eq(simulation.running(), 2u);
    cr_assert(simulation.workers.at(worker_id("w1")).runs.empty());
}

// The ticket that a start was placed with may expire while it waits.
Test(cell_idle_leases, a_waiting_start_is_not_sent_with_an_expired_ticket)
{
    cell_simulation simulation;
    make_idle(simulation, {std::chrono::minutes(5), 1.0}, 1);
    simulation.workers.at(worker_id("w1")).answer_delay = milliseconds(3'000);
    auto job = simple_job("j1", 1, 1'000);
    job.queue.approval.required = true;
    job.queue.approval.time_per_call = milliseconds(30);
    job.queue.approval.ticket_lifetime = simulation.ticket_lifetime;
    simulation.jobs().accept(job, simulation.now);
    simulation.run_for(milliseconds(4'000));
    cr_assert_eq(simulation.approval_requests.size(), 2u, "%zu requests",
                 simulation.approval_requests.size());
    cr_assert_eq(simulation.starts.size(), 1u);
    cr_assert_eq(simulation.running(), 1u);
}

// Guards against calls to idle workers, which would cost each owner in proportion
// to its workers.
Test(cell_idle_leases, an_idle_worker_is_not_called)
{
    cell_simulation simulation;
    make_idle(simulation, {std::chrono::hours(1), 1.0}, 3);
    const auto& worker = simulation.jobs().workers().at(worker_id("w1"));
    cr_assert_geq(simulation.now - worker.answered_at,
                  boot_clock::duration(std::chrono::minutes(59)));
}
