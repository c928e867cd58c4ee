/// @file
/// Baselines without a central queue: a worker chosen at random, or the less
/// loaded of several random ones; each worker has its own queue.
#pragma once

#include "quality_run.hpp"

#include <algorithm>  // min_element
#include <functional> // greater
#include <queue>      // priority_queue
#include <random>     // mt19937_64
#include <vector>     // vector

namespace pimentoshunt::bench
{

/// @brief Simulates @p arrivals, which must be sorted by time. Each goes to the
///        least loaded of @p choices random workers, which serves first come,
///        first served.
/// @return waiting time of each arrival, at the same index
inline auto random_choice(const std::vector<arrival>& arrivals,
                          std::size_t workers, std::size_t slots, int choices,
                          unsigned seed) -> std::vector<nanoseconds>
{
    using ends = std::priority_queue<nanoseconds, std::vector<nanoseconds>,
                                     std::greater<nanoseconds>>;
    std::mt19937_64 random(seed);
    // For each worker, the time at which each slot is next free, and the end
    // times of the arrivals sent to the worker.
    std::vector<std::vector<nanoseconds>> free_at(
        workers, std::vector<nanoseconds>(slots, nanoseconds(0)));
    std::vector<ends> sent(workers);
    std::vector<nanoseconds> waits;
    waits.reserve(arrivals.size());
    for (const auto& item : arrivals)
    {
        std::size_t best = workers;
        for (int i = 0; i < choices; ++i)
        {
            const auto drawn = random() % workers;
            while (!sent[drawn].empty() && sent[drawn].top() <= item.at)
            {
                sent[drawn].pop();
            }
            if (best == workers || sent[drawn].size() < sent[best].size())
            {
                best = drawn;
            }
        }
        auto& slot =
            *std::min_element(free_at[best].begin(), free_at[best].end());
        const auto begin = std::max(slot, item.at);
        waits.push_back(begin - item.at);
        slot = begin + item.run_time;
        sent[best].push(slot);
    }
    return waits;
}

} // namespace pimentoshunt::bench
