/// @file
/// What a new owner may start before it knows what its workers run.
#include "fakes/cell_simulation.hpp"

#include <criterion/criterion.h>

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::simple_job;

namespace
{

/// A worker whose entry has expired and that only the roster still names.
auto unregistered_worker(cell_simulation& simulation, const std::string& name)
    -> fakes::fake_cell_worker&
{
    fakes::fake_cell_worker made;
    made.entry.id = worker_id(name);
    made.entry.incarnation = cell::calendar_time(milliseconds(500));
    made.entry.service = cell::service_name("pool");
    made.entry.address = "10.0.0.9:1";
    made.entry.capacity.millicpus = 4'000;
    made.entry.capacity.memory_mb = 100'000;
    made.started = simulation.now - std::chrono::minutes(1);
    auto& placed = simulation.workers[made.entry.id] = made;
    simulation.jobs().restore_worker({placed.entry, false, {}}, 1,
                                     simulation.now);
    return placed;
}

/// A worker that gets no orders and that the scheduler does not know.
auto silent_worker(cell_simulation& simulation, const std::string& name)
    -> fakes::fake_cell_worker&
{
    fakes::fake_cell_worker made;
    made.entry.id = worker_id(name);
    made.entry.incarnation = cell::calendar_time(milliseconds(500));
    made.entry.service = cell::service_name("pool");
    made.receives_orders = false;
    return simulation.workers[made.entry.id] = made;
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
    cell_simulation simulation(second_epoch);
    auto& hidden = unregistered_worker(simulation, "w1");
    hidden.ended.push_back({++hidden.last_end_number,
                            {{{job_id("j1"), 0, 0}, 0}, 1},
                            cell::run_end::done,
                            ""});
    simulation.add_worker("w2", 4'000);
    simulation.jobs().restore(simple_job("j1", 1, 1'000), no_progress("j1"),
                              simulation.now);
    simulation.run_for(milliseconds(1'000));
    cr_assert(simulation.starts.empty());
    cr_assert(simulation.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}

// A new owner has read every job that can have run: other runs and ends
// indicate a fault and are counted.
Test(cell_takeover, runs_and_ends_of_unknown_jobs_are_counted)
{
    cell_simulation simulation(second_epoch);
    auto& worker = simulation.add_worker("w1", 4'000);
    const cell::run_ref run{{{job_id("j1"), 0, 0}, 0}, 7};
    worker.runs[run].reported.run = run;
    worker.lease_end = worker.clock(simulation.now) + milliseconds(2'000);
    worker.ended.push_back({++worker.last_end_number,
                            {{{job_id("j2"), 0, 0}, 0}, 1},
                            cell::run_end::done,
                            ""});
    simulation.run_for(milliseconds(100));
    const auto counts = simulation.jobs().take_counts();
    cr_assert_eq(counts.unknown_runs, 1u);
    // The unknown run is stopped, which is an end as well.
    cr_assert_eq(counts.unknown_ends, 2u);
    cr_assert_geq(counts.ends_durable, 1u);
    cr_assert_eq(simulation.jobs().take_counts().unknown_ends, 0u);
}

// A worker lists only some of its ends at once: the end of the task may be in
// the next list.
Test(cell_takeover, nothing_inherited_runs_again_before_all_ends_are_listed)
{
    cell_simulation simulation(second_epoch);
    auto& worker = simulation.add_worker("w1", 4'000);
    simulation.jobs().restore_worker({worker.entry, false, {}}, 1,
                                     simulation.now);
    constexpr std::uint32_t more_than_one_list = 1'100;
    for (std::uint32_t i = 0; i < more_than_one_list; ++i)
    {
        worker.ended.push_back({++worker.last_end_number,
                                {{{job_id("j1"), 0, 0}, i}, 1},
                                cell::run_end::done,
                                ""});
    }
    simulation.add_worker("w2", 4'000);
    simulation.jobs().restore(simple_job("j1", more_than_one_list, 1),
                              no_progress("j1"), simulation.now);
    simulation.run_for(milliseconds(2'000));
    cr_assert_eq(simulation.starts.size(), 0u, "%zu starts",
                 simulation.starts.size());
    cr_assert(simulation.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}

// The same for a run that is neither present nor among the listed ends.
Test(cell_takeover, a_run_that_is_not_listed_waits_for_all_ends)
{
    cell_simulation simulation;
    auto& worker = simulation.add_worker("w1", 4'000);
    simulation.add_worker("w2", 4'000);
    simulation.jobs().accept(simple_job("j1", 1, 3'000), simulation.now);
    simulation.run_for(milliseconds(200));
    cr_assert_eq(simulation.starts.size(), 1u);
    const auto begun = simulation.starts.front();
    cr_assert_eq(begun.target.worker, worker.entry.id);
    simulation.store_answers = false;
    constexpr std::uint32_t one_list = 500;
    for (std::uint32_t i = 0; i < one_list; ++i)
    {
        worker.ended.push_back({++worker.last_end_number,
                                {{{job_id("other"), 0, 0}, i}, 1},
                                cell::run_end::stopped,
                                ""});
    }
    simulation.end_run("w1", begun.run, cell::run_end::done);
    simulation.run_for(milliseconds(3'000));
    cr_assert_eq(simulation.starts.size(), 1u, "%zu starts",
                 simulation.starts.size());
    simulation.store_answers = true;
    simulation.run_for(milliseconds(1'000));
    cr_assert_eq(simulation.starts.size(), 1u);
    cr_assert(simulation.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}

Test(cell_takeover, an_unreachable_worker_blocks_only_earlier_jobs)
{
    cell_simulation simulation(second_epoch);
    unregistered_worker(simulation, "w1").receives_orders = false;
    simulation.add_worker("w2", 4'000);
    simulation.jobs().restore(simple_job("j1", 1, 1'000), no_progress("j1"),
                              simulation.now);
    simulation.jobs().accept(simple_job("j2", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(1'000));
    cr_assert_eq(simulation.starts.size(), 1u);
    cr_assert_eq(simulation.starts[0].run.task.step.job, job_id("j2"));
    simulation.run_for(time_until_leases_end());
    cr_assert_eq(simulation.starts.size(), 2u);
}

Test(cell_takeover, a_running_task_is_adopted)
{
    cell_simulation simulation(second_epoch);
    auto& worker = simulation.add_worker("w1", 4'000);
    const cell::run_ref run{{{job_id("j1"), 0, 0}, 0}, 7};
    worker.runs[run].reported.run = run;
    worker.lease_end = worker.clock(simulation.now) + milliseconds(2'000);
    simulation.jobs().restore(simple_job("j1", 1, 1'000), no_progress("j1"),
                              simulation.now);
    simulation.run_for(milliseconds(6'000));
    cr_assert(simulation.starts.empty());
    cr_assert_eq(simulation.running(), 1u);
    simulation.end_run("w1", run, cell::run_end::done);
    simulation.run_for(milliseconds(1'500));
    cr_assert(simulation.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}

Test(cell_takeover, run_numbers_exceed_those_of_earlier_owners)
{
    cell_simulation simulation(second_epoch);
    simulation.add_worker("w1", 4'000);
    simulation.jobs().restore(simple_job("j1", 1, 1'000), no_progress("j1"),
                              simulation.now);
    simulation.run_for(milliseconds(500));
    cr_assert_eq(simulation.starts.size(), 1u);
    cr_assert_gt(simulation.starts[0].run.number, 9'999u);
}

// Workers that had left were still in the roster, and all jobs waited for the
// end of leases that no worker held.
Test(cell_takeover, a_closed_worker_blocks_only_what_may_run_there)
{
    cell_simulation simulation(second_epoch);
    auto& gone = silent_worker(simulation, "w1");
    simulation.add_worker("w2", 8'000);
    simulation.jobs().restore(simple_job("j1", 2, 1'000), no_progress("j1"),
                              simulation.now);
    const cell::run_ref run{{{job_id("j1"), 0, 0}, 0}, 1};
    simulation.jobs().restore_worker({gone.entry, true, {{run, true}}}, 1,
                                     simulation.now);
    simulation.run_for(milliseconds(500));
    cr_assert_eq(simulation.starts.size(), 1u);
    cr_assert_eq(simulation.starts[0].run.task.index, 1u);
    simulation.run_for(time_until_leases_end());
    cr_assert_eq(simulation.starts.size(), 2u);
}

Test(cell_takeover, a_worker_without_runs_leaves_the_roster_with_its_entry)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000);
    simulation.run_for(milliseconds(200));
    simulation.jobs().on_worker_unregistered(worker_id("w1"), simulation.now);
    const auto change = simulation.jobs().take_roster_changes(10);
    cr_assert_eq(change.removals.size(), 1u);
    cr_assert(change.writes.empty());
}

// An end that is missing from a cut list is no sign that the task has not
// ended: the rest is listed once the first ends are acknowledged.
Test(cell_takeover, a_task_whose_end_is_not_listed_yet_does_not_run_again)
{
    constexpr std::uint32_t tasks = 800;
    cell_simulation simulation(second_epoch);
    auto& worker = simulation.add_worker("w1", 1'000'000);
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        worker.ended.push_back({++worker.last_end_number,
                                {{{job_id("j1"), 0, 0}, i}, 1},
                                cell::run_end::done,
                                ""});
    }
    simulation.jobs().restore(simple_job("j1", tasks, 1'000), no_progress("j1"),
                              simulation.now);
    simulation.run_for(milliseconds(1'000));
    cr_assert(simulation.starts.empty(), "%zu starts",
              simulation.starts.size());
    cr_assert(simulation.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}

// A worker that died while no instance owned the cell kept its row in the
// roster for good, and each later owner waited for the end of its leases.
Test(cell_takeover, a_worker_that_never_returns_leaves_the_roster)
{
    cell_simulation simulation(second_epoch);
    unregistered_worker(simulation, "w1").receives_orders = false;
    simulation.store_answers = false;
    simulation.run_for(milliseconds(1'000));
    cr_assert(simulation.jobs().take_roster_changes(10).removals.empty(),
              "a later owner has to ask it while its leases may last");
    simulation.run_for(time_until_leases_end());
    const auto change = simulation.jobs().take_roster_changes(10);
    cr_assert_eq(change.removals.size(), 1u);
    cr_assert_eq(change.removals[0].worker, worker_id("w1"));
}

// The same for a worker that is registered but does not answer: its row stays
// open, since it may be given work once it answers, and shows its silence.
Test(cell_takeover, a_registered_worker_that_does_not_answer_keeps_its_row)
{
    cell_simulation simulation(second_epoch);
    auto& silent = unregistered_worker(simulation, "w1");
    silent.receives_orders = false;
    simulation.jobs().on_worker_registered(silent.entry, simulation.now);
    simulation.store_answers = false;
    simulation.run_for(time_until_leases_end() + milliseconds(1'000));
    const auto change = simulation.jobs().take_roster_changes(10);
    cr_assert(change.removals.empty());
    cr_assert_eq(change.writes.size(), 1u);
    const auto& row = change.writes.front().worker;
    cr_assert_eq(row.entry.id, worker_id("w1"));
    cr_assert(!row.closed && row.runs.empty());
    const cell::scheduler_options options;
    const auto passed = time_until_leases_end() + milliseconds(1'000);
    cr_assert(row.shows_silence());
    cr_assert_leq(row.no_orders_for.count(),
                  (passed - options.earlier_owner_limit).count());
    cr_assert_geq(row.no_orders_for.count(), options.lease.count());
}

// Guards against a job whose objective begins again at each takeover: one
// accepted at 4.9 s was due 32 s too late after the loss of all instances, and
// later jobs of its queue came first (scenario nokf-trykk-grown trouble-1).
Test(cell_takeover, an_inherited_job_keeps_the_time_of_its_acceptance)
{
    cell_simulation simulation(second_epoch);
    simulation.add_worker("w1", 1'000);
    simulation.run_for(milliseconds(200));
    auto later = simple_job("later", 1, 1'000);
    later.accepted_at = simulation.calendar() - std::chrono::seconds(1);
    auto earlier = simple_job("earlier", 1, 1'000);
    earlier.accepted_at = simulation.calendar() - std::chrono::seconds(30);
    simulation.jobs().restore(later, no_progress("later"), simulation.now);
    simulation.jobs().restore(earlier, no_progress("earlier"), simulation.now);
    simulation.run_for(milliseconds(200));
    cr_assert_eq(simulation.starts.size(), 1u);
    cr_assert_eq(simulation.starts[0].run.task.step.job, job_id("earlier"));
}

// The wall clock of the accepting instance may be ahead of the owner's.
Test(cell_takeover, a_job_from_a_clock_that_is_ahead_counts_from_the_takeover)
{
    cell_simulation simulation(second_epoch);
    simulation.add_worker("w1", 1'000);
    simulation.run_for(milliseconds(200));
    auto ahead = simple_job("ahead", 1, 1'000);
    ahead.accepted_at = simulation.calendar() + std::chrono::seconds(30);
    simulation.jobs().restore(ahead, no_progress("ahead"), simulation.now);
    // Due a second later, unless the wrong clock counts.
    auto longer = simple_job("longer", 1, 1'000);
    longer.queue.allowance += std::chrono::seconds(1);
    simulation.jobs().restore(longer, no_progress("longer"), simulation.now);
    simulation.run_for(milliseconds(200));
    cr_assert_eq(simulation.starts.size(), 1u);
    cr_assert_eq(simulation.starts[0].run.task.step.job, job_id("ahead"));
}

// Guards against inherited jobs that come last after an outage, since their
// objective has passed three times meanwhile.
Test(cell_takeover, an_outage_makes_no_inherited_job_worthless)
{
    cell_simulation simulation(second_epoch);
    simulation.add_worker("w1", 1'000);
    simulation.run_for(milliseconds(200));
    auto younger = simple_job("younger", 1, 1'000);
    younger.steps.front().estimate = milliseconds(1'000);
    // There is time for both: otherwise the one that can be in time comes first.
    younger.queue.allowance += std::chrono::seconds(10);
    simulation.jobs().accept(younger, simulation.now);
    auto inherited = simple_job("inherited", 1, 1'000);
    inherited.steps.front().estimate = milliseconds(1'000);
    inherited.accepted_at = simulation.calendar() - std::chrono::seconds(30);
    simulation.jobs().restore(inherited, no_progress("inherited"),
                              simulation.now);
    simulation.run_for(milliseconds(200));
    cr_assert_eq(simulation.starts.size(), 1u);
    cr_assert_eq(simulation.starts[0].run.task.step.job, job_id("inherited"));
}

// A takeover that takes longer than all leases leaves no time for a heartbeat.
Test(cell_takeover, a_row_leaves_the_roster_though_the_takeover_took_long)
{
    cell_simulation simulation(second_epoch);
    simulation.store_answers = false;
    simulation.now += time_until_leases_end();
    unregistered_worker(simulation, "w1").receives_orders = false;
    simulation.run_for(milliseconds(1'000));
    cr_assert_eq(simulation.jobs().take_roster_changes(10).removals.size(), 1u);
}

// Guards against a copy that waits for the lease of a worker which an earlier owner
// found silent.
Test(cell_takeover, a_task_that_may_run_twice_is_copied_by_a_later_owner)
{
    cell_simulation simulation(second_epoch);
    auto& gone = silent_worker(simulation, "w1");
    simulation.add_worker("w2", 8'000);
    auto job = simple_job("j1", 1, 1'000);
    job.steps.front().copies_allowed = true;
    simulation.jobs().restore(job, no_progress("j1"), simulation.now);
    const cell::run_ref run{{{job_id("j1"), 0, 0}, 0}, 1};
    simulation.jobs().restore_worker({gone.entry, true, {{run, true}}}, 1,
                                     simulation.now);
    simulation.run_for(milliseconds(2'000));
    cr_assert_eq(simulation.starts.size(), 1u);
}
