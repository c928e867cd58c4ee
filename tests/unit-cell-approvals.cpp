/// @file
/// Tests of approvals in the scheduler: for which workers and when it requests
/// them, and how it uses the answers.
#include "fakes/cell_simulation.hpp"

#include <criterion/criterion.h>

#include <functional> // hash
#include <set>        // set
#include <string>     // string, to_string

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::simple_job;

namespace
{

auto approved_job(const std::string& id, std::uint32_t tasks) -> cell::job_spec
{
    auto job = simple_job(id, tasks, 1'000);
    job.queue.approval.required = true;
    job.queue.approval.time_per_call = std::chrono::milliseconds(22);
    job.queue.approval.ticket_lifetime = milliseconds(2'500);
    return job;
}

} // namespace

Test(cell_approvals, a_start_carries_its_ticket_and_none_goes_unapproved)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000);
    simulation.add_worker("w2", 4'000);
    simulation.approves = [](const cell::step_ref&, const worker_id& worker)
    {
        return worker == worker_id("w2");
    };
    simulation.run_pass();
    simulation.jobs().accept(approved_job("j1", 3), simulation.now);
    simulation.run_for(milliseconds(300));
    cr_assert_eq(simulation.starts.size(), 3u);
    for (const auto& start : simulation.starts)
    {
        cr_assert_eq(start.target.worker, worker_id("w2"));
        cr_assert_eq(start.ticket, "ticket");
    }
}

Test(cell_approvals, the_next_step_is_requested_before_it_is_ready)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 8'000);
    simulation.run_pass();
    auto job = approved_job("j1", 2);
    job.steps[0].estimate = milliseconds(700);
    auto second = job.steps[0];
    second.after = {0};
    job.steps.push_back(second);
    simulation.run_time =
        [](const cell::run_ref&) -> std::optional<milliseconds>
    {
        return milliseconds(700);
    };
    simulation.jobs().accept(job, simulation.now);
    simulation.run_for(milliseconds(400));
    cr_assert_eq(simulation.starts.size(), 2u);
    cr_assert_eq(simulation.approval_requests.size(), 2u);
}

