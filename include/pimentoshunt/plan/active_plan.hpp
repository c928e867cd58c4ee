/// @file
/// The plan in force, published by the control thread to all others.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/plan/document.hpp>

#include <mutex>   // mutex
#include <utility> // move

namespace pimentoshunt::plan
{

/// @brief Holds one plan_ptr for many readers and one writer.
class active_plan
{
  public:
    /// @brief The plan in force; never null.
    [[nodiscard]] auto get() const -> plan_ptr
    {
        const std::lock_guard lock(m_mutex);
        return m_plan;
    }

    /// @brief Replaces it.
    auto set(plan_ptr newer) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_plan = std::move(newer);
        m_since = boot_clock::now();
    }

    /// @brief When it came into force on this instance; the zero time before
    /// the first plan.
    [[nodiscard]] auto since() const -> time_point
    {
        const std::lock_guard lock(m_mutex);
        return m_since;
    }

  private:
    mutable std::mutex m_mutex;
    plan_ptr m_plan = std::make_shared<revisioned_plan>();
    time_point m_since;
};

} // namespace pimentoshunt::plan
