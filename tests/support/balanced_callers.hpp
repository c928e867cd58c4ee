/// @file
/// Callers behind a balancer that watches readiness.
#pragma once

#include "caller.hpp"
#include "cell.hpp"

#include <pimentoshunt/clock.hpp>

#include <atomic>     // atomic
#include <cstdint>    // uint64_t
#include <mutex>      // mutex
#include <stop_token> // stop_token
#include <string>     // string
#include <thread>     // jthread
#include <vector>     // vector

namespace pimentoshunt::testing
{

/// @brief How many callers there are and what they ask for.
struct balanced_caller_options
{
    std::uint64_t seed = 1;
    std::string id_prefix = "b";
    std::size_t callers = 6;
    std::string workload = "desk";
    bool idempotent = false;
    milliseconds min_run_time{1};
    milliseconds max_run_time{20};
    milliseconds pause{5};
    milliseconds timeout{15'000};
    /// Between two looks at an instance's readiness.
    milliseconds readiness_interval{100};
};

/// @brief Makes requests until it is stopped. A request goes to an instance
/// whose operator interface last answered that it is ready, over a connection
/// that is kept; none is retried.
class balanced_callers
{
  public:
    /// @param test_cell  outlives this object; its instances keep their ports
    balanced_callers(cell& test_cell, const balanced_caller_options& options);

    /// @brief Ends the load after the requests that are under way.
    /// @return all records
    auto stop() -> std::vector<call_record>;

    /// @brief Answers with status 200 so far.
    [[nodiscard]] auto served() const -> std::uint64_t;

  private:
    struct target
    {
        int entry_port = 0;
        int operator_port = 0;
    };

    auto poll_readiness(const std::stop_token& stopping) -> void;
    auto run(const std::stop_token& stopping, std::size_t number) -> void;
    [[nodiscard]] auto ready_ports() -> std::vector<int>;

    const balanced_caller_options m_options;
    std::vector<target> m_targets;
    std::mutex m_mutex;
    std::vector<int> m_ready;
    std::vector<call_record> m_records;
    std::atomic<std::uint64_t> m_served{0};
    std::vector<std::jthread> m_threads;
};

} // namespace pimentoshunt::testing
