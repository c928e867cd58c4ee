/// @file
/// Tests of the limits of workspaces: what counts, what is kept back, and what an
/// owner assumes after a takeover.
#include "fakes/cell_fixture.hpp"

#include <pimentoshunt/cell/meters.hpp>
#include <pimentoshunt/cell/policy/caller_access.hpp>

#include <criterion/criterion.h>

#include <string> // string, to_string
#include <vector> // vector

using namespace pimentoshunt;
using fakes::cell_simulation;
using fakes::workspace;

namespace
{

auto job_of(const std::string& owner, const std::string& id,
            std::uint32_t tasks, std::int64_t millicpus) -> cell::job_spec
{
    auto job = fakes::simple_job(id, tasks, millicpus);
    job.workspace = workspace_name(owner);
    return job;
}

auto accept(cell_simulation& simulation, const cell::job_spec& job) -> void
{
    simulation.jobs().accept(job, simulation.now);
    simulation.run_for(milliseconds(200));
}

/// Two workers of 16 processors and a limit of 4 for the workspace "a".
struct limited_cell : cell_simulation
{
    limited_cell()
    {
        configure({workspace("a", 4'000)});
        add_worker("w1", 16'000);
        add_worker("w2", 16'000);
        run_for(milliseconds(100));
    }

    auto end_first(cell::run_end how) -> void
    {
        for (auto& [id, worker] : workers)
        {
            if (!worker.runs.empty())
            {
                end_run(id.str(), worker.runs.begin()->first, how);
                break;
            }
        }
        run_for(milliseconds(200));
    }

    auto used() -> std::int64_t
    {
        cr_assert(jobs().check_usage().empty());
        return jobs()
            .workspaces()
            .accounts()
            .at(workspace_name("a"))
            .used.millicpus;
    }
};

} // namespace

// Guards against a wide step that exceeds its limit, or that waits until all its
// tasks are within it; other workspaces must not be affected.
Test(cell_workspace_limits, a_step_wider_than_its_limit_runs_in_waves)
{
    limited_cell simulation;
    accept(simulation, job_of("a", "j1", 10, 1'000));
    cr_assert_eq(simulation.running(), 4u);
    accept(simulation, job_of("b", "j2", 10, 1'000));
    accept(simulation, fakes::simple_job("j3", 10, 1'000));
    cr_assert_eq(simulation.running(), 24u);
    for (std::size_t ended = 1; ended <= 10; ++ended)
    {
        simulation.end_first(cell::run_end::done);
    }
    cr_assert(simulation.used() <= 4'000);
}

// Guards against an account that drifts: each way in which a run ends gives its
// room back.
Test(cell_workspace_limits, each_end_of_a_run_returns_its_room)
{
    limited_cell simulation;
    accept(simulation, job_of("a", "j1", 4, 1'000));
    simulation.end_first(cell::run_end::failed);
    simulation.end_first(cell::run_end::lease_expired);
    cr_assert_eq(simulation.used(), 4'000, "tasks are started again");
    simulation.restart_worker("w1");
    simulation.restart_worker("w2");
    simulation.run_for(std::chrono::seconds(15));
    cr_assert_eq(simulation.used(), 4'000);
    cr_assert_eq(simulation.running(), 4u);
    // A worker that falls silent keeps its runs charged until its lease ends,
    // also beyond the time for which their job is known.
    auto& silent = simulation.workers.begin()->second;
    silent.receives_orders = false;
    silent.lost_stops = 1'000;
    simulation.jobs().cancel(job_id("j1"), simulation.now);
    simulation.run_for(std::chrono::seconds(15));
    cr_assert_eq(simulation.used(), 0);
    accept(simulation, job_of("a", "j2", 4, 1'000));
    cr_assert_eq(simulation.used(), 4'000);
    simulation.jobs().cancel(job_id("j2"), simulation.now);
    simulation.run_for(std::chrono::seconds(140));
    (void)simulation.jobs().take_expired(simulation.now, 10);
    cr_assert_eq(simulation.used(), 0);
}

// Guards against starts in the room of a run that may still be alive: its stop or
// its start is unanswered.
Test(cell_workspace_limits, unsure_runs_count)
{
    limited_cell simulation;
    for (auto& [id, worker] : simulation.workers)
    {
        worker.lost_starts = 4;
        worker.lost_stops = 100;
    }
    accept(simulation, job_of("a", "j1", 4, 1'000));
    cr_assert_eq(simulation.running(), 0u);
    accept(simulation, job_of("a", "j2", 1, 1'000));
    cr_assert_eq(simulation.used(), 4'000);
}

// Best-effort tasks take no processors of their worker, but count with those that
// they request. A limit of one resource does not limit the others.
Test(cell_workspace_limits, best_effort_and_memory_count)
{
    limited_cell simulation;
    auto job = job_of("a", "j1", 10, 1'000);
    job.steps.front().filler = true;
    accept(simulation, job);
    cr_assert_eq(simulation.running(), 4u);
    auto limits = workspace("b", 0);
    limits.limit.memory_mb = 350;
    simulation.configure({limits});
    accept(simulation, job_of("b", "j2", 10, 1'000));
    cr_assert_eq(simulation.running(), 7u);
}

// Guards against a gang of which only a part starts, and against one that keeps
// room on workers idle which its limit does not let it use.
Test(cell_workspace_limits, a_gang_starts_whole_or_reserves_nothing)
{
    limited_cell simulation;
    accept(simulation, job_of("a", "j1", 2, 1'000));
    auto gang = job_of("a", "j2", 3, 1'000);
    gang.steps.front().gang = true;
    accept(simulation, gang);
    cr_assert_eq(simulation.running(), 2u);
    for (const auto& [id, worker] : simulation.jobs().workers())
    {
        cr_assert_eq(worker.reserved, resources{});
    }
    simulation.end_first(cell::run_end::done);
    cr_assert_eq(simulation.running(), 4u);
}

// Guards against a gang that waits for good while smaller tasks of its workspace
// take all room within the limit as it becomes free.
Test(cell_workspace_limits, smaller_tasks_do_not_starve_a_gang)
{
    limited_cell simulation;
    simulation.run_time = [](const cell::run_ref&)
    {
        return std::optional(milliseconds(300));
    };
    auto gang = job_of("a", "gang", 2, 1'000);
    gang.steps.front().gang = true;
    std::uint32_t number = 0;
    while (number < 400)
    {
        auto task = job_of("a", "t" + std::to_string(number), 1, 1'000);
        simulation.jobs().accept(task, simulation.now);
        if (++number == 10)
        {
            simulation.jobs().accept(gang, simulation.now);
        }
        simulation.run_for(milliseconds(20));
    }
    cr_assert_eq(simulation.jobs().state_of(job_id("gang")),
                 cell::job_state::succeeded);
}

// What is running continues when a limit falls below it, and nothing new starts. A
// workspace that is removed keeps its limit.
Test(cell_workspace_limits, a_limit_that_falls_stops_nothing)
{
    limited_cell simulation;
    accept(simulation, job_of("a", "j1", 10, 1'000));
    simulation.configure({workspace("a", 2'000)});
    simulation.run_for(milliseconds(500));
    cr_assert_eq(simulation.running(), 4u);
    simulation.configure({});
    simulation.end_first(cell::run_end::done);
    simulation.end_first(cell::run_end::done);
    cr_assert_eq(simulation.running(), 2u);
    simulation.end_first(cell::run_end::done);
    cr_assert_eq(simulation.running(), 2u);
    cr_assert(simulation.stops.empty());
}

// Guards against approval requests for more workers than the workspace can use,
// which hold up the requests of others, also by two steps for the same room.
Test(cell_workspace_limits, approval_is_requested_for_what_may_start)
{
    cell_simulation simulation;
    simulation.configure({workspace("a", 6'000)});
    for (int i = 10; i < 60; ++i)
    {
        simulation.add_worker("w" + std::to_string(i), 4'000);
    }
    simulation.run_for(milliseconds(100));
    auto job = job_of("a", "j1", 20, 4'000);
    job.queue.approval.required = true;
    job.queue.approval.time_per_call = milliseconds(100);
    simulation.jobs().accept(job, simulation.now);
    job.id = job_id("j2");
    simulation.jobs().accept(job, simulation.now);
    simulation.run_pass();
    cr_assert_eq(simulation.approval_requests.size(), 1u);
    const auto asked = simulation.approval_requests.front().workers.size();
    cr_assert(asked < 12, "%zu workers for one task", asked);
    simulation.run_for(std::chrono::seconds(2));
    cr_assert_eq(simulation.running(), 1u);
    cr_assert_eq(simulation.approval_requests.size(), 1u,
                 "asked while the limit is used up");
}

// Guards against an owner that starts new jobs in the room of runs that it has
// not seen yet, and against one that leaves more room than these could take.
Test(cell_workspace_limits, runs_of_workers_without_a_report_count)
{
    limited_cell simulation;
    simulation.configure({workspace("a", 20'000)});
    const auto inherited = job_of("a", "j1", 18, 1'000);
    accept(simulation, inherited);
    cr_assert_eq(simulation.running(), 18u);
    auto& silent = simulation.workers.at(worker_id("w1"));
    const auto on_silent = silent.runs.size();
    silent.answers_orders = false;
    simulation.take_over({inherited});
    simulation.run_for(milliseconds(200));
    simulation.jobs().accept(job_of("a", "j2", 10, 1'000), simulation.now);
    simulation.run_for(milliseconds(400));
    cr_assert(simulation.running() <= 20, "%zu", simulation.running());
    cr_assert(on_silent > 10, "%zu", on_silent);
    silent.answers_orders = true;
    simulation.run_for(std::chrono::seconds(2));
    cr_assert_eq(simulation.used(), 20'000);
}

// Guards against two owners that together exceed a limit: the earlier one starts
// an inherited job after its successor has started one of its own.
Test(cell_workspace_limits, two_owners_keep_one_limit)
{
    fakes::cell_fixture fixture;
    fixture.configuration.workspaces = {workspace("a", 3'000)};
    auto& earlier = fixture.ready_owner();
    const auto inherited = fixture.submit(job_of("a", "0a", 2, 1'000));
    auto& later = fixture.take_over();
    later.platform.delay_reports_of = worker_id("w1");
    cr_assert(fixture.loaded(later));
    const auto own = fixture.submit(job_of("a", "0b", 3, 1'000));
    later.role->on_inbox_row(own);
    fixture.run_for(milliseconds(300));
    cr_assert_eq(fixture.pool.starts_of(job_id("0b")), 1u,
                 "the room that the earlier owner can't use");
    earlier.role->on_inbox_row(inherited);
    fixture.run_for(milliseconds(300));
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 2u);
    later.platform.delay_reports_of = {};
    later.platform.release_reports();
    fixture.run_for(milliseconds(300));
    cr_assert_eq(fixture.pool.starts_of(job_id("0b")), 1u);
    fixture.pool.end_all();
    fixture.run_for(milliseconds(300));
    cr_assert_eq(fixture.pool.starts_of(job_id("0b")), 3u);
    cr_assert_eq(fixture.pool.starts_of(job_id("0a")), 2u);
}

// Guards against a job that waits for good: no state of its workspace lets run
// what is larger than the limit.
Test(cell_workspace_limits, a_job_beyond_its_limit_is_named)
{
    const auto limited = workspace("a", 4'000);
    auto job = job_of("a", "j1", 10, 4'000);
    cr_assert(cell::policy::find_step_over_limit(job, limited).empty());
    job.steps.front().gang = true;
    const auto fault = cell::policy::find_step_over_limit(job, limited);
    cr_assert(fault.find("10 x 4000") != std::string::npos, "%s",
              fault.c_str());
    const auto unlimited = workspace("b", 0);
    cr_assert(cell::policy::find_step_over_limit(job, unlimited).empty());
}

// Guards against a series for each of any number of workspaces, and against names
// that break the text of the metrics.
Test(cell_workspace_limits, metrics_name_at_most_fifty_workspaces)
{
    limited_cell simulation;
    std::vector<cell::workspace_config> many;
    constexpr int count = 60;
    many.reserve(count);
    for (int i = 0; i < count; ++i)
    {
        many.push_back(workspace("a" + std::to_string(i + 10), 1'000));
    }
    simulation.configure(many);
    simulation.jobs().accept(job_of("a65", "j1", 2, 1'000), simulation.now);
    simulation.jobs().accept(job_of("a66", "j2", 1, 1'000), simulation.now);
    simulation.run_for(milliseconds(1'100));
    const auto counts = simulation.jobs().take_counts().workspaces;
    cr_assert_eq(counts.size(), 51u);
    cr_assert_eq(counts.back().name, "other");
    cr_assert_eq(counts.back().millicpus, 2'000);
    cr_assert_eq(counts.back().held_back, 1u);
    cell::meters series;
    series.set("workspace_millicpus", {"workspace", "a\"b\n"}, 3);
    cr_assert(series.text().find("{workspace=\"a\\\"b\\n\"} 3\n") !=
              std::string::npos);
    series.clear("workspace_millicpus");
    cr_assert(series.text().empty());
}
