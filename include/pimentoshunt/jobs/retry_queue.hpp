/// @file
/// Queue of a job's tasks that wait for their next start until their backoff
/// has passed.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <cstddef>       // size_t
#include <cstdint>       // int64_t
#include <deque>         // deque
#include <map>           // multimap
#include <optional>      // optional
#include <unordered_set> // unordered_set

namespace pimentoshunt::jobs
{

/// @brief A queue ordered by due time; contains each task at most once.
class retry_queue
{
  public:
    /// @brief Adds a task; has no effect when the task is in the queue.
    /// @complexity logarithmic in the number of waiting tasks
    auto insert(std::int64_t task, time_point not_before) -> void
    {
        if (m_tasks.insert(task).second)
        {
            m_not_due.emplace(not_before, task);
        }
    }

    /// @brief Makes the tasks that are due available to take().
    /// @complexity amortised logarithmic for each task
    auto promote(time_point now) -> void
    {
        while (!m_not_due.empty() && m_not_due.begin()->first <= now)
        {
            m_due.push_back(m_not_due.begin()->second);
            m_not_due.erase(m_not_due.begin());
        }
    }

    /// @brief Removes and returns the task that has been due for longest, or
    /// nothing.
    [[nodiscard]] auto take() -> std::optional<std::int64_t>
    {
        if (m_due.empty())
        {
            return std::nullopt;
        }
        const auto task = m_due.front();
        m_due.pop_front();
        m_tasks.erase(task);
        return task;
    }

    /// @brief Whether the task is in the queue, due or not.
    [[nodiscard]] auto contains(std::int64_t task) const -> bool
    {
        return m_tasks.count(task) != 0;
    }

    /// @brief Number of tasks that were not due at the last promote().
    [[nodiscard]] auto not_due() const noexcept -> std::size_t
    {
        return m_not_due.size();
    }

    auto clear() noexcept -> void
    {
        m_not_due.clear();
        m_due.clear();
        m_tasks.clear();
    }

  private:
    std::multimap<time_point, std::int64_t> m_not_due;
    std::deque<std::int64_t> m_due;
    std::unordered_set<std::int64_t> m_tasks;
};

} // namespace pimentoshunt::jobs
