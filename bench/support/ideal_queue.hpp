/// @file
/// Reference for waiting times: a simulated central queue in front of all
/// slots, with full knowledge of arrivals and run times and without delays.
#pragma once

#include <algorithm>  // stable_sort
#include <chrono>     // nanoseconds
#include <cstddef>    // size_t
#include <functional> // greater
#include <numeric>    // iota
#include <queue>      // priority_queue
#include <set>        // set
#include <tuple>      // tie
#include <vector>     // vector

namespace pimentoshunt::bench
{

using std::chrono::nanoseconds;

/// @brief A recorded arrival; times are relative to the start of the run.
struct ideal_request
{
    nanoseconds arrived{0};
    /// Time for which the request holds its slot.
    nanoseconds run_time{0};
    /// Requests of a lower rank go first, regardless of @ref order.
    int rank = 0;
    /// Within a rank, the smallest value goes first: the arrival time for first
    /// come, first served; the deadline for earliest deadline first.
    nanoseconds order{0};
    /// The request is dropped if it has not started by this time.
    nanoseconds latest_start = nanoseconds::max();
};

/// @brief Outcome of one request.
struct ideal_answer
{
    bool started = false;
    nanoseconds wait{0};
};

namespace detail
{

/// @brief Sort key of a waiting request; the smallest goes first.
struct ideal_place
{
    int rank = 0;
    nanoseconds order{0};
    std::size_t index = 0;

    friend auto operator<(const ideal_place& left, const ideal_place& right)
        -> bool
    {
        return std::tie(left.rank, left.order, left.index) <
               std::tie(right.rank, right.order, right.index);
    }
};

} // namespace detail

/// @brief Simulates @p slots equal slots that serve @p requests without
///        preemption and without delay between an end and the next start.
/// @param requests  in any order
/// @param slots  number of requests served at once; at least 1
/// @return one answer for each request, at the same index
/// @complexity n log n in the number of requests
inline auto ideal_queue(const std::vector<ideal_request>& requests,
                        std::size_t slots) -> std::vector<ideal_answer>
{
    std::vector<std::size_t> by_arrival(requests.size());
    std::iota(by_arrival.begin(), by_arrival.end(), std::size_t{0});
    std::stable_sort(by_arrival.begin(), by_arrival.end(),
                     [&](std::size_t a, std::size_t b)
                     {
                         return requests[a].arrived < requests[b].arrived;
                     });
    std::vector<ideal_answer> answers(requests.size());
    std::set<detail::ideal_place> waiting;
    std::priority_queue<nanoseconds, std::vector<nanoseconds>,
                        std::greater<nanoseconds>>
        busy_until;
    std::size_t next = 0;
    nanoseconds now{0};
    while (next < by_arrival.size() || !waiting.empty())
    {
        const bool arrival_next =
            next < by_arrival.size() &&
            (busy_until.empty() ||
             requests[by_arrival[next]].arrived <= busy_until.top());
        if (arrival_next)
        {
            const auto index = by_arrival[next++];
            const auto& request = requests[index];
            now = request.arrived;
            waiting.insert({request.rank, request.order, index});
        }
        else
        {
            now = busy_until.top();
            busy_until.pop();
        }
        while (!waiting.empty() && busy_until.size() < slots)
        {
            const auto index = waiting.begin()->index;
            waiting.erase(waiting.begin());
            const auto& request = requests[index];
            if (now > request.latest_start)
            {
                continue;
            }
            answers[index] = {true, now - request.arrived};
            busy_until.push(now + request.run_time);
        }
    }
    return answers;
}

} // namespace pimentoshunt::bench
