/// @file
/// Typed form of a plan: the workspaces with their quotas, and the workloads
/// that run for them.
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

/// @brief Scheduling class of a workload.
enum class work_class
{
    /// Short requests; a caller waits for the answer.
    service,
    /// Independent tasks that may be queued and checkpointed.
    batch,
    /// Tasks that start together or not at all.
    gang
};

/// @brief Name of the class in messages, metrics and status answers.
[[nodiscard]] auto to_string(work_class value) -> std::string;

/// @brief A customer and its quota of the cluster's resources.
struct workspace
{
    workspace_name name;
    /// Most resources that the workspace's workloads may hold at once while
    /// other workspaces have work waiting.
    resources quota;
};

/// @brief One service, batch or gang workload.
struct workload
{
    workload_name name;
    workspace_name workspace;
    work_class cls = work_class::service;
    /// Resources that one task or one request takes.
    resources each;
    /// Number of tasks of a gang, which start together; 1 for other classes.
    std::int64_t tasks = 1;
    /// Longest time from arrival to answer, unless the caller gives a deadline.
    milliseconds deadline{30'000};
    /// Declared run time of one task; often far from the actual run time.
    milliseconds run_time{1'000};
    /// Whether a task may run more than once without harm.
    bool idempotent = false;
    /// 0 to 9; within a class, higher values are scheduled first.
    int priority = 0;
    /// Path prefix of the service at its workers.
    std::string path;
    /// Workloads that this one needs; they must be in the same plan.
    std::vector<workload_name> depends_on;
};

/// @brief A complete plan.
struct document
{
    std::vector<workspace> workspaces;
    std::vector<workload> workloads;

    /// @brief Finds a workload by name.
    /// @return nullptr if the plan has no such workload
    /// @complexity linear in the number of workloads
    [[nodiscard]] auto find(const workload_name& name) const -> const workload*;
    /// @brief Finds a workspace by name.
    /// @return nullptr if the plan has no such workspace
    /// @complexity linear in the number of workspaces
    [[nodiscard]] auto find(const workspace_name& name) const
        -> const workspace*;
};

/// @brief A plan with the revision under which it was accepted.
struct revisioned_plan
{
    /// 0 until a plan is accepted.
    std::uint64_t revision = 0;
    /// The text as the operator submitted it, byte for byte.
    std::string text;
    document parsed;
};

/// @brief Shared ownership of an immutable plan; may be read by any thread.
using plan_ptr = std::shared_ptr<const revisioned_plan>;

} // namespace pimentoshunt::plan
