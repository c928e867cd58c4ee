#include <pimentoshunt/entry/request_desk.hpp>

#include <algorithm> // min
#include <utility>   // move

namespace pimentoshunt::entry
{
namespace
{

/// Latest start that still lets a run of the expected time end. Half of the
/// time limit is always left for waiting: run times that are learned wrong, or
/// that exceed the deadline, must not refuse everything.
auto latest_start(const ticket& item, milliseconds expected_run) -> time_point
{
    const auto most = (item.deadline() - item.arrived()) / 2;
    return item.deadline() - std::min<time_point::duration>(expected_run, most);
}

} // namespace

auto request_desk::expect_run(const workload_name& name, milliseconds run_time)
    -> void
{
    m_expected_runs[name] = run_time;
}

auto request_desk::expected_run(const workload_name& name) const -> milliseconds
{
    const auto found = m_expected_runs.find(name);
    return found == m_expected_runs.end() ? milliseconds::zero()
                                          : found->second;
}

auto request_desk::arrived(const ticket_ptr& item, time_point now) -> void
{
    if (item->deadline() <= now)
    {
        item->settle(
            refusal{refusal_reason::deadline_passed, m_limits.retry_after});
        return;
    }
    if (m_entries.size() >= m_limits.queue_limit)
    {
        item->settle(refusal{refusal_reason::queue_full, m_limits.retry_after});
        return;
    }
    const auto& workload = item->workload();
    const urgency place{-workload.priority, item->deadline(), item->number()};
    auto& queue = m_lines[workload.name];
    waiting_item entry{item, choose_owner()};
    if (entry.asked_of.empty())
    {
        ++queue.open;
    }
    else
    {
        auto& view = m_owners[entry.asked_of];
        ++view.asked[workload.name];
        view.free_slots -= workload.each.slots;
    }
    queue.items.emplace(place, std::move(entry));
    m_entries.emplace(item->number(), position{workload.name, place});
}

auto request_desk::choose_owner() -> instance_id
{
    // The better of two random owners: many entries that follow one digest
    // would otherwise all run to the same owner.
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

auto request_desk::forget_ask(line& from, const workload_name& name,
                              waiting_item& entry) -> void
{
    if (entry.asked_of.empty())
    {
        --from.open;
        return;
    }
    const auto owner = m_owners.find(entry.asked_of);
    if (owner != m_owners.end())
    {
        --owner->second.asked[name];
    }
}

auto request_desk::remove(std::uint64_t number) -> ticket_ptr
{
    const auto found = m_entries.find(number);
    if (found == m_entries.end())
    {
        return nullptr;
    }
    const auto name = found->second.workload;
    auto& queue = m_lines[name];
    const auto entry = queue.items.find(found->second.place);
    forget_ask(queue, name, entry->second);
    auto item = std::move(entry->second.item);
    queue.items.erase(entry);
    m_entries.erase(found);
    if (queue.items.empty())
    {
        m_lines.erase(name);
    }
    return item;
}

auto request_desk::cancelled(std::uint64_t number) -> void
{
    remove(number);
}

auto request_desk::bind(const grant& item) -> bool
{
    for (;;)
    {
        const auto queue = m_lines.find(item.workload);
        if (queue == m_lines.end())
        {
            return false;
        }
        const auto number = queue->second.items.begin()->first.number;
        // Its caller may have given up in this very moment.
        if (remove(number)->settle(item))
        {
            return true;
        }
    }
}

auto request_desk::tick(time_point now) -> void
{
    std::vector<std::uint64_t> expired;
    for (auto& [name, queue] : m_lines)
    {
        open_late(queue, name, now);
        const auto run_time = expected_run(name);
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
        remove(number)->settle(
            refusal{refusal_reason::deadline_passed, m_limits.retry_after});
    }
}

auto request_desk::open_late(line& queue, const workload_name& name,
                             time_point now) -> void
{
    for (auto& [place, entry] : queue.items)
    {
        const bool late = now - entry.item->arrived() >= m_limits.ask_all_after;
        if (late && !entry.asked_of.empty())
        {
            forget_ask(queue, name, entry);
            entry.asked_of = instance_id{};
            ++queue.open;
        }
    }
}

auto request_desk::refuse_all(refusal answer) -> void
{
    while (!m_entries.empty())
    {
        remove(m_entries.begin()->first)->settle(answer);
    }
}

auto request_desk::owner_alive(const instance_id& owner,
                               std::int64_t free_slots) -> void
{
    m_owners[owner].free_slots = free_slots;
}

auto request_desk::owner_gone(const instance_id& owner) -> void
{
    m_owners.erase(owner);
    for (auto& [name, queue] : m_lines)
    {
        for (auto& [place, entry] : queue.items)
        {
            if (entry.asked_of == owner)
            {
                entry.asked_of = instance_id{};
                ++queue.open;
            }
        }
    }
}

auto request_desk::demand_of(const instance_id& owner) const
    -> std::vector<asked_line>
{
    std::vector<asked_line> lines;
    const auto view = m_owners.find(owner);
    if (view == m_owners.end())
    {
        return lines;
    }
    for (const auto& [name, queue] : m_lines)
    {
        const auto asked = view->second.asked.find(name);
        const auto only_here =
            asked == view->second.asked.end() ? 0 : asked->second;
        const auto count = queue.open + only_here;
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

auto request_desk::owners() const -> std::vector<instance_id>
{
    std::vector<instance_id> all;
    for (const auto& [id, view] : m_owners)
    {
        all.push_back(id);
    }
    return all;
}

auto request_desk::waiting(const workload_name& name) const -> std::size_t
{
    const auto found = m_lines.find(name);
    return found == m_lines.end() ? 0 : found->second.items.size();
}

} // namespace pimentoshunt::entry
