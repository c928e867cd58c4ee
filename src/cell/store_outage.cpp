#include <pimentoshunt/cell/policy/store_outage.hpp>

#include <algorithm>  // clamp
#include <functional> // hash
#include <limits>     // numeric_limits

namespace pimentoshunt::cell::policy
{

auto retry_delay(boot_clock::duration outage, const job_id& job)
    -> std::chrono::seconds
{
    using real_seconds = std::chrono::duration<double>;
    constexpr real_seconds shortest{1};
    constexpr real_seconds longest{4};
    constexpr double lowest_factor = 0.75;
    constexpr double factor_range = 0.5;
    const auto base = std::clamp(
        std::chrono::duration_cast<real_seconds>(outage), shortest, longest);
    const auto share =
        static_cast<double>(std::hash<job_id>{}(job)) /
        static_cast<double>(std::numeric_limits<std::size_t>::max());
    const auto delay = base * (lowest_factor + factor_range * share);
    return std::chrono::round<std::chrono::seconds>(
        std::clamp(delay, shortest, longest));
}

} // namespace pimentoshunt::cell::policy
