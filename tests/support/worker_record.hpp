/// @file
/// The workers' own record, read back.
#pragma once

#include <pimentoshunt/resources.hpp>

#include <cstdint> // int64_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::testing
{

/// @brief What happened at a worker.
enum class observed_kind
{
    worker_started,
    start,
    end,
    lease_expired,
    stop,
    checkpoint,
    refused,
    leaving,
    /// Fences, throttling, revocations and the like.
    other
};

/// @brief One line of the record; see tests/standins/record.hpp.
struct observed_event
{
    /// Microseconds of CLOCK_BOOTTIME.
    std::int64_t at_us = 0;
    observed_kind kind = observed_kind::other;
    /// The kind as the line names it.
    std::string kind_name;
    std::string worker;
    std::string attempt;
    std::string workload;
    std::string job;
    std::int64_t task = 0;
    resources event_resources;
    std::int64_t connections = 0;
    std::string reason;
    std::string request_id;
    std::string idempotency_key;
};

/// @brief Whether the attempt runs no more after this event.
[[nodiscard]] auto ends_attempt(observed_kind kind) -> bool;

/// @brief Parses JSON lines; a last line that was cut off is left out.
/// @throw std::exception when another line is malformed
[[nodiscard]] auto parse_record(const std::string& lines)
    -> std::vector<observed_event>;

} // namespace pimentoshunt::testing
