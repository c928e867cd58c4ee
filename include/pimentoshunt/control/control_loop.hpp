/// @file
/// Runs the engine on the control thread and carries out its effects.
#pragma once

#include <pimentoshunt/control/engine.hpp>
#include <pimentoshunt/kernel/directory.hpp>
#include <pimentoshunt/kernel/inbox.hpp>

#include <atomic>        // atomic
#include <functional>    // function
#include <string>        // string
#include <unordered_set> // unordered_set

namespace pimentoshunt::control
{

/// @brief How the control thread has calls made; each posts its own event.
struct call_starter
{
    std::function<void(ownership::fence_call)> fence;
    std::function<void(ownership::inspect_call)> inspect;
    std::function<void(ownership::revoke_call)> revoke;
    std::function<void()> read_list;
    std::function<void()> read_plan;
    std::function<void(ownership::revoke_call)> checkpoint;
    std::function<void(jobs::job_coordinator_effects)> jobs;
    std::function<void(job_announced)> find_job;
    /// Publishes a plan to the traffic threads.
    std::function<void(plan::plan_ptr)> publish;
    /// Publishes the lives that are taken for alive.
    std::function<void(std::unordered_set<std::string>)> publish_alive;
    /// Publishes numbers for the metrics.
    std::function<void(const gauge_snapshot&)> publish_gauges;
};

/// @brief The engine with its inbox. post() is for all threads, the rest for
/// the control thread alone.
class control_loop
{
  public:
    control_loop(engine_config config, kernel::directory services,
                 call_starter calls);

    /// @brief Hands an event to the control thread.
    auto post(event news) -> void;

    /// @brief Handles all events that have come.
    auto drain() -> void;

    /// @brief Lets time pass.
    auto tick() -> void;

    /// @brief Whether this instance serves; for all threads.
    [[nodiscard]] auto ready() const noexcept -> bool
    {
        return m_ready;
    }

    /// @brief Longest declared run time of the work that held slots of this
    ///        instance's workers a second ago at most; for all threads.
    [[nodiscard]] auto longest_held() const noexcept -> milliseconds
    {
        return m_longest_held;
    }

  private:
    auto carry_out(effects wanted) -> void;

    engine m_engine;
    kernel::directory m_services;
    call_starter m_calls;
    kernel::inbox<event> m_inbox;
    std::atomic<bool> m_ready{false};
    std::atomic<milliseconds> m_longest_held{milliseconds(0)};
};

/// @brief Spawns the control thread and registers it by name.
auto spawn_control(caf::actor_system& system, kernel::directory& services,
                   control_loop& loop) -> void;

} // namespace pimentoshunt::control
