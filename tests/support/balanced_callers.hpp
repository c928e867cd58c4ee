/// @file
/// Closed-loop callers behind a simulated load balancer that sends requests
/// only to instances whose readiness endpoint answers.
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

/// @brief Number of callers and the requests that they send.
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
    /// Time between two readiness checks of the instances.
    milliseconds readiness_interval{100};
};

/// @brief Sends requests until @ref stop is called. A request goes to a random
/// instance whose operator interface answered that it is ready at the last
/// check, over a persistent connection; no request is retried.
///
/// Each caller has a thread of its own; one more thread checks readiness. The
/// constructor starts them, the test's thread stops them.
class balanced_callers
{
  public:
    /// @param test_cell  must outlive this object; its instances must keep
    /// their ports
    balanced_callers(cell& test_cell, const balanced_caller_options& options);

    /// @brief Waits for the requests in flight, then ends all callers.
    /// @return the records of all requests
    auto stop() -> std::vector<call_record>;

    /// @brief Number of responses with status 200 so far.
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
