/// @file
/// Tests of the order, expiry and cancellation of waiting requests.
#include <pimentoshunt/policy/wait_queue.hpp>

#include <criterion/criterion.h>

#include <map>    // map
#include <random> // mt19937_64
#include <vector> // vector

using namespace pimentoshunt;
using policy::wait_queue;
using policy::wait_ticket;

namespace
{

const workload_name proofs("proofs");
const workload_name plates("plates");

auto at(int ms) -> time_point
{
    return time_point(milliseconds(ms));
}

} // namespace

Test(wait_queue, orders_by_priority_then_deadline_then_arrival)
{
    wait_queue<int> queue;
    queue.push(proofs, 0, at(50), at(0), 1);
    queue.push(proofs, 0, at(40), at(0), 2);
    queue.push(proofs, 1, at(90), at(0), 3);
    queue.push(proofs, 0, at(40), at(1), 4);
    queue.push(plates, 9, at(10), at(1), 5);
    for (const int expected : {3, 2, 4, 1})
    {
        cr_assert(queue.pop(proofs, at(2)) == expected);
    }
    cr_assert(!queue.pop(proofs, at(2)).has_value());
    cr_assert(queue.size() == 1);
}

Test(wait_queue, a_late_item_goes_behind_those_that_can_make_it)
{
    wait_queue<int> queue;
    queue.push(proofs, 0, at(50), at(10), at(0), 1);
    queue.push(proofs, 0, at(60), at(20), at(0), 2);
    queue.push(proofs, 0, at(70), at(30), at(0), 3);
    queue.push(proofs, 9, at(15), at(5), at(0), 4);
    cr_assert(queue.pop(proofs, at(25)) == 3);
    cr_assert(queue.pop(proofs, at(25)) == 2, "the least late");
    cr_assert(queue.pop(proofs, at(25)) == 1);
    cr_assert(!queue.pop(proofs, at(25)).has_value(), "expired");
    cr_assert(queue.expire(at(25)).size() == 1);
}

Test(wait_queue, pop_leaves_expired_items_to_expire)
{
    wait_queue<int> queue;
    queue.push(proofs, 5, at(10), at(0), 1);
    queue.push(proofs, 5, at(20), at(0), 2);
    queue.push(proofs, 1, at(10), at(0), 3);
    queue.push(proofs, 1, at(99), at(0), 4);
    cr_assert(queue.pop(proofs, at(20)) == 4);
    cr_assert(!queue.pop(proofs, at(20)).has_value());
    cr_assert(queue.next_expiry() == at(10));
    const std::vector<int> expected{1, 3, 2};
    cr_assert(queue.expire(at(20)) == expected);
    cr_assert(queue.size() == 0);
    cr_assert(!queue.next_expiry().has_value());
}

Test(wait_queue, summary_names_next_deadline_and_oldest_arrival)
{
    wait_queue<int> queue;
    const auto first = queue.push(proofs, 0, at(50), at(3), 1);
    queue.push(proofs, 0, at(40), at(4), 2);
    auto all = queue.summaries();
    cr_assert(all.size() == 1 && all[0].count == 2);
    cr_assert(all[0].next_deadline == at(40));
    cr_assert(all[0].oldest_arrival == at(3));
    queue.cancel(first);
    cr_assert(queue.summaries()[0].oldest_arrival == at(4));
}

Test(wait_queue, a_wave_of_cancels_leaves_nothing_behind)
{
    wait_queue<int> queue;
    std::vector<wait_ticket> tickets;
    tickets.reserve(1000);
    for (int i = 0; i < 1000; ++i)
    {
        tickets.push_back(queue.push(proofs, i % 3, at(i), at(0), i));
    }
    for (const auto ticket : tickets)
    {
        cr_assert(queue.cancel(ticket).has_value());
        cr_assert(!queue.cancel(ticket).has_value());
    }
    cr_assert(queue.size() == 0 && queue.size(proofs) == 0);
    cr_assert(queue.summaries().empty());
    cr_assert(!queue.next_expiry().has_value());
    cr_assert(!queue.pop(proofs, at(0)).has_value());
}

Test(wait_queue, each_item_leaves_exactly_once_in_random_runs)
{
    std::mt19937_64 random(7);
    wait_queue<int> queue;
    std::map<wait_ticket, int> live;
    std::vector<int> left(4000, 0);
    int now = 0;
    const auto count_exit = [&](std::optional<int> item)
    {
        if (item.has_value())
        {
            ++left[static_cast<std::size_t>(*item)];
        }
    };
    for (int i = 0; i < 4000; ++i)
    {
        now += static_cast<int>(random() % 3);
        const auto& name = random() % 2 == 0 ? proofs : plates;
        const auto ticket =
            queue.push(name, static_cast<int>(random() % 4),
                       at(now + static_cast<int>(random() % 60)),
                       at(now + static_cast<int>(random() % 60)), at(now), i);
        live.emplace(ticket, i);
        count_exit(random() % 2 == 0 ? queue.pop(name, at(now)) : std::nullopt);
        const auto cancelled_ticket = 1 + random() % ticket;
        count_exit(random() % 4 == 0 ? queue.cancel(cancelled_ticket)
                                     : std::nullopt);
        if (random() % 50 == 0)
        {
            for (const int item : queue.expire(at(now)))
            {
                count_exit(item);
            }
        }
        cr_assert(queue.size() == queue.size(proofs) + queue.size(plates));
    }
    for (const int item : queue.expire(at(now + 1000)))
    {
        count_exit(item);
    }
    for (const int times : left)
    {
        cr_assert(times == 1);
    }
}
