/// @file
/// The soak's checker finds each kind of broken promise in records that hold
/// one, and none in records that hold none.
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
         const std::string& how = "done") -> run_record
{
    run_record out;
    out.task = id + ".0." + std::to_string(step) + ".0";
    out.run = number;
    out.worker = "i-1";
    out.epoch = 1;
    out.started = at(from);
    out.ended = at(until);
    out.how = how;
    out.noted = true;
    out.noted_at = at(until + 10);
    return out;
}

/// A job of two steps that was accepted, ran once and is shown so.
auto good() -> soak_record
{
    soak_record out;
    job_record job;
    job.id = id;
    job.steps.resize(2);
    job.submissions.push_back({at(0), at(1), "cell-0", 200, ""});
    job.looks.push_back({at(400), at(401), "cell-0", 200, "succeeded"});
    out.jobs[id] = job;
    out.takeovers.push_back({at(0), 1, "cell-0"});
    out.runs = {run(0, 1, 100, 200), run(1, 1, 250, 300)};
    return out;
}

/// Whether there are violations and all are of one rule.
auto finds_only(const std::string& rule, const soak_record& seen) -> bool
{
    const auto found = check(seen);
    return !found.empty() && std::all_of(found.begin(), found.end(),
                                         [&](const violation& item)
                                         {
                                             return item.rule == rule;
                                         });
}

} // namespace

Test(soak_checker, a_good_record_breaks_no_promise)
{
    cr_assert(check(good()).empty());
}

Test(soak_checker, two_runs_at_one_time_are_found)
{
    auto seen = good();
    seen.runs.push_back(run(1, 2, 280, 350));
    cr_assert(finds_only("TWICE", seen));
}

Test(soak_checker, a_start_after_an_end_as_done_counts_once_that_is_noted)
{
    auto seen = good();
    seen.runs.push_back(run(1, 2, 320, 350));
    cr_assert(finds_only("TWICE", seen));
    seen.runs[1].noted = false;
    cr_assert(check(seen).empty());
}

Test(soak_checker, a_worker_that_is_brought_over_its_capacity_is_found)
{
    auto seen = good();
    seen.runs[0].used.millicpus = 1;
    cr_assert(finds_only("LIMIT", seen));
}

Test(soak_checker, a_start_before_the_earlier_step_is_done_is_found)
{
    auto seen = good();
    seen.runs[1].started = at(150);
    cr_assert(finds_only("ORDER", seen));
}

Test(soak_checker, a_start_of_a_refused_job_is_found)
{
    auto seen = good();
    seen.jobs[id].submissions[0].status = 503;
    cr_assert(finds_only("REFUSED", seen));
}

Test(soak_checker, a_start_long_after_the_cancelling_is_found)
{
    auto seen = good();
    seen.jobs[id].cancels.push_back({at(2), at(3), "cell-0", 200, ""});
    cr_assert(check(seen).empty());
    seen.runs[1].started = at(3'100);
    seen.runs[1].ended = at(3'200);
    seen.jobs[id].looks.clear();
    cr_assert(finds_only("UNASKED", seen));
    seen.faults.push_back({"frozen", "cell-0", at(0), at(500)});
    cr_assert(check(seen).empty(), "its starter was out of touch");
}

Test(soak_checker, a_job_that_nobody_sent_is_found)
{
    auto seen = good();
    seen.jobs.clear();
    cr_assert(finds_only("UNASKED", seen));
}

Test(soak_checker, a_job_that_did_not_succeed_is_lost)
{
    auto seen = good();
    seen.jobs[id].looks[0].state = "running";
    cr_assert(finds_only("LOST", seen));
    seen.jobs[id].looks[0].state = "failed";
    cr_assert(finds_only("LOST", seen));
    seen.jobs[id].looks[0].state = "succeeded";
    seen.jobs[id].looks.insert(seen.jobs[id].looks.begin(),
                               {at(4'000), at(4'001), "cell-0", 410, ""});
    cr_assert(finds_only("LOST", seen));
}

Test(soak_checker, a_job_shown_as_succeeded_too_soon_is_found)
{
    auto seen = good();
    seen.jobs[id].looks[0].at = at(280);
    cr_assert(finds_only("MIXED", seen));
}
