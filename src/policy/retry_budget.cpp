#include <pimentoshunt/policy/retry_budget.hpp>

#include <algorithm> // min

namespace pimentoshunt::policy
{

retry_budget::retry_budget(retry_budget_options options) : m_options(options)
{
}

auto retry_budget::first_try(const workload_name& workload) -> void
{
    auto& left = tokens(workload);
    left =
        std::min(left + m_options.retries_per_first_try, m_options.max_tokens);
}

auto retry_budget::try_retry(const workload_name& workload) -> bool
{
    auto& left = tokens(workload);
    if (left < 1.0)
    {
        return false;
    }
    left -= 1.0;
    return true;
}

auto retry_budget::forget(const workload_name& workload) -> void
{
    m_tokens.erase(workload);
}

auto retry_budget::tokens(const workload_name& workload) -> double&
{
    return m_tokens.try_emplace(workload, m_options.max_tokens).first->second;
}

} // namespace pimentoshunt::policy
