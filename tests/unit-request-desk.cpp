#include <pimentoshunt/entry/request_desk.hpp>
#include <pimentoshunt/ownership/demand_tracker.hpp>

#include <criterion/criterion.h>

#include <numeric> // accumulate

using namespace pimentoshunt;
using entry::request_desk;

namespace
{

constexpr time_point start{std::chrono::seconds(100)};
const instance_id i1("i1");
const instance_id i2("i2");

/// A plan of one service, and a desk.
struct desk_case
{
    plan::plan_ptr in_force = make_plan();
    request_desk desk{{4, milliseconds(4), milliseconds(1'000)}, 1};
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

    auto add(milliseconds limit) -> entry::ticket_ptr
    {
        auto item = std::make_shared<entry::ticket>(
            ++numbers, in_force, &in_force->parsed.workloads.front(), start,
            start + limit);
        desk.arrived(item, start);
        return item;
    }

    auto asked_of(const instance_id& owner) -> std::int64_t
    {
        const auto lines = desk.demand_of(owner);
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

auto answer_of(const entry::ticket_ptr& item) -> entry::placement_answer
{
    return item->wait_until(boot_clock::now()).value();
}

} // namespace

Test(request_desk, asks_one_owner_with_room_then_all)
{
    desk_case c;
    c.desk.owner_alive(i1, 5);
    c.desk.owner_alive(i2, 5);
    const auto item = c.add(std::chrono::seconds(1));
    cr_assert(c.asked_of(i1) + c.asked_of(i2) == 1);
    c.desk.tick(start + milliseconds(4));
    cr_assert(c.asked_of(i1) == 1 && c.asked_of(i2) == 1);
}

Test(request_desk, asks_all_owners_when_none_has_room)
{
    desk_case c;
    c.desk.owner_alive(i1, 0);
    c.desk.owner_alive(i2, 0);
    c.add(std::chrono::seconds(1));
    cr_assert(c.asked_of(i1) == 1 && c.asked_of(i2) == 1);
}

Test(request_desk, gives_a_grant_to_the_most_urgent)
{
    desk_case c;
    const auto late = c.add(std::chrono::seconds(9));
    const auto soon = c.add(std::chrono::seconds(1));
    cr_assert(c.desk.bind(grant_named("a")));
    cr_assert(std::holds_alternative<entry::grant>(answer_of(soon)));
    cr_assert(c.desk.size() == 1);
}

Test(request_desk, gives_back_a_grant_that_nobody_waits_for)
{
    desk_case c;
    cr_assert(!c.desk.bind(grant_named("a")));
    const auto given_up = c.add(std::chrono::seconds(1));
    cr_assert(!given_up->wait_until(boot_clock::now()));
    cr_assert(!c.desk.bind(grant_named("b")));
}

Test(request_desk, refuses_at_once_past_the_limit_and_past_the_deadline)
{
    desk_case c;
    for (int i = 0; i < 4; ++i)
    {
        c.add(std::chrono::seconds(1));
    }
    const auto fifth = answer_of(c.add(std::chrono::seconds(1)));
    cr_assert(std::get<entry::refusal>(fifth).reason ==
              entry::refusal_reason::queue_full);
    const auto expired = answer_of(c.add(milliseconds(0)));
    cr_assert(std::get<entry::refusal>(expired).reason ==
              entry::refusal_reason::deadline_passed);
}

Test(request_desk, cancelled_requests_leave_nothing_behind)
{
    desk_case c;
    c.desk.owner_alive(i1, 1);
    for (int i = 0; i < 4; ++i)
    {
        c.add(std::chrono::seconds(1));
    }
    for (std::uint64_t number = 1; number <= 4; ++number)
    {
        c.desk.cancelled(number);
    }
    cr_assert(c.desk.size() == 0);
    cr_assert(c.asked_of(i1) == 0);
}

Test(request_desk, asks_the_others_when_the_asked_owner_dies)
{
    desk_case c;
    c.desk.owner_alive(i1, 5);
    c.add(std::chrono::seconds(1));
    c.desk.owner_gone(i1);
    c.desk.owner_alive(i2, 0);
    cr_assert(c.asked_of(i2) == 1);
}

Test(demand_tracker, deducts_grants_on_their_way_until_they_are_seen)
{
    desk_case c;
    ownership::demand_tracker tracker{milliseconds(1'000)};
    const entry::asked_line line{workload_name("s"), 2,
                                 start + std::chrono::seconds(1), start};
    tracker.set_demand(i2, {line}, 0);
    const auto number = tracker.granted(i2, {workload_name("s")}, start);
    cr_assert(tracker.lines(c.in_force->parsed, start).front().count == 1);
    tracker.set_demand(i2, {line}, number);
    cr_assert(tracker.lines(c.in_force->parsed, start).front().count == 2);
}

Test(demand_tracker, grants_that_were_lost_are_deducted_no_longer)
{
    desk_case c;
    ownership::demand_tracker tracker{milliseconds(1'000)};
    const entry::asked_line line{workload_name("s"), 1,
                                 start + std::chrono::seconds(9), start};
    tracker.set_demand(i2, {line}, 0);
    tracker.granted(i2, {workload_name("s")}, start);
    cr_assert(tracker.lines(c.in_force->parsed, start).empty());
    const auto later = start + milliseconds(1'001);
    cr_assert(tracker.lines(c.in_force->parsed, later).size() == 1);
}

Test(request_desk, refuses_what_can_no_longer_end_in_time)
{
    desk_case at;
    at.desk.expect_run(workload_name("s"), milliseconds(400));
    const auto item = at.add(milliseconds(1'000));
    at.desk.tick(start + milliseconds(599));
    cr_expect(at.desk.size() == 1);
    at.desk.tick(start + milliseconds(600));
    const auto answer = answer_of(item);
    cr_assert(std::holds_alternative<entry::refusal>(answer));
    cr_expect(at.desk.size() == 0);
}

Test(request_desk, leaves_half_of_the_limit_for_waiting)
{
    desk_case at;
    at.desk.expect_run(workload_name("s"), milliseconds(60'000));
    const auto item = at.add(milliseconds(1'000));
    at.desk.tick(start + milliseconds(499));
    cr_expect(at.desk.size() == 1);
    cr_expect(at.desk.bind(grant_named("a")));
    cr_expect(std::holds_alternative<entry::grant>(answer_of(item)));
}
