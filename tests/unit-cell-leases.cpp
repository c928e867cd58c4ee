/// @file
/// Tests of run leases: when work of an unreachable worker may run elsewhere.
#include "fakes/cell_world.hpp"

#include <criterion/criterion.h>

using namespace pimentoshunt;
using fakes::cell_world;
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
    cell_world world;
    world.add_worker("w1", 4'000);
    world.turn();
    world.jobs().accept(simple_job("j1", 1, 1'000), world.now);
    world.pass(milliseconds(200));
    cr_assert_eq(world.running(), 1u);
    world.workers.at(worker_id("w1")).receives = false;
    world.workers.at(worker_id("w1")).runs.clear();
    world.jobs().on_worker_unregistered(worker_id("w1"));
    world.add_worker("w2", 4'000);
    world.pass(longest_wait);
    cr_assert_eq(world.alive({{job_id("j1"), 0, 0}, 0}), 1u);
    cr_assert_eq(world.workers.at(worker_id("w2")).runs.size(), 1u);
}

Test(cell_leases, no_second_run_while_the_first_may_hold_its_lease)
{
    cell_world world;
    world.add_worker("w1", 4'000);
    world.turn();
    world.jobs().accept(simple_job("j1", 1, 1'000), world.now);
    world.pass(milliseconds(200));
    // Cut off from its owner, the run continues until its lease expires.
    world.workers.at(worker_id("w1")).receives = false;
    world.add_worker("w2", 4'000);
    for (int i = 0; i < 400; ++i)
    {
        world.pass(milliseconds(20));
        cr_assert_leq(world.alive({{job_id("j1"), 0, 0}, 0}), 1u);
    }
    cr_assert_eq(world.workers.at(worker_id("w2")).runs.size(), 1u);
}

Test(cell_leases, a_worker_that_answers_keeps_its_work)
{
    cell_world world;
    world.add_worker("w1", 4'000);
    world.turn();
    world.jobs().accept(simple_job("j1", 2, 1'000), world.now);
    world.pass(milliseconds(20'000));
    cr_assert_eq(world.starts.size(), 2u);
    cr_assert_eq(world.running(), 2u);
}

Test(cell_leases, a_start_without_an_answer_is_stopped_before_another)
{
    cell_world world;
    auto& worker = world.add_worker("w1", 4'000);
    world.turn();
    worker.answers = false;
    world.jobs().accept(simple_job("j1", 1, 1'000), world.now);
    world.pass(milliseconds(100));
    cr_assert_eq(world.starts.size(), 1u);
    cr_assert_geq(world.stops.size(), 1u);
    worker.answers = true;
    world.pass(milliseconds(1'000));
    cr_assert_eq(world.alive({{job_id("j1"), 0, 0}, 0}), 1u);
    cr_assert_gt(world.starts.back().run.number,
                 world.starts.front().run.number);
}

Test(cell_leases, a_restarted_worker_has_lost_its_work)
{
    cell_world world;
    world.add_worker("w1", 4'000);
    world.turn();
    world.jobs().accept(simple_job("j1", 1, 1'000), world.now);
    world.pass(milliseconds(200));
    world.rebirth("w1");
    world.pass(milliseconds(300));
    cr_assert_eq(world.running(), 1u);
    cr_assert_eq(world.starts.size(), 2u);
}

// Guards against further starts on an unreachable worker, each lost for the
// time of a call.
Test(cell_leases, a_worker_that_lost_a_start_gets_no_more_until_it_answers)
{
    cell_world world;
    auto& worker = world.add_worker("w1", 4'000);
    world.turn();
    worker.answers = false;
    world.jobs().accept(simple_job("j1", 1, 1'000), world.now);
    world.pass(milliseconds(100));
    world.jobs().accept(simple_job("j2", 1, 1'000), world.now);
    world.pass(milliseconds(2'000));
    cr_assert_eq(world.starts.size(), 1u);
    worker.answers = true;
    world.pass(milliseconds(1'500));
    cr_assert_eq(world.running(), 2u);
}

Test(cell_leases, a_copy_runs_at_once_where_copies_are_allowed)
{
    cell_world world;
    world.add_worker("w1", 4'000);
    world.turn();
    auto job = simple_job("j1", 1, 1'000);
    job.steps[0].copies_allowed = true;
    world.jobs().accept(job, world.now);
    world.pass(milliseconds(200));
    world.workers.at(worker_id("w1")).receives = false;
    world.add_worker("w2", 4'000);
    // One waiting heartbeat, and the time after which its answer counts as
    // lost.
    world.pass(milliseconds(2'000));
    cr_assert_eq(world.workers.at(worker_id("w2")).runs.size(), 1u);
}

// Guards against a lost start that keeps its room until a waiting heartbeat has
// reached its full wait (scenario wischwerk-zh alone-orders-late, seed 3).
Test(cell_leases, a_lost_start_frees_its_room_with_the_answer_to_its_stop)
{
    cell_world world;
    auto& worker = world.add_worker("w1", 4'000);
    world.pass(milliseconds(200));
    worker.lost_starts = 1;
    worker.lost_stops = 1;
    world.jobs().accept(simple_job("j", 1, 1), world.now);
    world.pass(milliseconds(500));
    cr_assert_eq(world.running(), 1u);
}

namespace
{

/// Adds a worker with a run that an earlier owner started and whose full lease
/// has just been granted.
auto inherit_run(cell_world& world, const std::string& name,
                 const cell::run_ref& run) -> fakes::fake_cell_worker&
{
    auto& worker = world.add_worker(name, 4'000);
    worker.runs[run].listed.run = run;
    worker.highest_epoch = 1;
    worker.lease_end = worker.clock(world.now) + milliseconds(5'000);
    return worker;
}

/// Cuts the worker off until its lease has expired, and checks that the task
/// never runs twice.
auto watch_cut_off(cell_world& world, fakes::fake_cell_worker& worker,
                   const cell::task_ref& task) -> void
{
    worker.receives = false;
    world.authority.may_act = true;
    world.add_worker("w2", 4'000);
    for (int i = 0; i < 400; ++i)
    {
        world.pass(milliseconds(20));
        cr_assert_leq(world.alive(task), 1u);
    }
    cr_assert_eq(world.workers.at(worker_id("w2")).runs.size(), 1u);
}

const cell::task_ref first_task{{job_id("j1"), 0, 0}, 0};

} // namespace

// Guards against a new owner that grants a draining worker a short lease and
// forgets the longer one of the earlier owner.
Test(cell_leases, a_leaving_worker_keeps_the_lease_of_an_earlier_owner)
{
    cell_world world(2);
    auto& worker = inherit_run(world, "w1", {first_task, 1});
    worker.entry.draining = true;
    world.list(worker);
    world.jobs().restore(simple_job("j1", 1, 1'000), {}, world.now);
    world.pass(milliseconds(100));
    watch_cut_off(world, worker, first_task);
}

// Guards against a new owner that has granted no lease yet and therefore
// assumes none.
Test(cell_leases, an_owner_that_may_not_act_counts_the_lease_of_an_earlier_one)
{
    cell_world world(2);
    auto& worker = inherit_run(world, "w1", {first_task, 1});
    world.authority.may_act = false;
    world.jobs().restore(simple_job("j1", 1, 1'000), {}, world.now);
    world.pass(milliseconds(100));
    watch_cut_off(world, worker, first_task);
}

namespace
{

/// Restarts a worker while a start order is on its way to it; the order arrives
/// after the task has started elsewhere and must not start it again.
/// @param lost_stops  number of stop orders that do not reach the earlier
///                    incarnation
auto start_again_before_a_start(int lost_stops) -> void
{
    cell_world world;
    auto& worker = world.add_worker("w1", 4'000);
    // Waits until no lease of an earlier owner can be in force.
    world.pass(milliseconds(10'000));
    worker.lost_starts = 1;
    worker.lost_stops = lost_stops;
    world.jobs().accept(simple_job("j1", 1, 1'000), world.now);
    world.turn();
    world.turn();
    cr_assert_eq(world.stops.size(), 1u);
    world.rebirth("w1");
    world.add_worker("w2", 4'000);
    for (int i = 0; i < 400 && world.starts.size() < 2; ++i)
    {
        world.pass(milliseconds(20));
    }
    cr_assert_eq(world.starts.size(), 2u);
    world.arrive_late(world.starts.front());
    cr_assert_eq(world.alive({{job_id("j1"), 0, 0}, 0}), 1u);
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
    cell_world world;
    world.add_worker("w1", 1'000'000);
    world.pass(milliseconds(200));
    world.work = [](const cell::run_ref&)
    {
        return milliseconds(100);
    };
    world.store_answers = false;
    world.jobs().accept(simple_job("j1", tasks, 1'000), world.now);
    world.pass(milliseconds(10'000));
    cr_assert_eq(world.starts.size(), tasks, "%zu starts", world.starts.size());
    world.store_answers = true;
    world.pass(milliseconds(5'000));
    cr_assert_eq(world.starts.size(), tasks, "%zu starts", world.starts.size());
    cr_assert(world.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}

// The end may become durable long after it was reported; the retention begins
// when callers can see it.
Test(cell_leases, an_end_is_kept_for_callers_from_when_it_is_shown)
{
    cell_world world;
    world.add_worker("w1", 4'000);
    world.work = [](const cell::run_ref&)
    {
        return milliseconds(100);
    };
    world.pass(milliseconds(200));
    world.store_answers = false;
    world.jobs().accept(simple_job("j1", 1, 1'000), world.now);
    world.pass(milliseconds(120'000), milliseconds(50));
    world.store_answers = true;
    world.pass(milliseconds(200));
    cr_assert(world.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
    constexpr std::size_t most = 25;
    world.pass(milliseconds(119'000), milliseconds(50));
    cr_assert(world.jobs().take_expired(world.now, most).empty());
    world.pass(milliseconds(20'000), milliseconds(50));
    cr_assert_eq(world.jobs().take_expired(world.now, most).size(), 1u);
}
