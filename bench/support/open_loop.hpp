/// @file
/// Open-loop load generator: seeded arrivals that don't wait for earlier
/// answers.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <httplib.h>

#include <algorithm> // stable_sort
#include <atomic>    // atomic
#include <chrono>    // duration
#include <cstddef>   // size_t
#include <latch>     // latch
#include <random>    // mt19937_64
#include <string>    // string
#include <thread>    // thread
#include <vector>    // vector

namespace pimentoshunt::bench
{

/// @brief A request to be sent.
struct planned_call
{
    std::string workload;
    std::string workspace;
    /// Priority of the workload in the plan; higher goes first.
    int priority = 0;
    /// Planned time of the arrival, from the start of the run.
    milliseconds at{0};
    milliseconds run_time{0};
    milliseconds deadline{0};
    /// Whether the results count the request.
    bool counted = true;
};

/// @brief Outcome of a planned call.
struct call_outcome
{
    int status = 0;
    /// Header Pimentoshunt-Ran: "yes", "no" or "unknown"; empty without an
    /// answer.
    std::string ran;
    /// Time from the planned arrival to the answer.
    std::chrono::nanoseconds latency{0};
    /// Time from the planned arrival until a client thread was free to send.
    std::chrono::nanoseconds client_lag{0};
};

/// @brief A period of constant arrival rate.
struct rate_phase
{
    milliseconds length{0};
    double per_second = 0;
};

/// @brief Properties that all arrivals of one workload share.
struct arrival_kind
{
    std::string workload;
    std::string workspace;
    int priority = 0;
    milliseconds shortest_run{0};
    milliseconds longest_run{0};
    milliseconds deadline{0};
    bool counted = true;
};

/// @brief Adds Poisson arrivals of @p kind over @p phases to @p calls; run
/// times are uniformly distributed.
inline auto add_arrivals(std::vector<planned_call>& calls,
                         const arrival_kind& kind,
                         const std::vector<rate_phase>& phases,
                         std::uint64_t seed) -> void
{
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<std::int64_t> run(kind.shortest_run.count(),
                                                    kind.longest_run.count());
    double begin = 0;
    for (const auto& phase : phases)
    {
        const auto end = begin + static_cast<double>(phase.length.count());
        if (phase.per_second > 0)
        {
            std::exponential_distribution<double> gap(phase.per_second / 1e3);
            for (auto at = begin + gap(random); at < end; at += gap(random))
            {
                calls.push_back({kind.workload, kind.workspace, kind.priority,
                                 milliseconds(static_cast<std::int64_t>(at)),
                                 milliseconds(run(random)), kind.deadline,
                                 kind.counted});
            }
        }
        begin = end;
    }
}

/// @brief Sends the calls at their planned times; blocks until all have ended.
/// @param calls  in the order of time
/// @param ports  caller ports of the instances; each thread uses one of them
/// @param threads  maximum number of calls in flight
/// @return one outcome for each call, at the same index
inline auto run_open_loop(const std::vector<planned_call>& calls,
                          const std::vector<int>& ports, std::size_t threads)
    -> std::vector<call_outcome>
{
    constexpr milliseconds start_delay{300};
    constexpr milliseconds answer_grace{5'000};
    std::vector<call_outcome> outcomes(calls.size());
    std::atomic<std::size_t> next{0};
    std::latch connected(static_cast<std::ptrdiff_t>(threads));
    std::latch started(1);
    time_point began;
    const auto run_caller = [&](std::size_t number)
    {
        httplib::Client client("127.0.0.1", ports[number % ports.size()]);
        client.set_keep_alive(true);
        client.set_tcp_nodelay(true);
        client.set_connection_timeout(answer_grace);
        // Opens the connection, so that its setup isn't part of a measured
        // call.
        client.Get("/services/warm-up/x");
        connected.count_down();
        started.wait();
        for (auto i = next++; i < calls.size(); i = next++)
        {
            const auto& call = calls[i];
            auto& outcome = outcomes[i];
            const auto due = began + call.at;
            const auto now = boot_clock::now();
            if (due > now)
            {
                std::this_thread::sleep_for(due - now);
            }
            outcome.client_lag = boot_clock::now() - due;
            client.set_read_timeout(call.deadline + answer_grace);
            const httplib::Headers headers{
                {"Pimentoshunt-Deadline-Ms",
                 std::to_string(call.deadline.count())}};
            const auto answer =
                client.Get("/services/" + call.workload + "/x?run_ms=" +
                               std::to_string(call.run_time.count()),
                           headers);
            outcome.latency = boot_clock::now() - due;
            if (answer)
            {
                outcome.status = answer->status;
                outcome.ran = answer->get_header_value("Pimentoshunt-Ran");
            }
        }
    };
    std::vector<std::thread> pool;
    pool.reserve(threads);
    for (std::size_t i = 0; i < threads; ++i)
    {
        pool.emplace_back(run_caller, i);
    }
    connected.wait();
    began = boot_clock::now() + start_delay;
    started.count_down();
    for (auto& thread : pool)
    {
        thread.join();
    }
    return outcomes;
}

} // namespace pimentoshunt::bench
