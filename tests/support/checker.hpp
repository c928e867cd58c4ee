/// @file
/// Judges a run from the workers' and the callers' records alone.
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

/// @brief What promise was broken.
enum class violation_kind
{
    /// A worker ran more than its resources allow.
    over_capacity,
    /// A worker ran more attempts than its connections.
    over_connections,
    /// A task ran in two places, or twice in one, at a time.
    task_twice,
    /// A whole answer is not the one to its own request.
    wrong_answer,
    /// The caller was told "not run", yet it started.
    not_run_but_started,
    /// The caller was told that it ran, yet it never started.
    run_but_not_started,
    /// A non-idempotent request, or one key, started more than once.
    started_twice,
    /// One idempotency key got unlike answers.
    unlike_answers,
    /// A leaving worker started something after the bound.
    started_while_leaving,
    /// An answer does not say whether the request ran.
    no_claim
};

/// @brief The kind's name.
[[nodiscard]] auto to_string(violation_kind kind) -> std::string;

/// @brief One broken promise.
struct violation
{
    violation_kind kind = violation_kind::over_capacity;
    std::string message;
};

/// @brief A worker process that a test killed; what ran there ended then.
struct worker_kill
{
    std::string worker;
    std::int64_t at_us = 0;
};

/// @brief Everything that a run is judged from.
struct run_history
{
    /// In the order in which each worker wrote them; workers may be mixed.
    std::vector<observed_event> events;
    std::vector<call_record> calls;
    std::vector<worker_kill> kills;
    /// How long after its leaving a worker may still get starts; not checked
    /// when absent.
    std::optional<milliseconds> leaving_grace_period;
};

/// @brief Judges a run.
/// @return all violations, none when every promise was kept
/// @complexity linear-logarithmic in events and calls
[[nodiscard]] auto find_violations(const run_history& history)
    -> std::vector<violation>;

/// @brief One line a violation, for a failing assertion.
[[nodiscard]] auto describe(const std::vector<violation>& violations)
    -> std::string;

} // namespace pimentoshunt::testing
