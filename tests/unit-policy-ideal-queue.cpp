/// @file
/// Tests of the ideal queue that benches use as a reference.
#include "../bench/support/ideal_queue.hpp"

#include <criterion/criterion.h>

#include <vector> // vector

using pimentoshunt::bench::ideal_queue;
using pimentoshunt::bench::ideal_request;
using std::chrono::nanoseconds;

namespace
{

auto request(int arrived, int run_time, int rank = 0) -> ideal_request
{
    return {nanoseconds(arrived), nanoseconds(run_time), rank,
            nanoseconds(arrived), nanoseconds::max()};
}

} // namespace

Test(ideal_queue, serves_in_order_without_a_gap)
{
    const auto answers =
        ideal_queue({request(0, 10), request(0, 4), request(1, 5),
                     request(2, 5), request(30, 1)},
                    2);
    const std::vector<int> waits{0, 0, 3, 7, 0};
    for (std::size_t i = 0; i < waits.size(); ++i)
    {
        cr_assert(answers[i].started);
        cr_assert(answers[i].wait == nanoseconds(waits[i]));
    }
}

Test(ideal_queue, a_lower_rank_goes_first_and_late_ones_are_dropped)
{
    auto late = request(1, 1);
    late.latest_start = nanoseconds(5);
    const auto answers = ideal_queue(
        {request(0, 10), late, request(1, 2, 1), request(3, 2, 0)}, 1);
    cr_assert(!answers[1].started);
    cr_assert(answers[2].wait == nanoseconds(11));
    cr_assert(answers[3].wait == nanoseconds(7));
}
