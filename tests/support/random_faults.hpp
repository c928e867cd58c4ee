/// @file
/// Injects seeded random faults into a set of proxied links, one at a time.
#pragma once

#include "fault_proxy.hpp"

#include <pimentoshunt/clock.hpp>

#include <cstdint>    // uint64_t
#include <mutex>      // mutex
#include <random>     // mt19937_64
#include <stop_token> // stop_token
#include <string>     // string
#include <thread>     // jthread
#include <vector>     // vector

namespace pimentoshunt::testing
{

/// @brief Proxied link with the name that the log shows.
struct named_link
{
    std::string name;
    fault_proxy* proxy = nullptr;
};

/// @brief Seed, frequency and duration of the faults.
struct random_fault_options
{
    std::uint64_t seed = 1;
    /// Range of the time without faults before each fault.
    milliseconds min_pause{50};
    milliseconds max_pause{500};
    /// Range of the time after which a fault is cleared.
    milliseconds min_fault_duration{50};
    milliseconds max_fault_duration{1'500};
};

/// @brief Injects random faults into random links on a thread of its own. The
/// destructor stops the thread and clears the faults of all links. The sequence
/// of faults depends on the seed and the list of links only.
class random_faults
{
  public:
    /// @param links  their proxies must outlive this object
    random_faults(std::vector<named_link> links,
                  const random_fault_options& options);
    random_faults(const random_faults&) = delete;
    auto operator=(const random_faults&) -> random_faults& = delete;
    ~random_faults();

    /// @brief Returns the injected faults so far, one line per fault.
    /// Thread-safe.
    [[nodiscard]] auto log() const -> std::vector<std::string>;

  private:
    auto run(const std::stop_token& stopping) -> void;
    auto inject_fault(const std::stop_token& stopping) -> void;
    auto wait_for_stop(const std::stop_token& stopping, milliseconds duration)
        -> void;
    auto random_duration(milliseconds minimum, milliseconds maximum)
        -> milliseconds;

    const std::vector<named_link> m_links;
    const random_fault_options m_options;
    std::mt19937_64 m_random;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_log;
    std::jthread m_thread;
};

} // namespace pimentoshunt::testing
