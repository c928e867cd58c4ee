#include <pimentoshunt/entry/request_queue.hpp>

#include <algorithm> // min
#include <utility>   // move

namespace pimentoshunt::entry
{
namespace
{

/// Latest start at which a run of the expected time still ends before the
/// deadline. Half of the time limit always remains for waiting, so that a wrong
/// estimate, or one that exceeds the limit, does not refuse every request.
auto latest_start(const queued_request& item, milliseconds expected_run_time)
    -> time_point
{
    const auto most = (item.deadline() - item.arrived()) / 2;
    return item.deadline() -
           std::min<time_point::duration>(expected_run_time, most);
}

} // namespace

auto request_queue::set_expected_run_time(const workload_name& name,
                                          milliseconds run_time) -> void
{
    m_expected_run_times[name] = run_time;
}

auto request_queue::expected_run_time(const workload_name& name) const
    -> milliseconds
{
    const auto found = m_expected_run_times.find(name);
    return found == m_expected_run_times.end() ? milliseconds::zero()
                                               : found->second;
}

auto request_queue::enqueue(const queued_request_ptr& item, time_point now)
    -> void
{
    if (item->deadline() <= now)
    {
        item->resolve(
            refusal{refusal_reason::deadline_passed, m_limits.retry_after});
        return;
    }
    if (m_entries.size() >= m_limits.queue_limit)
    {
        item->resolve(
            refusal{refusal_reason::queue_full, m_limits.retry_after});
        return;
    }
    const auto& workload = item->workload();
    const urgency place{-workload.priority, item->deadline(), item->number()};
    auto& queue = m_queues[workload.name];
    queue_entry entry{item, choose_owner()};
    if (entry.asked_of.empty())
    {
        ++queue.asked_of_all;
    }
    else
    {
        auto& state = m_owners[entry.asked_of];
        ++state.asked[workload.name];
        state.free_slots -= workload.each.slots;
    }
    queue.items.emplace(place, std::move(entry));
    m_entries.emplace(item->number(), position{workload.name, place});
}

auto request_queue::choose_owner() -> instance_id
{
    // The better of two random owners (power of two choices): many instances
    // with the same view of free slots would otherwise all ask the same owner.
    if (m_owners.empty())
    {
        return {};
    }
    std::uniform_int_distribution<std::ptrdiff_t> pick(
        0, static_cast<std::ptrdiff_t>(m_owners.size()) - 1);
    const auto first = std::next(m_owners.begin(), pick(m_random));
    const auto second = std::next(m_owners.begin(), pick(m_random));
    const auto& better =
        first->second.free_slots >= second->second.free_slots ? first : second;
    if (better->second.free_slots > 0)
    {
        return better->first;
    }
    return {};
}

auto request_queue::remove_demand(workload_queue& from,
                                  const workload_name& name, queue_entry& entry)
    -> void
{
    if (entry.asked_of.empty())
    {
        --from.asked_of_all;
        return;
    }
    const auto owner = m_owners.find(entry.asked_of);
    if (owner != m_owners.end())
    {
        --owner->second.asked[name];
    }
}

auto request_queue::remove(std::uint64_t number) -> queued_request_ptr
{
    const auto found = m_entries.find(number);
    if (found == m_entries.end())
    {
        return nullptr;
    }
    const auto name = found->second.workload;
    auto& queue = m_queues[name];
    const auto entry = queue.items.find(found->second.place);
    remove_demand(queue, name, entry->second);
    auto item = std::move(entry->second.item);
    queue.items.erase(entry);
    m_entries.erase(found);
    if (queue.items.empty())
    {
        m_queues.erase(name);
    }
    return item;
}

auto request_queue::cancelled(std::uint64_t number) -> void
{
    remove(number);
}

auto request_queue::bind(const grant& item) -> bool
{
    for (;;)
    {
        const auto queue = m_queues.find(item.workload);
        if (queue == m_queues.end())
        {
            return false;
        }
        const auto number = queue->second.items.begin()->first.number;
        // resolve() fails when the caller's wait has ended in the meantime.
        if (remove(number)->resolve(item))
        {
            return true;
        }
    }
}

auto request_queue::tick(time_point now) -> void
{
    std::vector<std::uint64_t> expired;
    for (auto& [name, queue] : m_queues)
    {
        ask_all_if_late(queue, name, now);
        const auto run_time = expected_run_time(name);
        for (const auto& [place, entry] : queue.items)
        {
            if (latest_start(*entry.item, run_time) <= now)
            {
                expired.push_back(place.number);
            }
        }
    }
    for (const auto number : expired)
    {
        remove(number)->resolve(
            refusal{refusal_reason::deadline_passed, m_limits.retry_after});
    }
}

auto request_queue::ask_all_if_late(workload_queue& queue,
                                    const workload_name& name, time_point now)
    -> void
{
    for (auto& [place, entry] : queue.items)
    {
        const bool late = now - entry.item->arrived() >= m_limits.ask_all_after;
        if (late && !entry.asked_of.empty())
        {
            remove_demand(queue, name, entry);
            entry.asked_of = instance_id{};
            ++queue.asked_of_all;
        }
    }
}

auto request_queue::refuse_all(refusal refused) -> void
{
    while (!m_entries.empty())
    {
        remove(m_entries.begin()->first)->resolve(refused);
    }
}

auto request_queue::update_owner(const instance_id& owner,
                                 std::int64_t free_slots) -> void
{
    m_owners[owner].free_slots = free_slots;
}

auto request_queue::remove_owner(const instance_id& owner) -> void
{
    m_owners.erase(owner);
    for (auto& [name, queue] : m_queues)
    {
        for (auto& [place, entry] : queue.items)
        {
            if (entry.asked_of == owner)
            {
                entry.asked_of = instance_id{};
                ++queue.asked_of_all;
            }
        }
    }
}

auto request_queue::demand_for(const instance_id& owner) const
    -> std::vector<workload_demand>
{
    std::vector<workload_demand> lines;
    const auto state = m_owners.find(owner);
    if (state == m_owners.end())
    {
        return lines;
    }
    for (const auto& [name, queue] : m_queues)
    {
        const auto asked = state->second.asked.find(name);
        const auto only_here =
            asked == state->second.asked.end() ? 0 : asked->second;
        const auto count = queue.asked_of_all + only_here;
        if (count <= 0)
        {
            continue;
        }
        const auto& head = *queue.items.begin();
        lines.push_back(
            {name, count, head.first.deadline, head.second.item->arrived()});
    }
    return lines;
}

auto request_queue::owners() const -> std::vector<instance_id>
{
    std::vector<instance_id> all;
    for (const auto& [id, state] : m_owners)
    {
        all.push_back(id);
    }
    return all;
}

auto request_queue::waiting(const workload_name& name) const -> std::size_t
{
    const auto found = m_queues.find(name);
    return found == m_queues.end() ? 0 : found->second.items.size();
}

} // namespace pimentoshunt::entry