Test(cell_approvals, expired_tickets_are_requested_again)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 1'000);
    simulation.run_pass();
    simulation.run_time =
        [](const cell::run_ref&) -> std::optional<milliseconds>
    {
        return milliseconds(4'000);
    };
    simulation.jobs().accept(approved_job("j1", 2), simulation.now);
    simulation.run_for(milliseconds(9'500));
    cr_assert_eq(simulation.starts.size(), 2u);
    cr_assert_geq(simulation.approval_requests.size(), 2u);
    cr_assert(simulation.jobs().state_of(job_id("j1")) ==
              cell::job_state::succeeded);
}

Test(cell_approvals, a_step_that_starts_nothing_for_long_is_counted)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000);
    simulation.approves = [](const cell::step_ref&, const worker_id&)
    {
        return false;
    };
    simulation.run_pass();
    simulation.jobs().accept(approved_job("j1", 1), simulation.now);
    simulation.run_for(milliseconds(2'900));
    cr_assert_eq(simulation.jobs().take_counts().long_waits, 0u);
    simulation.run_for(milliseconds(3'300));
    cr_assert_eq(simulation.jobs().take_counts().long_waits, 2u);
}

namespace
{

/// Longest time for which a ready step may have nothing running while the cell
/// has room for it.
constexpr milliseconds longest_idle_wait{3'000};

/// An empty cell of 350 workers. A third of them is approved for a step, by an
/// approval service that takes half a second for a call.
struct empty_cell
{
    static constexpr int workers = 350;

    cell_simulation simulation;

    explicit empty_cell(std::int64_t millicpus = 64'000)
    {
        for (int i = 0; i < workers; ++i)
        {
            simulation.add_worker("w" + std::to_string(1'000 + i), millicpus);
        }
        simulation.approves =
            [](const cell::step_ref& at, const worker_id& worker)
        {
            constexpr std::size_t one_in = 3;
            return std::hash<std::string>{}(at.job.str() + worker.str()) %
                       one_in ==
                   0;
        };
        simulation.run_for(milliseconds(600));
    }

    auto accept(const std::string& id, std::uint32_t tasks,
                std::int64_t task_millicpus, bool gang = false) -> void
    {
        auto job = simple_job(id, tasks, task_millicpus);
        job.steps.front().gang = gang;
        job.queue.approval.required = true;
        job.queue.approval.time_per_call = milliseconds(507);
        job.queue.approval.time_per_worker =
            std::chrono::duration<double, std::milli>(7.28);
        job.queue.approval.ticket_lifetime = milliseconds(2'000);
        simulation.jobs().accept(job, simulation.now);
    }
};

} // namespace

// Guards against steps that all ask for the same workers: of 24 jobs that came
// together, some had nothing running for 3 s beside 86 % of the room (scenario
// nokf-trykk-grown trouble-1).
Test(cell_approvals, jobs_that_come_together_do_not_compete_for_a_few_workers)
{
    empty_cell cell;
    constexpr int jobs = 24;
    for (int i = 0; i < jobs; ++i)
    {
        cell.accept("job" + std::to_string(i), 15, 23'000);
    }
    cell.simulation.run_for(longest_idle_wait);
    std::set<std::string> running;
    for (const auto& order : cell.simulation.starts)
    {
        running.insert(order.run.task.step.job.str());
    }
    cr_assert_eq(running.size(), static_cast<std::size_t>(jobs));
}

// A claim that outlived its request would keep its workers from being asked.
Test(cell_approvals, claims_of_a_request_end_with_it_or_with_its_job)
{
    empty_cell cell;
    const auto claimed = [&]
    {
        std::int64_t sum = 0;
        for (const auto& [id, worker] : cell.simulation.jobs().workers())
        {
            sum += worker.claimed_millicpus;
        }
        return sum;
    };
    cell.accept("answered", 4, 23'000);
    cell.accept("cancelled", 4, 23'000);
    cell.simulation.run_for(milliseconds(100));
    const auto of_both = claimed();
    cr_assert_gt(of_both, 0);
    cell.simulation.jobs().cancel(job_id("cancelled"), cell.simulation.now);
    cr_assert_lt(claimed(), of_both);
    cell.simulation.run_for(milliseconds(2'000));
    cr_assert_eq(claimed(), 0);
}

// Guards against requests that name too few workers: renewed tickets, which are
// always granted, raised the estimated share of approved workers.
Test(cell_approvals, renewed_tickets_do_not_raise_the_approval_rate)
{
    empty_cell cell;
    constexpr int runs = 40;
    cell.accept("first", 1, 23'000);
    cell.simulation.run_for(milliseconds(2'000));
    const auto few = cell.simulation.approval_requests.back().workers.size();
    for (int run = 0; run < runs; ++run)
    {
        for (auto& [id, worker] : cell.simulation.workers)
        {
            while (!worker.runs.empty())
            {
                cell.simulation.end_run(id.str(), worker.runs.begin()->first,
                                        cell::run_end::lease_expired);
            }
        }
        cell.simulation.run_for(milliseconds(3'000));
    }
    cell.accept("second", 1, 23'000);
    cell.simulation.run_for(milliseconds(40));
    const auto& last = cell.simulation.approval_requests.back();
    cr_assert_eq(last.step.job, job_id("second"));
    cr_assert_geq(last.workers.size(), few);
}

// Guards against a ready step that keeps the priority of its early request.
Test(cell_approvals, a_step_that_becomes_ready_raises_its_early_request)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 8'000);
    simulation.run_pass();
    auto job = approved_job("j1", 2);
    job.queue.approval.time_per_call = std::chrono::milliseconds(2'000);
    job.steps[0].estimate = milliseconds(700);
    auto second = job.steps[0];
    second.after = {0};
    job.steps.push_back(second);
    simulation.run_time =
        [](const cell::run_ref&) -> std::optional<milliseconds>
    {
        return milliseconds(700);
    };
    simulation.jobs().accept(job, simulation.now);
    simulation.run_for(milliseconds(2'500));
    cr_assert_eq(simulation.starts.size(), 2u);
    cr_assert_eq(simulation.approval_requests.size(), 2u);
    simulation.run_for(milliseconds(1'000));
    cr_assert_eq(simulation.approval_requests.size(), 3u);
    cr_assert_eq(simulation.approval_requests[2].step.step, 1u);
    cr_assert_lt(simulation.approval_requests[2].priority,
                 simulation.approval_requests[1].priority);
}

Test(cell_approvals, a_late_answer_leaves_the_later_request_in_flight)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000);
    simulation.run_pass();
    auto job = approved_job("j1", 6);
    job.queue.approval.time_per_call = std::chrono::milliseconds(1'000);
    simulation.jobs().accept(job, simulation.now);
    simulation.run_for(milliseconds(100));
    cr_assert_eq(simulation.approval_requests.size(), 1u);
    cell::approval_response late;
    late.step = simulation.approval_requests[0].step;
    late.asked = simulation.approval_requests[0].workers;
    late.approved = {{worker_id("w1"), "late"}};
    late.ticket_lifetime = milliseconds(2'500);
    late.late = true;
    simulation.jobs().on_approval_response(late, simulation.now);
    simulation.add_worker("w2", 4'000);
    simulation.run_for(milliseconds(500));
    cr_assert_eq(simulation.starts.size(), 4u);
    cr_assert_eq(simulation.starts.front().ticket, "late");
    cr_assert_eq(simulation.approval_requests.size(), 1u);
}

// Guards against a late answer that replaces a newer ticket.
Test(cell_approvals, a_late_answer_does_not_replace_a_newer_ticket)
{
    cell_simulation simulation;
    auto& worker = simulation.add_worker("w1", 1'000);
    simulation.run_pass();
    simulation.jobs().accept(approved_job("j1", 2), simulation.now);
    simulation.run_for(milliseconds(200));
    cr_assert_eq(simulation.starts.size(), 1u);
    cell::approval_response late;
    late.step = simulation.approval_requests[0].step;
    late.asked = simulation.approval_requests[0].workers;
    late.approved = {{worker_id("w1"), "late"}};
    late.ticket_lifetime = milliseconds(2'500);
    late.age = milliseconds(1'000);
    late.late = true;
    simulation.jobs().on_approval_response(late, simulation.now);
    simulation.end_run("w1", worker.runs.begin()->first, cell::run_end::done);
    simulation.run_for(milliseconds(500));
    cr_assert_eq(simulation.starts.size(), 2u);
    cr_assert_eq(simulation.starts.back().ticket, "ticket");
}

// Guards against starts that are rejected as their tickets have run out.
Test(cell_approvals, a_ticket_that_was_long_on_its_way_starts_nothing)
{
    cell_simulation simulation;
    simulation.add_worker("w1", 4'000);
    simulation.run_pass();
    auto job = approved_job("j1", 1);
    job.queue.approval.time_per_call = std::chrono::milliseconds(5'000);
    simulation.jobs().accept(job, simulation.now);
    simulation.run_for(milliseconds(100));
    cr_assert_eq(simulation.approval_requests.size(), 1u);
    cell::approval_response answer;
    answer.step = simulation.approval_requests[0].step;
    answer.asked = simulation.approval_requests[0].workers;
    answer.approved = {{worker_id("w1"), "ticket"}};
    answer.ticket_lifetime = milliseconds(2'500);
    answer.age = milliseconds(2'450);
    simulation.jobs().on_approval_response(answer, simulation.now);
    simulation.run_for(milliseconds(500));
    cr_assert_eq(simulation.starts.size(), 0u);
}

// Guards against one small request after the other: a gang that fits on one
// worker was asked for 9, 7, 4 and 3 workers, of which 3 were approved, and
// started after 3 s (scenario nokf-trykk-grown trouble-1).
Test(cell_approvals, a_gang_that_fits_on_one_worker_needs_few_requests)
{
    empty_cell cell(128'000);
    constexpr int gangs = 1'500;
    for (int i = 0; i < gangs; ++i)
    {
        const auto id = "gang" + std::to_string(i);
        const auto starts = cell.simulation.starts.size();
        cell.accept(id, 5, 24'800, true);
        milliseconds waited{0};
        constexpr milliseconds pass{20};
        while (cell.simulation.starts.size() == starts &&
               waited < longest_idle_wait)
        {
            cell.simulation.run_for(pass);
            waited += pass;
        }
        cr_assert_lt(waited, longest_idle_wait, "%s has not started",
                     id.c_str());
        cell.simulation.jobs().cancel(job_id(id), cell.simulation.now);
        cell.simulation.run_for(milliseconds(300));
    }
}
