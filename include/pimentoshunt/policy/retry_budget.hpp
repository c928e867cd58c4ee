/// @file
/// Limits retries to a fraction of first tries, which prevents retry storms
/// during an outage.
#pragma once

#include <pimentoshunt/identifier.hpp>

#include <unordered_map> // unordered_map

namespace pimentoshunt::policy
{

/// @brief Options of @ref retry_budget.
struct retry_budget_options
{
    /// Tokens that each first try adds; one retry costs one token.
    double retries_per_first_try = 0.1;
    /// Capacity of the token bucket; also its initial content.
    double max_tokens = 10.0;
};

/// @brief One token bucket per workload, filled by the workload's first tries.
///
/// Invariant: after n first tries of a workload, at most
/// max_tokens + retries_per_first_try * n retries were allowed.
class retry_budget
{
  public:
    explicit retry_budget(retry_budget_options options = {});

    /// @brief Records the first try of a request or task.
    auto first_try(const workload_name& workload) -> void;

    /// @brief Takes one token for a retry.
    /// @return false if the bucket is empty and the failure is final
    [[nodiscard]] auto try_retry(const workload_name& workload) -> bool;

    /// @brief Removes the bucket of a workload that is no longer in the plan.
    auto forget(const workload_name& workload) -> void;

  private:
    auto tokens(const workload_name& workload) -> double&;

    retry_budget_options m_options;
    std::unordered_map<workload_name, double> m_tokens;
};

} // namespace pimentoshunt::policy
