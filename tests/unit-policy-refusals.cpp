/// @file
/// Tests of refusals: a job that can run is never refused as one that can't, and
/// none is refused for lack of capacity that is worth its delay.
#include <pimentoshunt/cell/owner_view.hpp>
#include <pimentoshunt/cell/policy/refusals.hpp>

#include <criterion/criterion.h>

#include <chrono> // seconds
#include <set>    // set
#include <string> // string, to_string

using namespace pimentoshunt::cell;
using pimentoshunt::job_id;
using pimentoshunt::milliseconds;
using pimentoshunt::time_point;
using policy::find_refusal;
using policy::service_view;
using std::chrono::seconds;

namespace
{

/// A job of a second that is worthless 6 s after it was accepted.
auto job(std::int64_t millicpus, const std::string& label = "") -> job_spec
{
    job_spec out;
    out.id = job_id("j1");
    out.queue.service = service_name("pool");
    out.queue.priority = 1;
    out.queue.stretch = 2;
    step_spec step;
    step.count = 1;
    step.need.millicpus = millicpus;
    step.need.memory_mb = 100;
    step.estimate = seconds(1);
    step.required_label = label;
    out.steps = {step};
    return out;
}

auto two_kinds() -> service_view
{
    service_view out;
    out.add_kind({{0, 8'000, 1'000, 0}, {"small"}});
    out.add_kind({{0, 16'000, 1'000, 0}, {}});
    return out;
}

constexpr milliseconds fresh{200};

} // namespace

// Guards against jobs that are accepted although no worker can ever run them.
Test(policy_refusals, what_no_worker_can_run_is_refused)
{
    const auto view = two_kinds();
    cr_assert(find_refusal(job(16'001), view, fresh)->never_runs);
    cr_assert(find_refusal(job(8'001, "small"), view, fresh)->never_runs);
    cr_assert(find_refusal(job(1'000, "gpu"), view, fresh)->never_runs);
    cr_assert_not(find_refusal(job(16'000), view, fresh));
    cr_assert_not(find_refusal(job(8'000, "small"), view, fresh));
}

// Guards against refusals by what is no longer, or not yet, known.
Test(policy_refusals, nothing_is_refused_by_an_old_or_missing_view)
{
    auto view = two_kinds();
    view.starts = {{1, seconds(60)}};
    cr_assert(find_refusal(job(16'001), view, milliseconds(3'000)));
    cr_assert_not(find_refusal(job(16'001), view, milliseconds(3'001)));
    cr_assert_not(find_refusal(job(1'000), view, milliseconds(3'001)));
    cr_assert_not(find_refusal(job(16'001), service_view(), fresh));
    cr_assert_not(owner_view().refusal_of(job(16'001), time_point(fresh)));
}

// Guards against a list of kinds that is cut off and makes a job seem too large.
Test(policy_refusals, nothing_is_too_large_for_an_incomplete_view)
{
    service_view view;
    for (int i = 0; i < 40; ++i)
    {
        view.add_kind({{0, 1'000 + i, 1'000 - i, 0}, {}});
    }
    cr_assert_eq(view.kinds.size(), policy::max_worker_kinds);
    cr_assert_not(find_refusal(job(50'000), view, fresh));
}

// Guards against refusing jobs that are worth their delay, and against callers
// that all come back at once.
Test(policy_refusals, a_job_is_refused_only_if_it_would_start_worthless)
{
    auto view = two_kinds();
    view.starts = {{0, seconds(2)}, {1, seconds(6)}, {2, seconds(50)}};
    cr_assert_not(find_refusal(job(1'000), view, fresh));
    view.starts[1].start_in = milliseconds(6'500);
    const auto refused = find_refusal(job(1'000), view, fresh);
    cr_assert(refused);
    cr_assert_not(refused->never_runs);
    cr_assert_geq(refused->retry_after.count(), 7);
    cr_assert_leq(refused->retry_after.count(), 10);
    auto lowest = job(1'000);
    lowest.queue.priority = 7;
    std::set<seconds> waits;
    for (int i = 0; i < 50; ++i)
    {
        lowest.id = job_id("j" + std::to_string(i));
        waits.insert(find_refusal(lowest, view, fresh)->retry_after);
    }
    cr_assert_leq(waits.rbegin()->count(), 30);
}

// Guards against estimates that count what is served later: a backlog of lower
// priority, and jobs that have expired.
Test(policy_refusals, only_what_goes_first_delays_a_job)
{
    policy::overload_selection selection;
    const time_point now{seconds(1'000)};
    std::vector<policy::backlog_job> jobs(3);
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        jobs[i].arrival = i;
        jobs[i].priority = i == 2 ? 5 : 1;
        jobs[i].work = 10;
        jobs[i].due = now + seconds(5);
        jobs[i].worthless_at = now + seconds(15);
    }
    jobs[1].expired = true;
    const auto backlog = selection.select(jobs, now);
    cr_assert(selection.is_short());
    const auto starts = policy::estimate_starts(backlog, selection, now);
    cr_assert_eq(starts.size(), 2u);
    cr_assert_eq(starts[0].start_in, seconds(10));
    cr_assert_eq(starts[1].start_in, seconds(20));
}
