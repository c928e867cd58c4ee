/// @file
/// The operators' text as typed data: what is to run, for whom, and how.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/resources.hpp>

#include <cstdint> // uint64_t
#include <memory>  // shared_ptr
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::plan
{

/// @brief How a workload is scheduled.
enum class work_class
{
    /// Short requests that a caller waits for.
    service,
    /// Independent tasks that may wait and be checkpointed.
    batch,
    /// Tasks that start all together or not at all.
    gang
};

/// @brief The class's name in the plan.
[[nodiscard]] auto to_string(work_class value) -> std::string;

/// @brief A customer and its share of the cell.
struct workspace
{
    workspace_name name;
    /// The most that the workspace's work may hold at once while others wait.
    resources quota;
};

/// @brief One service, batch or gang workload.
struct workload
{
    workload_name name;
    workspace_name workspace;
    work_class cls = work_class::service;
    /// What one task or one request takes.
    resources each;
    /// Gang size: tasks that start together; 1 for the other classes.
    std::int64_t tasks = 1;
    /// Longest time from arrival to answer, unless the caller gives another.
    milliseconds deadline{30'000};
    /// Declared run time of one task; often far off.
    milliseconds run_time{1'000};
    /// Whether running it twice does no harm.
    bool idempotent = false;
    /// Higher goes first within a class; 0 to 9.
    int priority = 0;
    /// Path prefix at the worker that answers it.
    std::string path;
    /// Names of workloads that must be in the plan for this one to work.
    std::vector<workload_name> depends_on;
};

/// @brief A whole plan as accepted.
struct document
{
    std::vector<workspace> workspaces;
    std::vector<workload> workloads;

    /// @brief The workload of that name, or nullptr.
    /// @complexity linear in the number of workloads
    [[nodiscard]] auto find(const workload_name& name) const -> const workload*;
    /// @brief The workspace of that name, or nullptr.
    [[nodiscard]] auto find(const workspace_name& name) const
        -> const workspace*;
};

/// @brief A plan with the revision under which it was accepted.
struct revisioned_plan
{
    /// 0: no plan was ever accepted.
    std::uint64_t revision = 0;
    /// The operators' own text, byte for byte.
    std::string text;
    document parsed;
};

/// @brief An immutable plan that threads share.
using plan_ptr = std::shared_ptr<const revisioned_plan>;

} // namespace pimentoshunt::plan
