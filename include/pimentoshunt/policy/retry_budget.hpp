/// @file
/// Keeps retries to a fraction of first tries, so that an outage brings no
/// storm of retries.
#pragma once

#include <pimentoshunt/identifier.hpp>

#include <unordered_map> // unordered_map

namespace pimentoshunt::policy
{

/// @brief Limits of a @ref retry_budget.
struct retry_budget_options
{
    /// Retries that each first try pays for.
    double retries_per_first_try = 0.1;
    /// Most retries saved up; also what a workload begins with.
    double max_tokens = 10.0;
};

/// @brief A token bucket for each workload, filled by its first tries.
///
/// Invariant: after n first tries of a workload, at most
/// most_saved + per_first_try * n of its retries were allowed.
class retry_budget
{
  public:
    explicit retry_budget(retry_budget_options options = {});

    /// @brief Counts the first try of a request or task.
    auto first_try(const workload_name& workload) -> void;

    /// @brief Spends one retry.
    /// @return false when the budget is spent: the failure is final
    [[nodiscard]] auto try_retry(const workload_name& workload) -> bool;

    /// @brief Drops what is kept of a workload that left the plan.
    auto forget(const workload_name& workload) -> void;

  private:
    auto tokens(const workload_name& workload) -> double&;

    retry_budget_options m_options;
    std::unordered_map<workload_name, double> m_tokens;
};

} // namespace pimentoshunt::policy
