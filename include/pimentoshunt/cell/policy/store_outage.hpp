/// @file
/// When a caller that the store's outage has refused should try again.
///
/// Load: all callers of all instances send their jobs again while the store is
/// away, and together once it serves. Input: for how long calls of this instance
/// to the store have failed, as of its last call, at most some 0.5 s ago. Without
/// a failed call the delay is the shortest one. No I/O and no clock.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>

#include <chrono> // seconds

namespace pimentoshunt::cell::policy
{

/// @brief A delay as long as the outage, from 1 to 4 s, spread by a quarter to
/// either side by the job's ID.
///
/// With a fixed delay of 1 s the four retries that callers make ended within an
/// outage of 3 s.
[[nodiscard]] auto retry_delay(boot_clock::duration outage, const job_id& job)
    -> std::chrono::seconds;

} // namespace pimentoshunt::cell::policy
