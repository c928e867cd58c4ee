/// @file
/// Who takes the cell over when its owner ends. Answers instances of unequal
/// size of which few can carry the cell, and many that notice at the same
/// moment that it is free. No I/O and no clock.
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

/// @brief An instance that could own the cell, as the owner last heard of it.
struct candidate
{
    std::string name;
    data_centre_name data_centre;
    /// Its share of processors, in thousandths of one; 0: not known.
    std::int64_t millicpus = 0;
    /// By how much its timers are late.
    milliseconds lag{0};
    milliseconds heard_age{0};
    /// Since the store last answered it; nothing: its last call failed.
    std::optional<milliseconds> store_age;
    /// Whether it takes requests, so does not stop.
    bool serving = false;
};

/// @brief Limits of the succession.
struct succession_options
{
    /// Instances that the owner names.
    std::size_t max_successors = 3;
    /// Processors of an instance that carries a cell of some hundred workers,
    /// in thousandths of one.
    std::int64_t enough_millicpus = 250;
    /// A candidate must have been heard, and have reached the store, within
    /// these times: greetings come every 300 ms, the configuration's feed
    /// answers at least once a second.
    milliseconds heard_within{1'000};
    milliseconds store_within{2'000};
    milliseconds max_lag{100};
    /// Time that each named instance has before the next one tries.
    milliseconds turn{250};
    /// Instances that are not named spread their tries over such a time: first
    /// those with enough processors, then the others.
    milliseconds enough_spread{200};
    milliseconds weak_spread{1'000};
};

/// @brief Whether an instance of that size may own the cell for long; one whose
/// size isn't known may.
[[nodiscard]] auto has_enough_cpu(std::int64_t millicpus,
                                  const succession_options& options) -> bool;

/// @brief Whether a candidate could take over now.
[[nodiscard]] auto can_take_over(const candidate& one,
                                 const succession_options& options) -> bool;

/// @brief The instances that should take over, the best one first: large ones
/// before small ones, and of those that are alike in different data centres.
/// @param epoch  of the owner; spreads the ties over the instances
[[nodiscard]] auto succession(std::vector<candidate> candidates,
                              std::uint64_t epoch,
                              const succession_options& options)
    -> std::vector<candidate>;

/// @brief How long an instance lets others try first once the cell is free.
/// @param successors  names as the last owner told them; may be empty
[[nodiscard]] auto claim_delay(const std::string& self, std::int64_t millicpus,
                               const std::vector<std::string>& successors,
                               std::uint64_t epoch,
                               const succession_options& options)
    -> milliseconds;

} // namespace pimentoshunt::cell::policy
