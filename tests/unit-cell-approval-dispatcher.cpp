/// @file
/// Tests of the dispatcher of approval requests: which instance sends a request,
/// and when.
#include <pimentoshunt/cell/approval_dispatcher.hpp>

#include <criterion/criterion.h>

#include <optional> // optional
#include <set>      // set
#include <string>   // string, to_string
#include <vector>   // vector

using namespace pimentoshunt;
using cell::approval_dispatcher;
using cell::approval_request;

namespace
{

constexpr milliseconds slow_call{600};
constexpr milliseconds quick_call{30};
constexpr std::uint64_t first_epoch = 1;

auto request(const std::string& job, std::uint32_t priority,
             milliseconds expected) -> approval_request
{
    approval_request out;
    out.step.job = job_id(job);
    out.priority = priority;
    out.expected = expected;
    return out;
}

auto names(int count) -> std::vector<std::string>
{
    std::vector<std::string> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        out.push_back("i" + std::to_string(i));
    }
    return out;
}

/// Time from the first request of a step to its answer. The step asks again
/// 60 ms after each failure.
/// @param silent  whether the instance never answers
/// @param limit   returned if there is no answer by then
template<class Silent>
auto time_to_answer(approval_dispatcher& dispatcher, milliseconds expected,
                    const std::vector<std::string>& instances, Silent silent,
                    milliseconds limit) -> milliseconds
{
    constexpr milliseconds pass{10};
    constexpr milliseconds pause{60};
    const time_point began{std::chrono::hours(1)};
    auto now = began;
    auto next_request_at = began;
    auto item = request("step", 0, expected);
    bool in_flight = false;
    std::optional<time_point> answer_at;
    while (now < began + limit)
    {
        if (answer_at && now >= *answer_at)
        {
            return std::chrono::duration_cast<milliseconds>(now - began);
        }
        if (!dispatcher.take_timed_out(now).empty())
        {
            in_flight = false;
            ++item.unanswered;
            next_request_at = now + pause;
        }
        if (!in_flight && now >= next_request_at)
        {
            dispatcher.add(item, now);
            in_flight = true;
        }
        for (const auto& sent : dispatcher.assign(instances, now))
        {
            if (!silent(sent.instance))
            {
                answer_at = now + expected;
            }
        }
        now += pass;
    }
    return limit;
}

} // namespace

