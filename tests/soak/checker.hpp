/// @file
/// Checks the record of a soak for violations of the product's guarantees. Called
/// once, after all instances have been stopped.
#pragma once

#include "record.hpp"

#include <string> // string
#include <vector> // vector

namespace pimentoshunt::soak
{

/// @brief A violated guarantee.
struct violation
{
    /// TWICE, LIMIT, ORDER, UNASKED, REFUSED, MIXED or LOST.
    std::string rule;
    /// ID of the job.
    std::string job;
    /// The recorded events, with times, runs and workers.
    std::string text;
};

/// @brief Returns all violations in @p record.
[[nodiscard]] auto check(const soak_record& record) -> std::vector<violation>;

/// @brief Formats the UTC time of day as HH:MM:SS.mmm, as in the logs.
[[nodiscard]] auto wall_time(time_point at) -> std::string;

} // namespace pimentoshunt::soak
