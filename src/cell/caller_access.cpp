#include <pimentoshunt/cell/policy/caller_access.hpp>

#include <pimentoshunt/cell/credentials.hpp>

#include <array> // array

namespace pimentoshunt::cell::policy
{
namespace
{

struct limited_resource
{
    std::int64_t resources::*amount;
    const char* unit;
};

constexpr std::array limited_resources{
    limited_resource{&resources::slots, "slots"},
    limited_resource{&resources::millicpus, "thousandths of a processor"},
    limited_resource{&resources::memory_mb, "MB of memory"},
    limited_resource{&resources::accelerators, "accelerators"}};

auto decide_key(const access_query& query, const configuration& in_force,
                const configuration_freshness& freshness,
                const configuration_bounds& bounds) -> access_decision
{
    const bool is_current =
        freshness.is_within(bounds.configuration_max_age, query.arrived);
    // 401 is a statement about the time of the answer.
    const auto refused =
        freshness.is_within(bounds.configuration_max_age, query.answered)
            ? access_result::unauthorized
            : access_result::unproven;
    if (!query.key)
    {
        return {refused, nullptr};
    }
    const auto* const owner = find_key_owner(in_force, *query.key);
    if (owner == nullptr)
    {
        const bool asks =
            query.may_refresh && !freshness.is_proven_after(query.arrived);
        return {asks ? access_result::refresh : refused, nullptr};
    }
    const bool is_proven =
        freshness.is_within(bounds.credential_max_age, query.arrived) &&
        (is_current || !query.uses_queue);
    return is_proven ? access_decision{access_result::allowed, owner}
                     : access_decision{access_result::unproven, nullptr};
}

} // namespace

auto needs_key(const configuration& in_force, const queue_route& route) -> bool
{
    return in_force.requires_keys && !route.is_public;
}

auto decide_access(const access_query& query, const configuration& in_force,
                   const configuration_freshness& freshness,
                   const configuration_bounds& bounds) -> access_decision
{
    if (query.route != nullptr && needs_key(in_force, *query.route))
    {
        return decide_key(query, in_force, freshness, bounds);
    }
    const bool depends_on_configuration =
        query.route == nullptr || query.uses_queue;
    const bool is_served =
        !depends_on_configuration ||
        freshness.is_within(bounds.configuration_max_age, query.arrived);
    return {is_served ? access_result::allowed : access_result::unproven,
            nullptr};
}

auto is_fresh_for_keys(const configuration_freshness& freshness,
                       const configuration_bounds& bounds, time_point now)
    -> bool
{
    return freshness.is_within(bounds.credential_max_age, now) &&
           freshness.is_within(bounds.configuration_max_age, now);
}

auto find_step_over_limit(const job_spec& job,
                          const workspace_config& workspace) -> std::string
{
    for (std::size_t i = 0; i < job.steps.size(); ++i)
    {
        const auto& step = job.steps[i];
        // The members of a gang run at the same time.
        const std::int64_t together =
            step.gang && step.count > 0 ? step.count : 1;
        for (const auto& [amount, unit] : limited_resources)
        {
            const auto limit = workspace.limit.*amount;
            const auto need = step.need.*amount;
            if (limit > 0 && need > limit / together)
            {
                return "step " + std::to_string(i) + " needs " +
                       (together > 1 ? std::to_string(together) + " x " : "") +
                       std::to_string(need) + " " + unit +
                       " at a time, but workspace \"" + workspace.name.str() +
                       "\" is limited to " + std::to_string(limit) +
                       "; make it smaller";
            }
        }
    }
    return "";
}

} // namespace pimentoshunt::cell::policy
