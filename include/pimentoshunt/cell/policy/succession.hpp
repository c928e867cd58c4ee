/// @file
/// Chooses the successors of an owner and staggers takeover attempts. Few of
/// the instances may be large enough to run the cell, and many notice at the
/// same moment that it has no owner. No I/O and no clock.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>

#include <cstddef>  // size_t
#include <cstdint>  // int64_t, uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::cell::policy
{

/// @brief An instance that could own the cell, as last reported to the owner.
struct candidate
{
    std::string name;
    data_centre_name data_centre;
    /// Processors available to it, in thousandths of one; 0: unknown.
    std::int64_t millicpus = 0;
    /// Mean delay of its timers.
    milliseconds lag{0};
    /// Time since the owner last heard from it.
    milliseconds heard_age{0};
    /// Time since the store last answered it; nothing: its last call failed.
    std::optional<milliseconds> store_age;
    /// Whether it accepts requests, that is, it is not shutting down.
    bool serving = false;
};

/// @brief Limits and delays of a succession.
struct succession_options
{
    /// Maximum number of successors that the owner names.
    std::size_t max_successors = 3;
    /// Processors needed to run a cell of some hundred workers, in thousandths
    /// of one.
    std::int64_t enough_millicpus = 250;
    /// A candidate must have been heard, and have reached the store, within
    /// these times. Instances send a hello every 300 ms, and the store answers
    /// the configuration feed at least once a second.
    milliseconds heard_within{1'000};
    milliseconds store_within{2'000};
    milliseconds max_lag{100};
    /// Delay between the attempts of one named successor and the next.
    milliseconds turn{250};
    /// Instances that are not named spread their attempts over these times:
    /// first those with enough processors, then the others.
    milliseconds enough_spread{200};
    milliseconds weak_spread{1'000};
};

/// @brief Whether an instance of that size may own the cell permanently; true
/// for an unknown size.
[[nodiscard]] auto has_enough_cpu(std::int64_t millicpus,
                                  const succession_options& options) -> bool;

/// @brief Whether a candidate accepts requests, was heard and reached the store
/// recently, and has a low timer lag.
[[nodiscard]] auto can_take_over(const candidate& one,
                                 const succession_options& options) -> bool;

/// @brief Selects the successors, the preferred one first: larger instances
/// before smaller ones, and among those of similar size in different data
/// centres.
/// @param epoch  of the owner; varies the order of equal candidates
/// @return at most @ref succession_options::max_successors candidates
[[nodiscard]] auto succession(std::vector<candidate> candidates,
                              std::uint64_t epoch,
                              const succession_options& options)
    -> std::vector<candidate>;

/// @brief How long an instance waits before it claims a cell without an owner.
/// @param successors  names from the last owner's heartbeat; may be empty
[[nodiscard]] auto claim_delay(const std::string& self, std::int64_t millicpus,
                               const std::vector<std::string>& successors,
                               std::uint64_t epoch,
                               const succession_options& options)
    -> milliseconds;

} // namespace pimentoshunt::cell::policy
