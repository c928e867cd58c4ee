/// @file
/// Checks the guarantees of the system on the history of a test run, from the
/// records of the workers and callers alone.
#pragma once

#include "caller.hpp"
#include "worker_record.hpp"

#include <pimentoshunt/clock.hpp>

#include <cstdint>  // int64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::testing
{

/// @brief Guarantee that was violated.
enum class violation_kind
{
    /// The attempts on a worker used more resources than its capacity.
    over_capacity,
    /// A worker ran more attempts at the same time than its connection limit.
    over_connections,
    /// Two attempts of a task ran at the same time, on one or two workers.
    task_twice,
    /// A complete response does not belong to its request.
    wrong_answer,
    /// The response said that the request did not run, but a worker started it.
    not_run_but_started,
    /// The response said that the request ran, but no worker started it.
    run_but_not_started,
    /// A non-idempotent request, or the requests of one idempotency key,
    /// started more than once.
    started_twice,
    /// Requests with the same idempotency key got different responses.
    unlike_answers,
    /// A leaving worker started an attempt after the grace period.
    started_while_leaving,
    /// A response does not state whether the request ran.
    no_claim
};

/// @brief Returns the name of the kind, as shown in failing assertions.
[[nodiscard]] auto to_string(violation_kind kind) -> std::string;

/// @brief One violation of a guarantee, with the event or request concerned.
struct violation
{
    violation_kind kind = violation_kind::over_capacity;
    std::string message;
};

/// @brief Time at which a test killed a worker's process, which ended all
/// attempts on that worker.
struct worker_kill
{
    std::string worker;
    /// Microseconds of CLOCK_BOOTTIME.
    std::int64_t at_us = 0;
};

/// @brief Input of the checker: all recorded events and calls of a test run.
struct run_history
{
    /// Events of each worker in the order of its record; events of different
    /// workers may be interleaved.
    std::vector<observed_event> events;
    std::vector<call_record> calls;
    std::vector<worker_kill> kills;
    /// Time for which a leaving worker may still receive starts. Not checked if
    /// empty.
    std::optional<milliseconds> leaving_grace_period;
};

/// @brief Checks all guarantees.
/// @return all violations; empty if the system kept all guarantees
/// @complexity O(n log n) in the number of events and calls
[[nodiscard]] auto find_violations(const run_history& history)
    -> std::vector<violation>;

/// @brief Formats violations as one line each, for a failing assertion.
[[nodiscard]] auto describe(const std::vector<violation>& violations)
    -> std::string;

} // namespace pimentoshunt::testing
