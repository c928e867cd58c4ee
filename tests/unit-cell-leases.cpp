/// @file
/// Tests of run leases: when work of an unreachable worker may run elsewhere.
#include "fakes/cell_simulation.hpp"

#include <criterion/criterion.h>

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::simple_job;

namespace
{

/// The lease by a worker's clock that is 2% slow, the safety margin, and one
/// lost call.
constexpr milliseconds longest_wait{5'000 + 100 + 200 + 1'200};

} // namespace

// Guards against retries of unanswered heartbeats that extend the lease
// forever.
Test(cell_leases, work_of_a_worker_that_is_gone_runs_elsewhere)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000);
    simulation.run_pass();
    simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(200));
    cr_assert_eq(simulation.running(), 1u);
    simulation.workers.at(worker_id("w1")).receives_orders = false;
    simulation.workers.at(worker_id("w1")).runs.clear();
    simulation.jobs().on_worker_unregistered(worker_id("w1"), simulation.now);
    simulation.add_worker("w2", 4'000);
    simulation.run_for(longest_wait);
    cr_assert_eq(simulation.live_runs({{job_id("j1"), 0, 0}, 0}), 1u);
    cr_assert_eq(simulation.workers.at(worker_id("w2")).runs.size(), 1u);
}

Test(cell_leases, no_second_run_while_the_first_may_hold_its_lease)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000);
    simulation.run_pass();
    simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(200));
    // Cut off from its owner, the run continues until its lease expires.
    simulation.workers.at(worker_id("w1")).receives_orders = false;
    simulation.add_worker("w2", 4'000);
    for (int i = 0; i < 400; ++i)
    {
        simulation.run_for(milliseconds(20));
        cr_assert_leq(simulation.live_runs({{job_id("j1"), 0, 0}, 0}), 1u);
    }
    cr_assert_eq(simulation.workers.at(worker_id("w2")).runs.size(), 1u);
}

