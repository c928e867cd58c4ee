#include <pimentoshunt/ownership/demand_tracker.hpp>

#include <utility> // move

namespace pimentoshunt::ownership
{

auto demand_tracker::set_demand(const instance_id& entry,
                                std::vector<entry::workload_demand> lines,
                                std::uint64_t grants_seen) -> void
{
    auto& view = m_entries[entry];
    view.lines = std::move(lines);
    while (!view.in_flight.empty() &&
           view.in_flight.front().number <= grants_seen)
    {
        view.in_flight.pop_front();
    }
}

auto demand_tracker::remove_entry(const instance_id& entry) -> void
{
    m_entries.erase(entry);
}

auto demand_tracker::in_flight(const entry_demand& view,
                               const workload_name& name) -> std::int64_t
{
    std::int64_t total = 0;
    for (const auto& sent : view.in_flight)
    {
        const auto found = sent.counts.find(name);
        total += found == sent.counts.end() ? 0 : found->second;
    }
    return total;
}

auto demand_tracker::lines(const plan::document& in_force, time_point now)
    -> std::vector<policy::demand_line>
{
    std::vector<policy::demand_line> all;
    for (auto& [entry, view] : m_entries)
    {
        while (!view.in_flight.empty() &&
               now - view.in_flight.front().at > m_grant_timeout)
        {
            view.in_flight.pop_front();
        }
        for (const auto& asked : view.lines)
        {
            const auto* const workload = in_force.find(asked.workload);
            const auto net = asked.count - in_flight(view, asked.workload);
            if (workload == nullptr || net <= 0)
            {
                continue;
            }
            policy::demand_line line;
            line.entry = entry;
            line.workload = workload;
            line.count = net;
            line.deadline = asked.deadline;
            line.waiting_since = asked.waiting_since;
            all.push_back(line);
        }
    }
    return all;
}

auto demand_tracker::granted(const instance_id& entry,
                             const std::vector<workload_name>& workloads,
                             time_point now) -> std::uint64_t
{
    auto& view = m_entries[entry];
    sent_grants sent;
    sent.number = ++view.last_number;
    sent.at = now;
    for (const auto& name : workloads)
    {
        ++sent.counts[name];
    }
    view.in_flight.push_back(std::move(sent));
    return view.last_number;
}

auto demand_tracker::empty() const noexcept -> bool
{
    for (const auto& [entry, view] : m_entries)
    {
        if (!view.lines.empty())
        {
            return false;
        }
    }
    return true;
}

} // namespace pimentoshunt::ownership
