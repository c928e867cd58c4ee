/// @file
/// Order in which waiting steps are placed on workers. It matters when bursts
/// of short and long work together need more than the cell has. Called by the
/// scheduler on the control thread; no I/O.
#pragma once

#include <pimentoshunt/cell/detail/records.hpp>
#include <pimentoshunt/cell/policy/overload_selection.hpp>
#include <pimentoshunt/clock.hpp>

#include <cstdint> // uint32_t
#include <vector>  // vector

namespace pimentoshunt::cell::policy
{

/// @brief A ready step with at least one task that has not started.
struct waiting_step
{
    detail::job_record* job = nullptr;
    detail::round_record* round = nullptr;
    detail::step_record* step = nullptr;
    /// When the objective of its round ends.
    time_point due;
    /// Latest start with which the estimated rest of the job still meets the
    /// objective; under overload the time by which its lateness class is ordered.
    time_point latest_start;
    /// Estimated length of its longest chain of steps to the end of the job.
    milliseconds chain{0};
    /// Whether finishing it is worth nothing to its caller any more.
    bool expired = false;
    /// Whether its job is beyond the rate of its workspace, and the share of that
    /// workspace in increments; see workspace_order.hpp.
    bool beyond_rate = false;
    std::uint32_t share_increment = 0;
    /// As chosen under overload; otherwise only tells whether it is expired.
    lateness_class lateness = lateness_class::chosen;
};

/// Increments of share that a workspace is entitled to; finer ones would replace
/// the order of deadlines, coarser ones let one workspace fall behind by more.
inline constexpr std::uint32_t increments_of_share = 8;

/// A job is worth less after its objective, and nothing after this many times
/// the objective.
inline constexpr int worthless_after_objectives = 3;

/// @brief Sums of the estimates along the longest dependency chains that start
/// with each step and end with the job.
/// @complexity quadratic in the number of steps
[[nodiscard]] auto critical_paths(const job_spec& job)
    -> std::vector<milliseconds>;

/// @brief Time within which a round of @p job should finish: its longest
/// dependency chain times the queue's stretch, plus the queue's allowance.
/// @param factor  between the declared and the real run times of its queue
[[nodiscard]] auto objective(const job_spec& job, double factor = 1.0)
    -> milliseconds;

/// @brief The same for a known longest chain of steps.
[[nodiscard]] auto objective(const queue_config& queue, milliseconds chain,
                             double factor = 1.0) -> milliseconds;

/// @brief Computes the chains of a job from its specification.
auto set_chains(detail::job_record& job) -> void;

/// @brief Sets the deadline, latest start, expiry and lateness of @p item.
/// @param factor  between the declared and the real run times of its queue
auto compute_deadlines(waiting_step& item, time_point now, double factor = 1.0)
    -> void;

/// @brief Sorts steps within the rates of their workspaces before those beyond,
/// then by priority, lateness class, share increment and latest start. Steps
/// beyond the share of their workspace come after the others of their priority
/// that have not expired: the lateness class is chosen without regard to shares.
/// @complexity n log n
auto sort(std::vector<waiting_step>& items) -> void;

} // namespace pimentoshunt::cell::policy
