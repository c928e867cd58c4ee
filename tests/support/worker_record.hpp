/// @file
/// Parses the events that the worker stand-ins record, as input of the checker.
#pragma once

#include <pimentoshunt/resources.hpp>

#include <cstdint> // int64_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::testing
{

/// @brief Kind of an event on a worker.
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
    /// Any other kind, such as fences, throttling and revocations.
    other
};

/// @brief One event: a line of the record, see tests/standins/record.hpp.
/// Members that a line does not contain are empty or 0.
struct observed_event
{
    /// Microseconds of CLOCK_BOOTTIME.
    std::int64_t at_us = 0;
    observed_kind kind = observed_kind::other;
    /// Name of the kind in the record.
    std::string kind_name;
    std::string worker;
    std::string attempt;
    std::string workload;
    std::string job;
    std::int64_t task = 0;
    /// Resources of the attempt; capacity of the worker for @c worker_started.
    resources event_resources;
    /// Connection limit of the worker, for @c worker_started.
    std::int64_t connections = 0;
    std::string reason;
    std::string request_id;
    std::string idempotency_key;
};

/// @brief Whether an event of this kind ends its attempt.
[[nodiscard]] auto ends_attempt(observed_kind kind) -> bool;

/// @brief Parses a record of JSON lines. Ignores a last line without a line
/// feed: a killed worker may have written only a part of it.
/// @throw std::exception if another line is malformed
[[nodiscard]] auto parse_record(const std::string& lines)
    -> std::vector<observed_event>;

} // namespace pimentoshunt::testing
