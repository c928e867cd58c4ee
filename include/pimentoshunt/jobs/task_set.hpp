/// @file
/// A set of task numbers kept as ranges: a job of a million tasks that run in
/// order takes a few bytes.
#pragma once

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map>     // map
#include <vector>  // vector

namespace pimentoshunt::jobs
{

/// @brief Tasks from first up to, without, last.
struct task_range
{
    std::int64_t first = 0;
    std::int64_t last = 0;

    friend auto operator==(const task_range&, const task_range&)
        -> bool = default;
};

/// @brief Disjoint ranges that do not touch.
class task_set
{
  public:
    /// @brief Adds one task.
    /// @return false when it was there
    /// @complexity logarithmic in the number of ranges
    auto insert(std::int64_t task) -> bool;

    /// @brief Adds a range; an empty one adds nothing.
    auto insert(const task_range& range) -> void;

    /// @brief Removes all.
    auto clear() noexcept -> void;

    /// @brief Whether the task is in the set.
    /// @complexity logarithmic in the number of ranges
    [[nodiscard]] auto contains(std::int64_t task) const -> bool;

    /// @brief The first task not below @p from that is not in the set.
    [[nodiscard]] auto next_absent(std::int64_t from) const -> std::int64_t;

    /// @brief How many tasks are in the set.
    [[nodiscard]] auto size() const noexcept -> std::int64_t
    {
        return m_size;
    }

    /// @brief The ranges in order.
    [[nodiscard]] auto ranges() const -> std::vector<task_range>;

  private:
    /// First task of a range to the one past its last.
    std::map<std::int64_t, std::int64_t> m_ranges;
    std::int64_t m_size = 0;
};

} // namespace pimentoshunt::jobs
