/// @file
/// A queue from many threads to one, which tells the producer when the
/// consumer has to be woken: one wake-up for a batch, not one an item.
#pragma once

#include <mutex>   // mutex
#include <utility> // move
#include <vector>  // vector

namespace pimentoshunt::kernel
{

/// @brief Many producers, one consumer.
template<class T>
class inbox
{
  public:
    /// @brief Adds an item.
    /// @return whether the queue was empty: the caller wakes the consumer
    auto push(T item) -> bool
    {
        const std::lock_guard lock(m_mutex);
        m_items.push_back(std::move(item));
        return m_items.size() == 1;
    }

    /// @brief Takes everything, in order of arrival.
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
