/// @file
/// Accounts of what the workspaces have running, and what each may start within
/// its limit. Answers demand of workspaces beyond their limits. Inputs: the
/// limits of the configuration in force, the runs that the owner knows (an order
/// counts from its sending until its end is known), and after a takeover the
/// most that workers without a report may be running. Without a configured limit
/// nothing is kept back. Called by the scheduler on the control thread; no I/O.
#pragma once

#include <pimentoshunt/cell/model.hpp>
#include <pimentoshunt/clock.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint32_t, uint64_t
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::cell::policy
{

/// @brief What one workspace uses and may use. Its address stays valid for as
/// long as its @ref workspace_usage exists.
struct workspace_account
{
    workspace_name name;
    /// Most that its runs may take; 0: no limit on that resource. The last one
    /// stays in force when the workspace is removed from the configuration.
    resources limit;
    double weight = 1.0;
    /// Taken by all runs that may be alive.
    resources used;
    /// Most that inherited runs on workers without a report may take besides.
    resources unreported;
    /// Needed by a step that the limit has kept back for long; others leave it
    /// that much.
    resources claimed;
    /// Asked for by approval requests that precede in the current pass.
    resources requested;
    /// Steps that the limit has begun to keep back since the counter was read.
    std::uint64_t held_back = 0;
    time_point logged_at;
    /// When a job beyond its rate last came to count as within it, for its age.
    time_point aged_at;

    /// @brief Whether any resource is limited.
    [[nodiscard]] auto is_limited() const noexcept -> bool
    {
        return limit != resources{};
    }
};

/// @brief What the metrics tell of a workspace.
struct workspace_count
{
    /// "other" for all that have no series of their own.
    std::string name;
    std::int64_t millicpus = 0;
    /// Accepted jobs of which no task has started.
    std::uint64_t waiting_jobs = 0;
    /// Steps that the limit has begun to keep back since the last count.
    std::uint64_t held_back = 0;

    friend auto operator==(const workspace_count&, const workspace_count&)
        -> bool = default;
};

/// Workspaces with a series of their own, the first ones by name.
inline constexpr std::size_t max_counted_workspaces = 50;

/// @brief Resources that a task of @p step counts with against its workspace's
/// limit: unlike on its worker, also the processors of a best-effort task.
[[nodiscard]] auto charge_for(const step_spec& step, std::uint32_t tasks = 1)
    -> resources;

/// @brief How many times @p need fits into @p limit beside @p taken, at most
/// @p wanted times; a limit of 0 is none.
[[nodiscard]] auto places_within(const resources& limit, const resources& taken,
                                 const resources& need, std::uint32_t wanted)
    -> std::uint32_t;

/// @brief How many tasks that need @p need each the workspace may start.
///
/// Room that an earlier step of the workspace claims is left to that step, but
/// up to half of the limit is available to every step: a claim must not stop a
/// workspace that has most of its limit free.
/// @param account  nullptr: the job belongs to no workspace
[[nodiscard]] auto startable(const workspace_account* account,
                             const resources& need, std::uint32_t wanted)
    -> std::uint32_t;

/// @brief How many tasks of a step an approval request may ask workers for: what
/// the workspace may start without the tasks of requests that precede.
[[nodiscard]] auto requestable(const workspace_account* account,
                               const resources& need, std::uint32_t wanted)
    -> std::uint32_t;

/// @brief Most that runs without a report may take.
/// @param runs  sum over all such runs
/// @param best_effort_millicpus  part of it that workers' capacity doesn't bound
/// @param capacity  of the workers that have not reported
[[nodiscard]] auto unreported_use(const resources& runs,
                                  std::int64_t best_effort_millicpus,
                                  const resources& capacity) -> resources;

/// @brief The accounts of all workspaces.
class workspace_usage
{
  public:
    /// @brief Applies limits and weights. Workspaces that are not listed keep
    /// theirs for as long as this object exists: their jobs may still run.
    auto configure(const std::vector<workspace_config>& workspaces) -> void;

    /// @brief The account of a workspace, added if there is none; nullptr for
    /// the empty name.
    [[nodiscard]] auto account_of(const workspace_name& name)
        -> workspace_account*;

    /// @brief Resets what only holds for one scheduling pass.
    auto begin_pass() -> void;

    /// @brief Whether any workspace has a limit.
    [[nodiscard]] auto has_limits() const noexcept -> bool
    {
        return m_has_limits;
    }

    /// @brief Counts for the metrics; resets the counters of kept back steps.
    /// @param waiting_jobs  by account; nullptr is ignored
    [[nodiscard]] auto take_counts(
        const std::map<const workspace_account*, std::uint64_t>& waiting_jobs)
        -> std::vector<workspace_count>;

    [[nodiscard]] auto accounts() noexcept
        -> std::map<workspace_name, workspace_account>&
    {
        return m_accounts;
    }

    [[nodiscard]] auto accounts() const noexcept
        -> const std::map<workspace_name, workspace_account>&
    {
        return m_accounts;
    }

  private:
    std::map<workspace_name, workspace_account> m_accounts;
    bool m_has_limits = false;
};

} // namespace pimentoshunt::cell::policy
