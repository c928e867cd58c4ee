/// @file
/// Judges a soak by what workers, store and callers have seen.
#pragma once

#include "record.hpp"

#include <string> // string
#include <vector> // vector

namespace pimentoshunt::soak
{

/// @brief A promise that was broken.
struct violation
{
    std::string rule;
    std::string job;
    /// What was seen, with times, runs and workers.
    std::string text;
};

/// @brief Finds all broken promises.
[[nodiscard]] auto check(const soak_record& record) -> std::vector<violation>;

/// @brief The time of day, as logs write it.
[[nodiscard]] auto wall_time(time_point at) -> std::string;

} // namespace pimentoshunt::soak
