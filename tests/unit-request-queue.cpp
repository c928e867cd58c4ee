/// @file
/// request_queue: which owners are asked, which request gets a grant, and
/// refusals; and how an owner deducts grants in transit from the demand.
#include <pimentoshunt/entry/request_queue.hpp>
#include <pimentoshunt/ownership/demand_tracker.hpp>

#include <criterion/criterion.h>

#include <numeric> // accumulate

using namespace pimentoshunt;
using entry::request_queue;

namespace
{

constexpr time_point start{std::chrono::seconds(100)};
const instance_id i1("i1");
const instance_id i2("i2");

/// A plan with one service, and a queue of at most four requests.
struct request_queue_fixture
{
    plan::plan_ptr in_force = make_plan();
    request_queue queue{{4, milliseconds(4), milliseconds(1'000)}, 1};
    std::uint64_t numbers = 0;

    static auto make_plan() -> plan::plan_ptr
    {
        auto made = std::make_shared<plan::revisioned_plan>();
        plan::workload item;
        item.name = workload_name("s");
        item.each.slots = 1;
        made->parsed.workloads.push_back(item);
        return made;
    }

    auto add(milliseconds limit) -> entry::queued_request_ptr
    {
        auto item = std::make_shared<entry::queued_request>(
            ++numbers, in_force, &in_force->parsed.workloads.front(), start,
            start + limit);
        queue.enqueue(item, start);
        return item;
    }

    auto asked_of(const instance_id& owner) -> std::int64_t
    {
        const auto lines = queue.demand_for(owner);
        return std::accumulate(lines.begin(), lines.end(), std::int64_t{0},
                               [](std::int64_t sum, const auto& line)
                               {
                                   return sum + line.count;
                               });
    }
};

auto grant_named(const std::string& name) -> entry::grant
{
    entry::grant item;
    item.attempt = attempt_id(name);
    item.workload = workload_name("s");
    return item;
}

auto placement_of(const entry::queued_request_ptr& item)
    -> entry::placement_result
{
    return item->wait_until(boot_clock::now()).value();
}

} // namespace

Test(request_queue, asks_one_owner_with_free_slots_then_all)
{
    request_queue_fixture c;
    c.queue.update_owner(i1, 5);
    c.queue.update_owner(i2, 5);
    const auto item = c.add(std::chrono::seconds(1));
    cr_assert(c.asked_of(i1) + c.asked_of(i2) == 1);
    c.queue.tick(start + milliseconds(4));
    cr_assert(c.asked_of(i1) == 1 && c.asked_of(i2) == 1);
}

Test(request_queue, asks_all_owners_when_none_has_free_slots)
{
    request_queue_fixture c;
    c.queue.update_owner(i1, 0);
    c.queue.update_owner(i2, 0);
    c.add(std::chrono::seconds(1));
    cr_assert(c.asked_of(i1) == 1 && c.asked_of(i2) == 1);
}

Test(request_queue, assigns_a_grant_to_the_most_urgent_request)
{
    request_queue_fixture c;
    const auto late = c.add(std::chrono::seconds(9));
    const auto soon = c.add(std::chrono::seconds(1));
    cr_assert(c.queue.bind(grant_named("a")));
    cr_assert(std::holds_alternative<entry::grant>(placement_of(soon)));
    cr_assert(c.queue.size() == 1);
}

Test(request_queue, returns_a_grant_that_no_request_waits_for)
{
    request_queue_fixture c;
    cr_assert(!c.queue.bind(grant_named("a")));
    const auto given_up = c.add(std::chrono::seconds(1));
    cr_assert(!given_up->wait_until(boot_clock::now()));
    cr_assert(!c.queue.bind(grant_named("b")));
}

Test(request_queue, refuses_at_once_past_the_limit_and_past_the_deadline)
{
    request_queue_fixture c;
    for (int i = 0; i < 4; ++i)
    {
        c.add(std::chrono::seconds(1));
    }
    const auto fifth = placement_of(c.add(std::chrono::seconds(1)));
    cr_assert(std::get<entry::refusal>(fifth).reason ==
              entry::refusal_reason::queue_full);
    const auto expired = placement_of(c.add(milliseconds(0)));
    cr_assert(std::get<entry::refusal>(expired).reason ==
              entry::refusal_reason::deadline_passed);
}

Test(request_queue, cancelled_requests_leave_nothing_behind)
{
    request_queue_fixture c;
    c.queue.update_owner(i1, 1);
    for (int i = 0; i < 4; ++i)
    {
        c.add(std::chrono::seconds(1));
    }
    for (std::uint64_t number = 1; number <= 4; ++number)
    {
        c.queue.cancelled(number);
    }
    cr_assert(c.queue.size() == 0);
    cr_assert(c.asked_of(i1) == 0);
}

Test(request_queue, asks_the_others_when_the_asked_owner_dies)
{
    request_queue_fixture c;
    c.queue.update_owner(i1, 5);
    c.add(std::chrono::seconds(1));
    c.queue.remove_owner(i1);
    c.queue.update_owner(i2, 0);
    cr_assert(c.asked_of(i2) == 1);
}

Test(demand_tracker, deducts_grants_on_their_way_until_they_are_seen)
{
    request_queue_fixture c;
    ownership::demand_tracker tracker{milliseconds(1'000)};
    const entry::workload_demand line{workload_name("s"), 2,
                                      start + std::chrono::seconds(1), start};
    tracker.set_demand(i2, {line}, 0);
    const auto number = tracker.granted(i2, {workload_name("s")}, start);
    cr_assert(tracker.lines(c.in_force->parsed, start).front().count == 1);
    tracker.set_demand(i2, {line}, number);
    cr_assert(tracker.lines(c.in_force->parsed, start).front().count == 2);
}

Test(demand_tracker, grants_that_were_lost_are_deducted_no_longer)
{
    request_queue_fixture c;
    ownership::demand_tracker tracker{milliseconds(1'000)};
    const entry::workload_demand line{workload_name("s"), 1,
                                      start + std::chrono::seconds(9), start};
    tracker.set_demand(i2, {line}, 0);
    tracker.granted(i2, {workload_name("s")}, start);
    cr_assert(tracker.lines(c.in_force->parsed, start).empty());
    const auto later = start + milliseconds(1'001);
    cr_assert(tracker.lines(c.in_force->parsed, later).size() == 1);
}

Test(request_queue, refuses_requests_that_can_no_longer_end_in_time)
{
    request_queue_fixture at;
    at.queue.set_expected_run_time(workload_name("s"), milliseconds(400));
    const auto item = at.add(milliseconds(1'000));
    at.queue.tick(start + milliseconds(599));
    cr_expect(at.queue.size() == 1);
    at.queue.tick(start + milliseconds(600));
    const auto placement = placement_of(item);
    cr_assert(std::holds_alternative<entry::refusal>(placement));
    cr_expect(at.queue.size() == 0);
}

Test(request_queue, leaves_half_of_the_time_limit_for_waiting)
{
    request_queue_fixture at;
    at.queue.set_expected_run_time(workload_name("s"), milliseconds(60'000));
    const auto item = at.add(milliseconds(1'000));
    at.queue.tick(start + milliseconds(499));
    cr_expect(at.queue.size() == 1);
    cr_expect(at.queue.bind(grant_named("a")));
    cr_expect(std::holds_alternative<entry::grant>(placement_of(item)));
}