// Guards against a worker that gets no work for good: its runs were given up
// with its lease, and without runs it was sent no heartbeat that could show that
// it answers again.
Test(cell_leases, a_worker_that_lost_its_runs_with_its_lease_is_used_again)
{
    cell_simulation simulation;
    auto& worker = simulation.add_worker("w1", 4'000);
    simulation.run_pass();
    simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(200));
    cr_assert_eq(simulation.running(), 1u);
    worker.receives_orders = false;
    simulation.run_for(longest_wait + milliseconds(1'000));
    cr_assert_eq(simulation.running(), 0u);
    worker.receives_orders = true;
    simulation.run_for(milliseconds(3'000));
    cr_assert_eq(simulation.running(), 1u);
}

// The same after a short outage of an idle worker: the start order was not sent
// and the heartbeat beside it failed.
Test(cell_leases, an_idle_worker_that_missed_a_start_is_used_again)
{
    cell_simulation simulation;
    auto& worker = simulation.add_worker("w1", 4'000);
    simulation.run_pass();
    worker.receives_orders = false;
    simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(1'000));
    cr_assert_eq(simulation.running(), 0u);
    worker.receives_orders = true;
    simulation.run_for(milliseconds(3'000));
    cr_assert_eq(simulation.running(), 1u);
}

Test(cell_leases, a_worker_that_answers_keeps_its_work)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000);
    simulation.run_pass();
    simulation.jobs().accept(simple_job("j1", 2, 1'000), simulation.now);
    simulation.run_for(milliseconds(20'000));
    cr_assert_eq(simulation.starts.size(), 2u);
    cr_assert_eq(simulation.running(), 2u);
}

Test(cell_leases, a_start_without_an_answer_is_stopped_before_another)
{
    cell_simulation simulation;
    auto& worker = simulation.add_worker("w1", 4'000);
    simulation.run_pass();
    worker.answers_orders = false;
    simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(100));
    cr_assert_eq(simulation.starts.size(), 1u);
    cr_assert_geq(simulation.stops.size(), 1u);
    worker.answers_orders = true;
    simulation.run_for(milliseconds(1'000));
    cr_assert_eq(simulation.live_runs({{job_id("j1"), 0, 0}, 0}), 1u);
    cr_assert_gt(simulation.starts.back().run.number,
                 simulation.starts.front().run.number);
}

Test(cell_leases, a_restarted_worker_has_lost_its_work)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000);
    simulation.run_pass();
    simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(200));
    simulation.restart_worker("w1");
    simulation.run_for(milliseconds(300));
    cr_assert_eq(simulation.running(), 1u);
    cr_assert_eq(simulation.starts.size(), 2u);
}

// Guards against further starts on an unreachable worker, each lost for the
// time of a call.
Test(cell_leases, a_worker_that_lost_a_start_gets_no_more_until_it_answers)
{
    cell_simulation simulation;
    auto& worker = simulation.add_worker("w1", 4'000);
    simulation.run_pass();
    worker.answers_orders = false;
    simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(100));
    simulation.jobs().accept(simple_job("j2", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(2'000));
    cr_assert_eq(simulation.starts.size(), 1u);
    worker.answers_orders = true;
    simulation.run_for(milliseconds(1'500));
    cr_assert_eq(simulation.running(), 2u);
}

Test(cell_leases, a_copy_runs_at_once_where_copies_are_allowed)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000);
    simulation.run_pass();
    auto job = simple_job("j1", 1, 1'000);
    job.steps[0].copies_allowed = true;
    simulation.jobs().accept(job, simulation.now);
    simulation.run_for(milliseconds(200));
    simulation.workers.at(worker_id("w1")).receives_orders = false;
    simulation.add_worker("w2", 4'000);
    // One waiting heartbeat, and the time after which its answer counts as
    // lost.
    simulation.run_for(milliseconds(2'000));
    cr_assert_eq(simulation.workers.at(worker_id("w2")).runs.size(), 1u);
}

// Guards against a lost start that keeps its room until a waiting heartbeat has
// reached its full wait (scenario wischwerk-zh alone-orders-late, seed 3).
Test(cell_leases, a_lost_start_frees_its_room_with_the_answer_to_its_stop)
{
    cell_simulation simulation;
    auto& worker = simulation.add_worker("w1", 4'000);
    simulation.run_for(milliseconds(200));
    worker.lost_starts = 1;
    worker.lost_stops = 1;
    simulation.jobs().accept(simple_job("j", 1, 1), simulation.now);
    simulation.run_for(milliseconds(500));
    cr_assert_eq(simulation.running(), 1u);
}

namespace
{

/// Adds a worker with a run that an earlier owner started and whose full lease
/// has just been granted.
auto inherit_run(cell_simulation& simulation, const std::string& name,
                 const cell::run_ref& run) -> fakes::fake_cell_worker&
{
    auto& worker = simulation.add_worker(name, 4'000);
    worker.runs[run].reported.run = run;
    worker.highest_epoch = 1;
    worker.lease_end = worker.clock(simulation.now) + milliseconds(5'000);
    return worker;
}

/// Cuts the worker off until its lease has expired, and checks that the task
/// never runs twice.
auto watch_cut_off(cell_simulation& simulation, fakes::fake_cell_worker& worker,
                   const cell::task_ref& task) -> void
{
    worker.receives_orders = false;
    simulation.authority.may_act = true;
    simulation.add_worker("w2", 4'000);
    for (int i = 0; i < 400; ++i)
    {
        simulation.run_for(milliseconds(20));
        cr_assert_leq(simulation.live_runs(task), 1u);
    }
    cr_assert_eq(simulation.workers.at(worker_id("w2")).runs.size(), 1u);
}

const cell::task_ref first_task{{job_id("j1"), 0, 0}, 0};

} // namespace

// Guards against a new owner that grants a draining worker a short lease and
// forgets the longer one of the earlier owner.
Test(cell_leases, a_leaving_worker_keeps_the_lease_of_an_earlier_owner)
{
    cell_simulation simulation(2);
    auto& worker = inherit_run(simulation, "w1", {first_task, 1});
    worker.entry.draining = true;
    simulation.register_worker(worker);
    simulation.jobs().restore(simple_job("j1", 1, 1'000), {}, simulation.now);
    simulation.run_for(milliseconds(100));
    watch_cut_off(simulation, worker, first_task);
}

// Guards against a new owner that has granted no lease yet and therefore
// assumes none.
Test(cell_leases, an_owner_that_may_not_act_counts_the_lease_of_an_earlier_one)
{
    cell_simulation simulation(2);
    auto& worker = inherit_run(simulation, "w1", {first_task, 1});
    simulation.authority.may_act = false;
    simulation.jobs().restore(simple_job("j1", 1, 1'000), {}, simulation.now);
    simulation.run_for(milliseconds(100));
    watch_cut_off(simulation, worker, first_task);
}

namespace
{

/// Restarts a worker while a start order is on its way to it; the order arrives
/// after the task has started elsewhere and must not start it again.
/// @param lost_stops  number of stop orders that do not reach the earlier
///                    incarnation
auto start_again_before_a_start(int lost_stops) -> void
{
    cell_simulation simulation;
    auto& worker = simulation.add_worker("w1", 4'000);
    // Waits until no lease of an earlier owner can be in force.
    simulation.run_for(milliseconds(10'000));
    worker.lost_starts = 1;
    worker.lost_stops = lost_stops;
    simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
    simulation.run_pass();
    simulation.run_pass();
    cr_assert_eq(simulation.stops.size(), 1u);
    simulation.restart_worker("w1");
    simulation.add_worker("w2", 4'000);
    for (int i = 0; i < 400 && simulation.starts.size() < 2; ++i)
    {
        simulation.run_for(milliseconds(20));
    }
    cr_assert_eq(simulation.starts.size(), 2u);
    simulation.deliver_late_start(simulation.starts.front());
    cr_assert_eq(simulation.live_runs({{job_id("j1"), 0, 0}, 0}), 1u);
}

} // namespace

Test(cell_leases, a_start_that_reaches_a_restarted_worker_is_refused)
{
    start_again_before_a_start(1'000);
}

// The earlier incarnation has answered the stop order; the later one does not
// know of it.
Test(cell_leases, a_stop_that_was_answered_before_a_restart_is_sent_again)
{
    start_again_before_a_start(0);
}

// Guards against repeated work: during a store outage more runs ended on a
// worker than one report lists, and the unlisted ones counted as gone and ran
// again.
Test(cell_leases, a_run_whose_end_is_not_listed_yet_does_not_run_again)
{
    constexpr std::uint32_t tasks = 800;
    cell_simulation simulation;
    simulation.add_worker("w1", 1'000'000);
    simulation.run_for(milliseconds(200));
    simulation.run_time = [](const cell::run_ref&)
    {
        return milliseconds(100);
    };
    simulation.store_answers = false;
    simulation.jobs().accept(simple_job("j1", tasks, 1'000), simulation.now);
    simulation.run_for(milliseconds(10'000));
    cr_assert_eq(simulation.starts.size(), tasks, "%zu starts",
                 simulation.starts.size());
    simulation.store_answers = true;
    simulation.run_for(milliseconds(5'000));
    cr_assert_eq(simulation.starts.size(), tasks, "%zu starts",
                 simulation.starts.size());
    cr_assert(simulation.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}

// The end may become durable long after it was reported; the retention begins
// when callers can see it.
Test(cell_leases, an_end_is_kept_for_callers_from_when_it_is_shown)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000);
    simulation.run_time = [](const cell::run_ref&)
    {
        return milliseconds(100);
    };
    simulation.run_for(milliseconds(200));
    simulation.store_answers = false;
    simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(120'000), milliseconds(50));
    simulation.store_answers = true;
    simulation.run_for(milliseconds(200));
    cr_assert(simulation.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
    constexpr std::size_t most = 25;
    simulation.run_for(milliseconds(119'000), milliseconds(50));
    cr_assert(simulation.jobs().take_expired(simulation.now, most).empty());
    simulation.run_for(milliseconds(20'000), milliseconds(50));
    cr_assert_eq(simulation.jobs().take_expired(simulation.now, most).size(),
                 1u);
}

// Guards against a second run: a later owner does not wait for a worker whose
// row is closed, so that it started a task whose end was neither stored nor
// among the runs of that row (cell_soak, seed 3).
Test(cell_leases, a_row_is_not_closed_before_the_ends_of_its_worker_are_durable)
{
    cell_simulation simulation;
    auto& worker = simulation.add_worker("w1", 4'000);
    simulation.run_pass();
    simulation.jobs().accept(simple_job("j1", 2, 1'000), simulation.now);
    simulation.run_for(milliseconds(200));
    simulation.store_answers = false;
    simulation.end_run("w1", worker.runs.begin()->first, cell::run_end::done);
    simulation.run_for(milliseconds(100));
    worker.receives_orders = false;
    simulation.run_for(milliseconds(2'000));
    cr_assert(simulation.jobs().take_roster_changes(10).writes.empty());
    simulation.store_answers = true;
    simulation.run_for(milliseconds(100));
    cr_assert(simulation.jobs().workers().at(worker_id("w1")).closed);
}

// Guards against an end that is dropped with the answer to an outdated heartbeat:
// the worker listed it, left, and the task ran again (rule TWICE).
Test(cell_leases, an_answer_to_an_outdated_heartbeat_still_brings_its_ends)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000);
    simulation.add_worker("w2", 4'000);
    simulation.run_pass();
    simulation.jobs().accept(simple_job("j1", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(200));
    const auto order = simulation.starts.front();
    const auto& worker = simulation.workers.at(order.target.worker);
    cell::heartbeat_order outdated;
    outdated.target = order.target;
    outdated.number = 0;
    cell::heartbeat_answer answer;
    answer.report.emplace();
    answer.report->incarnation = worker.entry.incarnation;
    answer.report->clock = worker.clock(simulation.now);
    answer.report->ended.push_back({1, order.run, cell::run_end::done, ""});
    simulation.jobs().on_heartbeat_answered(outdated, answer, simulation.now);
    simulation.workers.erase(order.target.worker);
    simulation.run_for(longest_wait);
    cr_assert_eq(simulation.starts.size(), 1u);
    cr_assert_eq(simulation.jobs().state_of(job_id("j1")),
                 cell::job_state::succeeded);
}
