/// @file
/// Publishes the plan in force from the control thread to all other threads.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/plan/document.hpp>

#include <mutex>   // mutex
#include <utility> // move

namespace pimentoshunt::plan
{

/// @brief A plan_ptr with one writer and any number of readers.
class active_plan
{
  public:
    /// @brief Returns the plan in force; never null. Revision 0 stands for no
    /// plan.
    [[nodiscard]] auto get() const -> plan_ptr
    {
        const std::lock_guard lock(m_mutex);
        return m_plan;
    }

    /// @brief Replaces the plan in force. Called by the control thread.
    auto set(plan_ptr newer) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_plan = std::move(newer);
        m_since = boot_clock::now();
    }

    /// @brief Time at which the plan came into force on this instance; the
    /// zero time point before the first plan.
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
