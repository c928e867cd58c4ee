#include <pimentoshunt/cell/beat_content.hpp>

#include <algorithm> // max, min
#include <cmath>     // abs, log

namespace pimentoshunt::cell
{
namespace
{

constexpr int most_entries = 32;
/// The heartbeats sent in the first part of each period carry speeds; about one
/// does, at an interval of 150 ms.
constexpr std::int64_t period_ms = 1'000;
constexpr std::int64_t first_part_ms = 150;
/// Logarithm from which a factor or a difference between kinds is sent.
constexpr double least_log = 0.1;

auto set(wire::cell_speed& to, const std::string& name, double value) -> void
{
    to.set_name(name);
    to.set_value(value);
}

} // namespace

auto write_speeds(const policy::learned_speeds& from, wire::cell_beat& to)
    -> void
{
    double slowest = policy::highest_speed;
    double fastest = policy::lowest_speed;
    for (const auto& [kind, speed] : from.kinds)
    {
        slowest = std::min(slowest, speed);
        fastest = std::max(fastest, speed);
    }
    if (std::log(fastest / slowest) >= least_log)
    {
        for (const auto& [kind, speed] : from.kinds)
        {
            if (to.kinds_size() < most_entries)
            {
                set(*to.add_kinds(), kind, speed);
            }
        }
    }
    for (const auto& [queue, factor] : from.factors)
    {
        if (to.factors_size() < most_entries &&
            std::abs(std::log(factor)) >= least_log)
        {
            set(*to.add_factors(), queue.str(), factor);
        }
    }
}

auto write_learned(const scheduler& from, wire::cell_beat& to) -> void
{
    if (to.sent_ms() % period_ms < first_part_ms)
    {
        write_speeds(from.learned_speeds(), to);
    }
}

auto read_speeds(const wire::cell_beat& from, policy::learned_speeds& to)
    -> void
{
    if (from.kinds().empty() && from.factors().empty())
    {
        return;
    }
    to = {};
    for (const auto& one : from.kinds())
    {
        to.kinds[one.name()] = one.value();
    }
    for (const auto& one : from.factors())
    {
        to.factors[queue_name(one.name())] = one.value();
    }
}

} // namespace pimentoshunt::cell
