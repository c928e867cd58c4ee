/// @file
/// The soak's checker reports each kind of violation in records that contain it
/// and none in a valid record.
#include "checker.hpp"

#include <criterion/criterion.h>

#include <algorithm> // all_of

using namespace pimentoshunt;
using namespace pimentoshunt::soak;

namespace
{

const std::string id = "00000000000000aa";
const time_point start = boot_clock::now();

auto at(int ms) -> time_point
{
    return start + milliseconds(ms);
}

auto run(int step, std::uint64_t number, int from, int until,
         const std::string& outcome = "done") -> run_record
{
    run_record out;
    out.task = id + ".0." + std::to_string(step) + ".0";
    out.run = number;
    out.worker = "i-1";
    out.epoch = 1;
    out.started = at(from);
    out.ended = at(until);
    out.outcome = outcome;
    out.end_durable = true;
    out.end_durable_at = at(until + 10);
    return out;
}

/// One accepted job with two steps; each task ran once, and the job was then
/// reported as succeeded.
auto valid_record() -> soak_record
{
    soak_record out;
    job_record job;
    job.id = id;
    job.steps.resize(2);
    job.submissions.push_back({at(0), at(1), "cell-0", 200, ""});
    job.lookups.push_back({at(400), at(401), "cell-0", 200, "succeeded"});
    out.jobs[id] = job;
    out.takeovers.push_back({at(0), 1, "cell-0"});
    out.runs = {run(0, 1, 100, 200), run(1, 1, 250, 300)};
    return out;
}

/// Whether there is at least one violation and all are of @p rule.
auto finds_only(const std::string& rule, const soak_record& record) -> bool
{
    const auto found = check(record);
    return !found.empty() && std::all_of(found.begin(), found.end(),
                                         [&](const violation& item)
                                         {
                                             return item.rule == rule;
                                         });
}

} // namespace

Test(soak_checker, a_valid_record_has_no_violation)
{
    cr_assert(check(valid_record()).empty());
}

Test(soak_checker, overlapping_runs_of_a_task_are_found)
{
    auto record = valid_record();
    record.runs.push_back(run(1, 2, 280, 350));
    cr_assert(finds_only("TWICE", record));
}

Test(soak_checker, a_restart_is_a_violation_once_the_success_is_durable)
{
    auto record = valid_record();
    record.runs.push_back(run(1, 2, 320, 350));
    cr_assert(finds_only("TWICE", record));
    record.runs[1].end_durable = false;
    cr_assert(check(record).empty());
}

Test(soak_checker, an_overcommitted_worker_is_found)
{
    auto record = valid_record();
    record.runs[0].used.millicpus = 1;
    cr_assert(finds_only("LIMIT", record));
}

Test(soak_checker, a_start_before_the_previous_step_is_done_is_found)
{
    auto record = valid_record();
    record.runs[1].started = at(150);
    cr_assert(finds_only("ORDER", record));
}

Test(soak_checker, a_start_of_a_refused_job_is_found)
{
    auto record = valid_record();
    record.jobs[id].submissions[0].status = 503;
    cr_assert(finds_only("REFUSED", record));
}

Test(soak_checker, a_start_after_the_cancel_timeout_is_found)
{
    auto record = valid_record();
    record.jobs[id].cancels.push_back({at(2), at(3), "cell-0", 200, ""});
    cr_assert(check(record).empty());
    record.runs[1].started = at(3'100);
    record.runs[1].ended = at(3'200);
    record.jobs[id].lookups.clear();
    cr_assert(finds_only("UNASKED", record));
    record.faults.push_back({"frozen", "cell-0", at(0), at(500)});
    cr_assert(check(record).empty(),
              "a recent fault of the starting instance excuses a late start");
}

// A caller that is told that there is no such job relies on it.
Test(soak_checker, a_start_after_a_job_was_said_not_to_exist_is_found)
{
    auto record = valid_record();
    record.jobs[id].submissions[0].status = 504;
    record.jobs[id].lookups.clear();
    record.jobs[id].cancels.push_back({at(2), at(3), "cell-0", 410, ""});
    record.runs[1].started = at(3'100);
    record.runs[1].ended = at(3'200);
    cr_assert(finds_only("UNASKED", record));
}

Test(soak_checker, a_run_of_an_unknown_job_is_found)
{
    auto record = valid_record();
    record.jobs.clear();
    cr_assert(finds_only("UNASKED", record));
}

Test(soak_checker, an_accepted_job_that_did_not_succeed_is_lost)
{
    auto record = valid_record();
    record.jobs[id].lookups[0].state = "running";
    cr_assert(finds_only("LOST", record));
    record.jobs[id].lookups[0].state = "failed";
    cr_assert(finds_only("LOST", record));
    record.jobs[id].lookups[0].state = "succeeded";
    record.jobs[id].lookups.insert(record.jobs[id].lookups.begin(),
                                   {at(4'000), at(4'001), "cell-0", 410, ""});
    cr_assert(finds_only("LOST", record));
}

Test(soak_checker, a_premature_success_report_is_found)
{
    auto record = valid_record();
    record.jobs[id].lookups[0].at = at(280);
    cr_assert(finds_only("MIXED", record));
}

// A job that waited for its turn beside free workers was only found if it never
// ended.
Test(soak_checker, an_accepted_job_that_waits_beside_free_workers_is_found)
{
    resources room;
    room.millicpus = 1'000;
    room.memory_mb = 1'000;
    resources need;
    need.millicpus = 400;
    need.memory_mb = 100;
    auto record = valid_record();
    auto& job = record.jobs[id];
    for (auto& step : job.steps)
    {
        step.need = need;
    }
    record.runs = {run(0, 1, 100, 200), run(1, 1, 3'150, 3'250)};
    for (auto& item : record.runs)
    {
        item.capacity = room;
    }
    job.lookups[0] = {at(3'300), at(3'301), "cell-0", 200, "succeeded"};
    cr_assert(check(record).empty(), "2,950 ms without a run");

    record.runs[1] = run(1, 1, 3'250, 3'350);
    record.runs[1].capacity = room;
    job.lookups[0] = {at(3'400), at(3'401), "cell-0", 200, "succeeded"};
    cr_assert(finds_only("LOST", record));

    record.faults.push_back({"frozen", "workers", at(0), at(10)});
    cr_assert(check(record).empty(), "less than 10 s since a fault");
    record.faults.clear();

    for (auto& step : job.steps)
    {
        step.need.millicpus = 600;
    }
    cr_assert(check(record).empty(), "room for one task only");
    for (auto& step : job.steps)
    {
        step.need = need;
    }

    auto busy = record;
    const std::string other = "00000000000000bb";
    job_record second;
    second.id = other;
    second.steps.resize(1);
    second.steps[0].need.millicpus = 500;
    second.submissions.push_back({at(0), at(1), "cell-0", 200, ""});
    second.lookups.push_back(
        {at(3'400), at(3'401), "cell-0", 200, "succeeded"});
    busy.jobs[other] = second;
    busy.runs.push_back(run(0, 1, 10, 3'000));
    busy.runs.back().task = other + ".0.0.0";
    busy.runs.back().capacity = room;
    cr_assert(check(busy).empty(), "half of the capacity in use");
}
