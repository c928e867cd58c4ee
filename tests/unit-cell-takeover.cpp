/// @file
/// What a new owner may start before it knows what its workers run.
#include "fakes/cell_world.hpp"

#include <criterion/criterion.h>

using namespace pimentoshunt;
using fakes::cell_world;
using fakes::simple_job;

namespace
{

/// A worker whose entry has expired and that only the roster still names.
auto unregistered_worker(cell_world& world, const std::string& name)
    -> fakes::fake_cell_worker&
{
    fakes::fake_cell_worker made;
    made.entry.id = worker_id(name);
    made.entry.incarnation = cell::calendar_time(milliseconds(500));
    made.entry.service = cell::service_name("pool");
    made.entry.address = "10.0.0.9:1";
    made.entry.capacity.millicpus = 4'000;
    made.entry.capacity.memory_mb = 100'000;
    made.started = world.now - std::chrono::minutes(1);
    auto& placed = world.workers[made.entry.id] = made;
    world.jobs().restore_worker({placed.entry, false, {}}, 1, world.now);
    return placed;
}

auto no_progress(const std::string& id) -> cell::job_progress
{
    cell::job_progress out;
    out.id = job_id(id);
    return out;
}

constexpr std::uint64_t second_epoch = 2;

/// Time after which no lease of an earlier owner can be left: its limit, a
/// lease by a slow clock, and 1 s for one lost call and a step of the test.
auto time_until_leases_end() -> milliseconds
{
    const cell::scheduler_options options;
    const auto slow = 1 + options.clock_slowness;
    return options.earlier_owner_limit +
           std::chrono::ceil<milliseconds>(options.lease * slow) +
           milliseconds(1'000);
}

} // namespace

// Guards against a second run: entries had expired while the store was down,
// and the next owner ran tasks again whose ends a worker without an entry still
// listed.
Test(cell_takeover, ends_at_a_worker_without_an_entry_are_found)
{
    cell_world world(second_epoch);
    auto& hidden = unregistered_worker(world, "w1");
    hidden.ended.push_back({++hidden.last_end,
                            {{{job_id("j1"), 0, 0}, 0}, 1},
                            cell::run_end::done,
                            ""});
    world.add_worker("w2", 4'000);
    world.jobs().restore(simple_job("j1", 1, 1'000), no_progress("j1"),
                         world.now);
    world.pass(milliseconds(1'000));
    cr_assert(world.starts.empty());
    cr_assert(world.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}

// A new owner has read every job that can have run: other runs and ends
// indicate a fault and are counted.
Test(cell_takeover, runs_and_ends_of_unknown_jobs_are_counted)
{
    cell_world world(second_epoch);
    auto& worker = world.add_worker("w1", 4'000);
    const cell::run_ref run{{{job_id("j1"), 0, 0}, 0}, 7};
    worker.runs[run].listed.run = run;
    worker.lease_end = worker.clock(world.now) + milliseconds(2'000);
    worker.ended.push_back({++worker.last_end,
                            {{{job_id("j2"), 0, 0}, 0}, 1},
                            cell::run_end::done,
                            ""});
    world.pass(milliseconds(100));
    const auto counts = world.jobs().take_counts();
    cr_assert_eq(counts.unknown_runs, 1u);
    // The unknown run is stopped, which is an end as well.
    cr_assert_eq(counts.unknown_ends, 2u);
    cr_assert_geq(counts.ends_durable, 1u);
    cr_assert_eq(world.jobs().take_counts().unknown_ends, 0u);
}

// A worker lists only some of its ends at once: the end of the task may be in
// the next list.
Test(cell_takeover, nothing_inherited_runs_again_before_all_ends_are_listed)
{
    cell_world world(second_epoch);
    auto& worker = world.add_worker("w1", 4'000);
    constexpr std::uint32_t more_than_one_list = 1'100;
    for (std::uint32_t i = 0; i < more_than_one_list; ++i)
    {
        worker.ended.push_back({++worker.last_end,
                                {{{job_id("j1"), 0, 0}, i}, 1},
                                cell::run_end::done,
                                ""});
    }
    world.add_worker("w2", 4'000);
    world.jobs().restore(simple_job("j1", more_than_one_list, 1),
                         no_progress("j1"), world.now);
    world.pass(milliseconds(2'000));
    cr_assert_eq(world.starts.size(), 0u, "%zu starts", world.starts.size());
    cr_assert(world.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}

// The same for a run that is neither present nor among the listed ends.
Test(cell_takeover, a_run_that_is_not_listed_waits_for_all_ends)
{
    cell_world world;
    auto& worker = world.add_worker("w1", 4'000);
    world.add_worker("w2", 4'000);
    world.jobs().accept(simple_job("j1", 1, 3'000), world.now);
    world.pass(milliseconds(200));
    cr_assert_eq(world.starts.size(), 1u);
    const auto begun = world.starts.front();
    cr_assert_eq(begun.target.worker, worker.entry.id);
    world.store_answers = false;
    constexpr std::uint32_t one_list = 500;
    for (std::uint32_t i = 0; i < one_list; ++i)
    {
        worker.ended.push_back({++worker.last_end,
                                {{{job_id("other"), 0, 0}, i}, 1},
                                cell::run_end::stopped,
                                ""});
    }
    world.end_run("w1", begun.run, cell::run_end::done);
    world.pass(milliseconds(3'000));
    cr_assert_eq(world.starts.size(), 1u, "%zu starts", world.starts.size());
    world.store_answers = true;
    world.pass(milliseconds(1'000));
    cr_assert_eq(world.starts.size(), 1u);
    cr_assert(world.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}

Test(cell_takeover, an_unreachable_worker_blocks_only_earlier_jobs)
{
    cell_world world(second_epoch);
    unregistered_worker(world, "w1").receives = false;
    world.add_worker("w2", 4'000);
    world.jobs().restore(simple_job("j1", 1, 1'000), no_progress("j1"),
                         world.now);
    world.jobs().accept(simple_job("j2", 1, 1'000), world.now);
    world.pass(milliseconds(1'000));
    cr_assert_eq(world.starts.size(), 1u);
    cr_assert_eq(world.starts[0].run.task.step.job, job_id("j2"));
    world.pass(time_until_leases_end());
    cr_assert_eq(world.starts.size(), 2u);
}

Test(cell_takeover, a_running_task_is_adopted)
{
    cell_world world(second_epoch);
    auto& worker = world.add_worker("w1", 4'000);
    const cell::run_ref run{{{job_id("j1"), 0, 0}, 0}, 7};
    worker.runs[run].listed.run = run;
    worker.lease_end = worker.clock(world.now) + milliseconds(2'000);
    world.jobs().restore(simple_job("j1", 1, 1'000), no_progress("j1"),
                         world.now);
    world.pass(milliseconds(6'000));
    cr_assert(world.starts.empty());
    cr_assert_eq(world.running(), 1u);
    world.end_run("w1", run, cell::run_end::done);
    world.pass(milliseconds(1'500));
    cr_assert(world.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}

Test(cell_takeover, run_numbers_exceed_those_of_earlier_owners)
{
    cell_world world(second_epoch);
    world.add_worker("w1", 4'000);
    world.jobs().restore(simple_job("j1", 1, 1'000), no_progress("j1"),
                         world.now);
    world.pass(milliseconds(500));
    cr_assert_eq(world.starts.size(), 1u);
    cr_assert_gt(world.starts[0].run.number, 9'999u);
}

// Workers that had left were still in the roster, and all jobs waited for the
// end of leases that no worker held.
Test(cell_takeover, a_closed_worker_blocks_only_what_may_run_there)
{
    cell_world world(second_epoch);
    fakes::fake_cell_worker gone;
    gone.entry.id = worker_id("w1");
    gone.entry.incarnation = cell::calendar_time(milliseconds(500));
    gone.entry.service = cell::service_name("pool");
    gone.receives = false;
    world.workers[gone.entry.id] = gone;
    world.add_worker("w2", 8'000);
    world.jobs().restore(simple_job("j1", 2, 1'000), no_progress("j1"),
                         world.now);
    const cell::run_ref run{{{job_id("j1"), 0, 0}, 0}, 1};
    world.jobs().restore_worker({gone.entry, true, {run}}, 1, world.now);
    world.pass(milliseconds(500));
    cr_assert_eq(world.starts.size(), 1u);
    cr_assert_eq(world.starts[0].run.task.index, 1u);
    world.pass(time_until_leases_end());
    cr_assert_eq(world.starts.size(), 2u);
}

Test(cell_takeover, a_worker_without_runs_leaves_the_roster_with_its_entry)
{
    cell_world world;
    world.add_worker("w1", 4'000);
    world.pass(milliseconds(200));
    world.jobs().on_worker_unregistered(worker_id("w1"));
    const auto change = world.jobs().take_roster_changes(10);
    cr_assert_eq(change.removals.size(), 1u);
    cr_assert(change.writes.empty());
}

// An end that is missing from a cut list is no sign that the task has not
// ended: the rest is listed once the first ends are acknowledged.
Test(cell_takeover, a_task_whose_end_is_not_listed_yet_does_not_run_again)
{
    constexpr std::uint32_t tasks = 800;
    cell_world world(second_epoch);
    auto& worker = world.add_worker("w1", 1'000'000);
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        worker.ended.push_back({++worker.last_end,
                                {{{job_id("j1"), 0, 0}, i}, 1},
                                cell::run_end::done,
                                ""});
    }
    world.jobs().restore(simple_job("j1", tasks, 1'000), no_progress("j1"),
                         world.now);
    world.pass(milliseconds(1'000));
    cr_assert(world.starts.empty(), "%zu starts", world.starts.size());
    cr_assert(world.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}
