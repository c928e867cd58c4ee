/// @file
/// Runs the engine on the control thread and executes its effects. Other
/// threads send events with control_loop::post().
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

/// @brief Functions that start the engine's calls on I/O threads. They return
///        at once; the result of a call is posted as an event.
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
    /// Publishes the names, "instance#incarnation", of the instances that count
    /// as alive.
    std::function<void(std::unordered_set<std::string>)> publish_alive;
    /// Publishes values for the metrics.
    std::function<void(const gauge_snapshot&)> publish_gauges;
};

/// @brief The engine with its event queue. post(), ready() and
///        max_held_run_time() are thread-safe; the other functions may be
///        called by the control thread only.
class control_loop
{
  public:
    control_loop(engine_config config, kernel::directory services,
                 call_starter calls);

    /// @brief Queues an event for the control thread.
    auto post(event notification) -> void;

    /// @brief Handles all queued events.
    auto drain() -> void;

    /// @brief Runs the timers of the engine.
    auto tick() -> void;

    /// @brief Whether callers may be sent to this instance; thread-safe.
    [[nodiscard]] auto ready() const noexcept -> bool
    {
        return m_ready;
    }

    /// @brief Longest declared run time of the workloads with reservations on
    ///        this instance's workers, at most about a second old;
    ///        thread-safe.
    [[nodiscard]] auto max_held_run_time() const noexcept -> milliseconds
    {
        return m_longest_held;
    }

  private:
    auto execute(effects wanted) -> void;

    engine m_engine;
    kernel::directory m_services;
    call_starter m_calls;
    kernel::inbox<event> m_inbox;
    std::atomic<bool> m_ready{false};
    std::atomic<milliseconds> m_longest_held{milliseconds(0)};
};

/// @brief Spawns the control thread and registers it as control_service.
/// @param loop  must outlive the thread
auto spawn_control(caf::actor_system& system, kernel::directory& services,
                   control_loop& loop) -> void;

} // namespace pimentoshunt::control
