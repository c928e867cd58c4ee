/// @file
/// Multi-producer, single-consumer queue that tells the producer when it has to
/// wake the consumer: one wake-up per batch instead of one per item.
#pragma once

#include <mutex>   // mutex
#include <utility> // move
#include <vector>  // vector

namespace pimentoshunt::kernel
{

/// @brief Unbounded queue; thread-safe.
template<class T>
class inbox
{
  public:
    /// @brief Adds an item.
    /// @return whether the queue was empty, in which case the caller has to
    ///         wake the consumer
    auto push(T item) -> bool
    {
        const std::lock_guard lock(m_mutex);
        m_items.push_back(std::move(item));
        return m_items.size() == 1;
    }

    /// @brief Removes and returns all items in order of arrival.
    auto drain() -> std::vector<T>
    {
        const std::lock_guard lock(m_mutex);
        return std::exchange(m_items, {});
    }

  private:
    std::mutex m_mutex;
    std::vector<T> m_items;
};

} // namespace pimentoshunt::kernel
