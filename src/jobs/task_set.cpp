#include <pimentoshunt/jobs/task_set.hpp>

#include <algorithm> // max, min
#include <iterator>  // prev

namespace pimentoshunt::jobs
{

auto task_set::insert(std::int64_t task) -> bool
{
    if (contains(task))
    {
        return false;
    }
    insert(task_range{task, task + 1});
    return true;
}

auto task_set::insert(const task_range& range) -> void
{
    if (range.first >= range.last)
    {
        return;
    }
    auto merged = range;
    auto at = m_ranges.upper_bound(range.first);
    if (at != m_ranges.begin() && std::prev(at)->second >= range.first)
    {
        --at;
    }
    while (at != m_ranges.end() && at->first <= merged.last)
    {
        merged.first = std::min(merged.first, at->first);
        merged.last = std::max(merged.last, at->second);
        m_size -= at->second - at->first;
        at = m_ranges.erase(at);
    }
    m_ranges.emplace(merged.first, merged.last);
    m_size += merged.last - merged.first;
}

auto task_set::clear() noexcept -> void
{
    m_ranges.clear();
    m_size = 0;
}

auto task_set::contains(std::int64_t task) const -> bool
{
    return next_absent(task) != task;
}

auto task_set::next_absent(std::int64_t from) const -> std::int64_t
{
    const auto after = m_ranges.upper_bound(from);
    if (after == m_ranges.begin())
    {
        return from;
    }
    return std::max(from, std::prev(after)->second);
}

auto task_set::ranges() const -> std::vector<task_range>
{
    std::vector<task_range> out;
    out.reserve(m_ranges.size());
    for (const auto& [first, last] : m_ranges)
    {
        out.push_back({first, last});
    }
    return out;
}

} // namespace pimentoshunt::jobs
