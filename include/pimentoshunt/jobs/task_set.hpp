/// @file
/// A set of task numbers stored as ranges, so that a job of a million tasks
/// that run in order takes only a few bytes.
#pragma once

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map>     // map
#include <vector>  // vector

namespace pimentoshunt::jobs
{

/// @brief The half-open range of tasks [first, last).
struct task_range
{
    std::int64_t first = 0;
    std::int64_t last = 0;

    friend auto operator==(const task_range&, const task_range&)
        -> bool = default;
};

/// @brief A set of tasks, stored as disjoint ranges that are not adjacent.
class task_set
{
  public:
    /// @brief Adds one task.
    /// @return false when the task was in the set
    /// @complexity logarithmic in the number of ranges
    auto insert(std::int64_t task) -> bool;

    /// @brief Adds a range; an empty range has no effect.
    auto insert(const task_range& range) -> void;

    /// @brief Removes all tasks.
    auto clear() noexcept -> void;

    /// @brief Whether the task is in the set.
    /// @complexity logarithmic in the number of ranges
    [[nodiscard]] auto contains(std::int64_t task) const -> bool;

    /// @brief The smallest task at or above @p from that is not in the set.
    [[nodiscard]] auto next_absent(std::int64_t from) const -> std::int64_t;

    /// @brief Number of tasks in the set.
    [[nodiscard]] auto size() const noexcept -> std::int64_t
    {
        return m_size;
    }

    /// @brief The ranges in ascending order.
    [[nodiscard]] auto ranges() const -> std::vector<task_range>;

  private:
    /// Maps the first task of a range to the one past its last.
    std::map<std::int64_t, std::int64_t> m_ranges;
    std::int64_t m_size = 0;
};

} // namespace pimentoshunt::jobs
