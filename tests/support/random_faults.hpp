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
    milliseconds min_pause{50};
    milliseconds max_pause{500};
    /// How long a standing fault lasts.
    milliseconds min_fault_duration{50};
    milliseconds max_fault_duration{1'500};
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
