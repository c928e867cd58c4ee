/// @file
/// Decides whether a job is refused when it is submitted: because it can never
/// run, or because it could not start before it is worthless.
///
/// Load: jobs larger than any worker, or more waiting work than can be started in
/// three times the objective of a new job.
///
/// Inputs: the owner's view of a service, which its heartbeats carry; usually
/// 0.15 to 0.3 s old. With an older view than @ref max_view_age, or none,
/// nothing is refused.
///
/// Used by the owner and by all instances on the control thread; no I/O.
#pragma once

#include <pimentoshunt/cell/model.hpp>
#include <pimentoshunt/cell/policy/overload_selection.hpp>

#include <chrono>   // seconds
#include <cstddef>  // size_t
#include <cstdint>  // uint32_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::cell::policy
{

/// Oldest view by which a job is refused.
inline constexpr milliseconds max_view_age{3'000};
/// Most kinds of workers of one service that a view lists: heartbeats also go to
/// instances with 10 Mbit/s.
inline constexpr std::size_t max_worker_kinds = 32;

/// Age of an ownership up to which further kinds may be missing: workers of a cell
/// that has just begun register one after the other.
inline constexpr milliseconds time_to_learn_kinds{10'000};

/// @brief What some workers of a service offer when they are empty.
struct worker_kind
{
    resources capacity;
    /// Sorted.
    std::vector<std::string> labels;
};

/// @brief When a new job of a priority would start.
struct start_estimate
{
    std::uint32_t priority = 0;
    milliseconds start_in{0};
};

/// @brief What the owner knows of a service.
struct service_view
{
    /// Kinds of workers that the owner has seen; none is smaller than another one
    /// in everything.
    std::vector<worker_kind> kinds;
    /// Whether further kinds are missing, so that nothing is too large.
    bool incomplete = false;
    /// By priority, the highest first; empty: capacity is not short.
    std::vector<start_estimate> starts;

    /// @brief Adds a worker's kind unless another one offers as much.
    auto add_kind(worker_kind kind) -> void;
};

/// @brief Why a job is refused.
struct refusal
{
    /// Whether no later submission can succeed either.
    bool never_runs = false;
    std::string why;
    /// When to submit it again; only without @ref never_runs.
    std::chrono::seconds retry_after{0};
};

/// @brief Estimates when new jobs would start, from what waits.
[[nodiscard]] auto estimate_starts(const overload_summary& backlog,
                                   const overload_selection& selection,
                                   time_point now)
    -> std::vector<start_estimate>;

/// @brief Decides on a new job.
/// @param age  of the view
/// @return nothing if the job is to be accepted
[[nodiscard]] auto find_refusal(const job_spec& job, const service_view& view,
                                milliseconds age) -> std::optional<refusal>;

} // namespace pimentoshunt::cell::policy
