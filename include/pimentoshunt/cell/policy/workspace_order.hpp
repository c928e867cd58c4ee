/// @file
/// Order between workspaces when capacity is short: jobs within the rate of their
/// workspace come before those beyond it, and among equals the workspace with the
/// smaller share comes first. Answers demand of one workspace that would delay the
/// others. Inputs: when the jobs were accepted (from the stored rows, so that each
/// owner marks the same jobs), and of the current pass the capacity of the workers
/// and what the workspaces have running. Jobs without a workspace are within the
/// rate and share as one workspace of weight 1. With a single workspace the order
/// is that of the deadlines. Called by the scheduler on the control thread; no I/O.
#pragma once

#include <pimentoshunt/cell/model.hpp>
#include <pimentoshunt/cell/policy/dispatch_order.hpp>
#include <pimentoshunt/cell/policy/workspace_usage.hpp>

#include <map>      // map
#include <optional> // optional
#include <utility>  // pair
#include <vector>   // vector

namespace pimentoshunt::cell::policy
{

/// @brief Whether a job is beyond the rate of its workspace.
struct rate_mark
{
    job_id job;
    bool is_beyond = false;
};

/// @brief Token bucket of one workspace: it refills at its weight in jobs a
/// second and holds what one second brings, at least one job. A job beyond the
/// rate takes no token.
class job_rate
{
  public:
    /// @brief Adds a job, in any order; jobs count in the order of acceptance.
    auto add(const job_id& job, calendar_time accepted_at) -> void;

    /// @brief Marks the jobs that were added since the last call, and those after
    /// them in the order of acceptance.
    /// @return these jobs with their marks
    /// @complexity linear in their number
    auto update(double weight) -> std::vector<rate_mark>;

  private:
    using position = std::pair<calendar_time, job_id>;
    /// The bucket after a job.
    struct bucket
    {
        calendar_time at{};
        double tokens = 0;
    };

    /// The bucket before the first of @ref m_jobs; nothing: it is full.
    std::optional<bucket> m_before;
    std::map<position, bucket> m_jobs;
    /// First job that has to be marked.
    std::optional<position> m_unmarked;
};

/// @brief Marks for all workspaces.
class workspace_rates
{
  public:
    /// @param accepted_at  the epoch of the clock: not known, so that the job is
    ///                     within the rate
    auto add(const workspace_account* account, const job_id& job,
             calendar_time accepted_at) -> void;

    /// @brief Marks new jobs, with the weights in force.
    /// @return jobs whose marks may have changed
    auto update() -> std::vector<rate_mark>;

  private:
    std::map<const workspace_account*, job_rate> m_rates;
    /// Workspaces with jobs that have to be marked.
    std::vector<const workspace_account*> m_changed;
};

/// Wait after which a job beyond the rate may count as within it.
inline constexpr milliseconds beyond_rate_wait{10'000};
/// Longest time between two such jobs of one workspace.
inline constexpr milliseconds longest_aged_interval{20'000};

/// @brief Lets jobs beyond the rate of their workspace that have waited for
/// @ref beyond_rate_wait count as within it and go first in their priority, a
/// 32nd of the rate and at least one job each @ref longest_aged_interval:
/// behind an endless stream of jobs within their rates they would never start.
/// @param items  in the order of arrival
/// @complexity linear in the number of items
auto admit_aged(std::vector<waiting_step>& items, time_point now) -> void;

/// @brief Capacity and use of all workers.
struct cell_load
{
    resources capacity;
    resources used;
};

/// @brief Largest share that @p used takes of any resource of @p capacity.
[[nodiscard]] auto dominant_share(const resources& used,
                                  const resources& capacity) -> double;

/// @brief Sets the share increment of each item: the share that its workspace
/// will have once it has started what precedes the item, in eighths of its fair
/// share. Items of one workspace that fall into one increment stay in the order of
/// their deadlines with those of the others.
/// @param items  sorted without regard to shares
/// @param accounts  of all workspaces
/// @complexity linear in the number of items and accounts
auto set_share_increments(
    std::vector<waiting_step>& items,
    const std::map<workspace_name, workspace_account>& accounts,
    const cell_load& load) -> void;

/// @brief Whether the items belong to more than one workspace.
[[nodiscard]] auto
are_workspaces_competing(const std::vector<waiting_step>& items) -> bool;

} // namespace pimentoshunt::cell::policy
