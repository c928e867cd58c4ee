/// @file
/// Tests of copies of stragglers in the scheduler.
#include "fakes/cell_simulation.hpp"

#include <criterion/criterion.h>

#include <optional> // optional
#include <string>   // string, to_string

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::simple_job;

namespace
{

constexpr milliseconds straggler_time{20'000};

/// Ten workers, and steps of which task 0 takes far longer than the others on
/// its first run.
struct straggling_cell
{
    cell_simulation simulation;

    explicit straggling_cell(std::int64_t millicpus = 16'000)
    {
        for (int i = 0; i < 10; ++i)
        {
            simulation.add_worker("w" + std::to_string(i), millicpus,
                                  i < 5 ? "r1-1" : "r1-2");
        }
        simulation.run_time =
            [](const cell::run_ref& run) -> std::optional<milliseconds>
        {
            return run.task.index == 0 && run.number == 1 ? straggler_time
                                                          : milliseconds(500);
        };
        simulation.run_pass();
    }

    auto accept(const std::string& id, bool copies, bool approval = false,
                const std::string& owner = "") -> void
    {
        auto job = simple_job(id, 6, 1'000);
        job.steps[0].copies_allowed = copies;
        job.queue.approval.required = approval;
        job.workspace = workspace_name(owner);
        simulation.jobs().accept(job, simulation.now);
    }

    auto state(const std::string& id) -> cell::job_state
    {
        return *simulation.jobs().state_of(job_id(id));
    }
};

} // namespace

// Load: one task of a step takes many times as long, in a cell with room. Guards
// against a job that waits for it, and a first run that goes on afterwards.
Test(cell_copies, the_first_end_counts_and_the_other_run_is_stopped)
{
    straggling_cell cell;
    cell.accept("j1", true);
    cell.simulation.run_for(milliseconds(900));
    cr_assert_eq(cell.simulation.starts.size(), 6u);
    cell.simulation.run_for(milliseconds(1'500));
    cr_assert_eq(cell.simulation.starts.size(), 7u);
    const auto& original = cell.simulation.starts.front();
    const auto& copy = cell.simulation.starts.back();
    cr_assert_eq(copy.run.task.index, 0u);
    cr_assert(copy.target.worker != original.target.worker);
    const auto rack = [&](const cell::start_order& order)
    {
        return cell.simulation.workers.at(order.target.worker).entry.rack;
    };
    cr_assert(rack(copy) != rack(original));
    cr_assert(cell.state("j1") == cell::job_state::succeeded);
    cr_assert_eq(cell.simulation.running(), 0u);
    const auto counts = cell.simulation.jobs().take_counts();
    cr_assert_eq(counts.copies, 1u);
    cr_assert_eq(counts.copies_first, 1u);
}

// Load: the same, with a step that must not run twice and a worker that falls
// silent. Guards against two runs of one task where that does harm.
Test(cell_copies, none_is_made_where_copies_are_not_allowed)
{
    straggling_cell cell;
    cell.accept("j1", false);
    cell.simulation.run_for(milliseconds(2'000));
    cr_assert_eq(cell.simulation.starts.size(), 6u);
    const auto worker = cell.simulation.starts.front().target.worker;
    cell.simulation.workers.at(worker).answers_orders = false;
    cell.simulation.run_for(milliseconds(3'000));
    cr_assert_eq(cell.simulation.starts.size(), 6u);
}

// Load: copies that fail or last as long. Guards against more than one copy of a
// task, and against failures that aren't counted.
Test(cell_copies, a_task_gets_one_copy_and_its_failure_counts)
{
    straggling_cell cell;
    cell.simulation.run_time =
        [](const cell::run_ref& run) -> std::optional<milliseconds>
    {
        return run.task.index == 0 ? straggler_time : milliseconds(500);
    };
    cell.accept("j1", true);
    cell.simulation.run_for(milliseconds(2'000));
    cr_assert_eq(cell.simulation.starts.size(), 7u);
    const auto copy = cell.simulation.starts.back();
    cell.simulation.end_run(copy.target.worker.str(), copy.run,
                            cell::run_end::failed);
    cell.simulation.run_for(milliseconds(2'000));
    cr_assert_eq(cell.simulation.starts.size(), 7u);
    const auto& progress = cell.simulation.stored_progress.at(job_id("j1"));
    cr_assert_eq(progress.rounds[0].failures.size(), 1u);
}

// Load: a service of which most processors are in use. Guards against copies that
// take room from work that is to come.
Test(cell_copies, none_is_made_in_a_service_that_is_nearly_full)
{
    straggling_cell cell(8'000);
    auto other = simple_job("other", 64, 1'000);
    other.queue.priority = 1;
    other.steps[0].after = {};
    cell.accept("j1", true);
    cell.simulation.run_for(milliseconds(700));
    cell.simulation.run_time =
        [](const cell::run_ref&) -> std::optional<milliseconds>
    {
        return straggler_time;
    };
    cell.simulation.jobs().accept(other, cell.simulation.now);
    cell.simulation.run_for(milliseconds(3'000));
    cr_assert_eq(cell.simulation.starts.size(), 70u);
    cr_assert_eq(cell.simulation.jobs().take_counts().copies, 0u);
}

// Load: stragglers on the fastest workers. Guards against copies on slower workers,
// which would end later still.
Test(cell_copies, the_worker_of_a_copy_is_as_fast)
{
    straggling_cell cell;
    cell.simulation.add_worker("x", 16'000, "r1-3", "b");
    cell.simulation.jobs().restore_speeds({{}, {{"a", 0.5}, {"b", 2.0}}});
    cell.simulation.run_for(milliseconds(600));
    auto job = simple_job("j1", 6, 1'000);
    job.steps[0].copies_allowed = true;
    job.steps[0].estimate = milliseconds(500);
    job.queue.stretch = 1.0;
    job.queue.allowance = milliseconds(0);
    cell.simulation.jobs().accept(job, cell.simulation.now);
    cell.simulation.run_for(milliseconds(2'500));
    cr_assert_eq(cell.simulation.starts.front().target.worker, worker_id("x"));
    cr_assert_eq(cell.simulation.starts.size(), 6u);
}

// Load: a queue with approvals whose tickets have expired. Guards against a copy
// without a ticket.
Test(cell_copies, a_copy_has_a_ticket_where_the_queue_needs_one)
{
    straggling_cell cell;
    cell.simulation.ticket_lifetime = milliseconds(300);
    cell.accept("j1", true, true);
    cell.simulation.run_for(milliseconds(2'500));
    cr_assert_eq(cell.simulation.starts.size(), 7u);
    cr_assert_eq(cell.simulation.starts.back().ticket, "ticket");
    cr_assert_geq(cell.simulation.approval_requests.size(), 2u);
    cr_assert(cell.state("j1") == cell::job_state::succeeded);
}

// Load: a straggler whose workspace has the rest of its limit in use. Guards
// against a copy that exceeds the limit, since it is no waiting task.
Test(cell_copies, a_copy_is_within_the_limit_of_its_workspace)
{
    straggling_cell cell;
    cell.simulation.configure({fakes::workspace("a", 6'000)});
    cell.accept("j1", true, false, "a");
    cell.simulation.run_for(milliseconds(700));
    cell.simulation.run_time =
        [](const cell::run_ref&) -> std::optional<milliseconds>
    {
        return straggler_time;
    };
    auto other = simple_job("other", 5, 1'000);
    other.workspace = workspace_name("a");
    cell.simulation.jobs().accept(other, cell.simulation.now);
    cell.simulation.run_for(milliseconds(2'500));
    cr_assert_eq(cell.simulation.starts.size(), 11u);
    const auto& account =
        cell.simulation.jobs().workspaces().accounts().at(workspace_name("a"));
    cr_assert_leq(account.used.millicpus, 6'000);
}
