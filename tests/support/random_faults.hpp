/// @file
/// Seeded faults on a set of links, one after another.
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

/// @brief One link that may be hit.
struct named_link
{
    std::string name;
    fault_proxy* proxy = nullptr;
};

/// @brief How often and for how long links are hit.
struct random_fault_options
{
    std::uint64_t seed = 1;
    /// Quiet time before each fault.
    milliseconds shortest_pause{50};
    milliseconds longest_pause{500};
    /// How long a standing fault lasts.
    milliseconds shortest_hold{50};
    milliseconds longest_hold{1'500};
};

/// @brief Puts a random fault on a random link until it is destroyed, then
/// heals all links. The sequence depends on the seed only.
class random_faults
{
  public:
    /// @param links  must outlive this object
    random_faults(std::vector<named_link> links,
                  const random_fault_options& options);
    random_faults(const random_faults&) = delete;
    auto operator=(const random_faults&) -> random_faults& = delete;
    ~random_faults();

    /// @brief What was done so far, one line a fault.
    [[nodiscard]] auto log() const -> std::vector<std::string>;

  private:
    auto run(const std::stop_token& stopping) -> void;
    auto strike(const std::stop_token& stopping) -> void;
    auto hold(const std::stop_token& stopping, milliseconds how_long) -> void;
    auto between(milliseconds shortest, milliseconds longest) -> milliseconds;

    const std::vector<named_link> m_links;
    const random_fault_options m_options;
    std::mt19937_64 m_random;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_log;
    std::jthread m_thread;
};

} // namespace pimentoshunt::testing