// Guards against a step that meets one of three silent instances at each
// attempt: the first one was tried again when the third one had timed out.
Test(cell_approvals, three_silent_instances_of_42_do_not_starve_a_step)
{
    constexpr milliseconds bound{3'000};
    const auto instances = names(42);
    // The first name is the owner's own.
    for (auto first = instances.begin() + 1; instances.end() - first >= 3;
         ++first)
    {
        const std::set<std::string> silent(first, first + 3);
        approval_dispatcher dispatcher(first_epoch);
        const auto took = time_to_answer(
            dispatcher, slow_call, instances,
            [&](const std::string& name)
            {
                return silent.contains(name);
            },
            milliseconds(20'000));
        cr_assert_lt(took, bound, "silent from %s: %lld ms", first->c_str(),
                     static_cast<long long>(took.count()));
    }
}

// The same after they were the last ones to answer: a repeated request goes to
// the owner itself.
Test(cell_approvals,
     instances_that_answered_last_and_fall_silent_starve_no_step)
{
    constexpr milliseconds bound{3'000};
    const auto instances = names(42);
    approval_dispatcher dispatcher(first_epoch);
    const time_point before{std::chrono::hours(1) - std::chrono::seconds(10)};
    for (int i = 0; i < 3; ++i)
    {
        dispatcher.add(request("job" + std::to_string(i), 0, quick_call),
                       before);
    }
    std::set<std::string> silent;
    for (const auto& sent : dispatcher.assign(instances, before))
    {
        silent.insert(sent.instance);
        cr_assert(dispatcher.answered(sent.number, before + quick_call));
    }
    cr_assert_eq(silent.size(), 3u);
    const auto took = time_to_answer(
        dispatcher, slow_call, instances,
        [&](const std::string& name)
        {
            return silent.contains(name);
        },
        milliseconds(20'000));
    cr_assert_lt(took, bound, "%lld ms", static_cast<long long>(took.count()));
}

Test(cell_approvals, quick_requests_come_before_slow_ones)
{
    approval_dispatcher dispatcher(first_epoch);
    const time_point now{};
    dispatcher.add(request("slow", 4, slow_call), now);
    dispatcher.add(request("quick", 0, quick_call), now);
    const auto first = dispatcher.assign(names(1), now);
    cr_assert_eq(first.size(), 1u);
    cr_assert_eq(first[0].request.step.job, job_id("quick"));
}

// Guards against slow calls that occupy three of five instances during a burst
// of quick ones, after three of eight instances were cut off (scenario
// wischwerk-zh scale-2).
Test(cell_approvals, slow_calls_leave_instances_for_a_burst_of_quick_ones)
{
    approval_dispatcher dispatcher(first_epoch);
    time_point now{};
    // Quick calls for 70 steps a second keep two instances busy.
    for (int i = 0; i < 140; ++i)
    {
        now += milliseconds(14);
        dispatcher.add(request("quick", 0, quick_call), now);
        for (const auto& item : dispatcher.assign(names(5), now))
        {
            (void)dispatcher.answered(item.number, now);
        }
    }
    for (int i = 0; i < 5; ++i)
    {
        dispatcher.add(request("slow" + std::to_string(i), 4, slow_call), now);
    }
    const auto assigned = dispatcher.assign(names(5), now);
    cr_assert_leq(assigned.size(), 2u);
    cr_assert_geq(assigned.size(), 1u);
}

// Both owners may have used the same request numbers, and the instance that
// answers may know only the later owner.
Test(cell_approvals, an_answer_to_an_earlier_owner_is_ignored)
{
    const time_point now{};
    approval_dispatcher earlier(first_epoch);
    approval_dispatcher later(first_epoch + 1);
    earlier.add(request("first", 0, quick_call), now);
    later.add(request("second", 0, quick_call), now);
    const auto old_number = earlier.assign(names(1), now).at(0).number;
    const auto new_number = later.assign(names(1), now).at(0).number;
    cr_assert(!later.answered(old_number, now));
    const auto own = later.answered(new_number, now);
    cr_assert(own && own->request.step.job == job_id("second"));
}

Test(cell_approvals, without_quick_ones_slow_calls_use_most_instances)
{
    approval_dispatcher dispatcher(first_epoch);
    const time_point now{};
    for (int i = 0; i < 8; ++i)
    {
        dispatcher.add(request("slow" + std::to_string(i), 4, slow_call), now);
    }
    cr_assert_eq(dispatcher.assign(names(8), now).size(), 6u);
}

Test(cell_approvals, a_timed_out_request_fails_and_its_instance_cools_down)
{
    approval_dispatcher dispatcher(first_epoch);
    time_point now{};
    dispatcher.add(request("quick", 0, quick_call), now);
    cr_assert_eq(dispatcher.assign(names(1), now).size(), 1u);
    now += milliseconds(600);
    const auto lost = dispatcher.take_timed_out(now);
    cr_assert_eq(lost.size(), 1u);
    cr_assert_eq(lost.front().instance, "i0");
    cr_assert_eq(lost.front().request.step.job, job_id("quick"));
    dispatcher.add(request("quick", 0, quick_call), now);
    cr_assert(dispatcher.assign(names(1), now).empty());
    cr_assert_eq(dispatcher.assign(names(2), now).size(), 1u);
}

// Guards against an instance that can't reach the service and is chosen again
// at each attempt, as it is idle again at once.
Test(cell_approvals, an_instance_whose_call_failed_is_not_chosen_again)
{
    approval_dispatcher dispatcher(first_epoch);
    time_point now{std::chrono::hours(1)};
    std::set<std::string> chosen;
    auto item = request("step", 0, quick_call);
    for (int i = 0; i < 3; ++i)
    {
        dispatcher.add(item, now);
        const auto sent = dispatcher.assign(names(5), now);
        cr_assert_eq(sent.size(), 1u);
        cr_assert(chosen.insert(sent.front().instance).second,
                  "%s again at attempt %d", sent.front().instance.c_str(), i);
        cr_assert(dispatcher.failed(sent.front().number, now));
        ++item.unanswered;
        now += milliseconds(60);
    }
}

// Guards against a cell that asks no longer because all calls have failed.
Test(cell_approvals, after_failed_calls_of_all_instances_one_is_tried_again)
{
    approval_dispatcher dispatcher(first_epoch);
    time_point now{std::chrono::hours(1)};
    for (int i = 0; i < 3; ++i)
    {
        dispatcher.add(request("step", 0, quick_call), now);
        const auto sent = dispatcher.assign(names(3), now);
        cr_assert_eq(sent.size(), 1u);
        (void)dispatcher.failed(sent.front().number, now);
    }
    now += milliseconds(300);
    dispatcher.add(request("step", 0, quick_call), now);
    cr_assert_eq(dispatcher.assign(names(3), now).size(), 1u);
}

// Guards against a ready step whose request waits behind others since it was
// made early.
Test(cell_approvals, a_request_of_higher_priority_replaces_the_waiting_one)
{
    approval_dispatcher dispatcher(first_epoch);
    const time_point now{std::chrono::hours(1)};
    auto early = request("ready", 1, quick_call);
    early.workers = {worker_id("w1")};
    dispatcher.add(early, now);
    dispatcher.add(request("other", 1, quick_call), now);
    auto ready = request("ready", 0, quick_call);
    ready.workers = {worker_id("w2")};
    dispatcher.add(request("early", 1, quick_call), now);
    dispatcher.add(ready, now);
    cr_assert_eq(dispatcher.waiting(), 3u);
    const auto sent = dispatcher.assign(names(1), now);
    cr_assert_eq(sent.size(), 1u);
    cr_assert_eq(sent.front().request.step.job, job_id("ready"));
    cr_assert(sent.front().request.workers == ready.workers);
    dispatcher.add(ready, now);
    cr_assert_eq(dispatcher.waiting(), 2u);
}

// Guards against a step that starves as all answers arrive after the time-out:
// they were ignored although the tickets were valid.
Test(cell_approvals, an_answer_after_the_time_out_is_used)
{
    approval_dispatcher dispatcher(first_epoch);
    time_point now{std::chrono::hours(1)};
    dispatcher.add(request("step", 0, quick_call), now);
    const auto sent = dispatcher.assign(names(1), now);
    cr_assert_eq(sent.size(), 1u);
    now += milliseconds(600);
    cr_assert_eq(dispatcher.take_timed_out(now).size(), 1u);
    now += milliseconds(200);
    const auto answer = dispatcher.answered(sent.front().number, now);
    cr_assert(answer.has_value());
    cr_assert(answer->late);
    cr_assert_eq(answer->request.step.job, job_id("step"));
    cr_assert(!dispatcher.answered(sent.front().number, now));
}

// Guards against tickets that have run out on the way from the service.
Test(cell_approvals, the_way_of_an_answer_shortens_its_tickets)
{
    approval_dispatcher dispatcher(first_epoch);
    time_point now{std::chrono::hours(1)};
    dispatcher.add(request("step", 0, quick_call), now);
    const auto sent = dispatcher.assign(names(1), now);
    cr_assert_eq(sent.size(), 1u);
    now += quick_call + milliseconds(400);
    const auto answer = dispatcher.answered(sent.front().number, now);
    cr_assert(answer.has_value());
    cr_assert_eq(answer->age.count(), 400);
}
