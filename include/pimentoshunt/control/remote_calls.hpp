/// @file
/// Executes the control thread's calls to workers and platform on I/O threads;
/// each result is posted to the control thread as an event.
#pragma once

#include <pimentoshunt/control/control_loop.hpp>
#include <pimentoshunt/control/job_calls.hpp>
#include <pimentoshunt/entry/idempotency_guard.hpp>
#include <pimentoshunt/kernel/directory.hpp>
#include <pimentoshunt/kernel/io_pool.hpp>
#include <pimentoshunt/membership/live_holders.hpp>
#include <pimentoshunt/membership/member_table.hpp>
#include <pimentoshunt/plan/active_plan.hpp>
#include <pimentoshunt/plan/plan_store.hpp>
#include <pimentoshunt/platform/http_platform.hpp>
#include <pimentoshunt/platform/write_id.hpp>
#include <pimentoshunt/worker/http_worker.hpp>

#include <atomic> // atomic
#include <map>    // map

namespace pimentoshunt::control
{

/// @brief Executes the control thread's calls to workers and platform.
class remote_calls
{
  public:
    remote_calls(kernel::directory services, platform::http_platform& store,
                 plan::plan_store<platform::http_platform>& plans,
                 worker::http_worker& workers, plan::active_plan& in_force,
                 membership::live_holders& alive,
                 entry::platform_idempotency_log& keys, job_calls& jobs,
                 membership::member self);

    /// @brief Creates the functions by which the control thread starts calls.
    /// @param control  receives the results; need not be constructed yet
    [[nodiscard]] auto make_call_starter(control_loop& control) -> call_starter;

    /// @brief Removes the row of this incarnation from the table, if it is
    ///        still there. Blocks; must not run concurrently with other calls.
    auto deregister_self() -> void;

  private:
    auto fence(control_loop& control, const ownership::fence_call& call)
        -> void;
    auto inspect(control_loop& control, const ownership::inspect_call& call)
        -> void;
    auto revoke(control_loop& control, const ownership::revoke_call& call)
        -> void;
    auto checkpoint(control_loop& control, const ownership::revoke_call& call)
        -> void;
    auto read_list(control_loop& control) -> void;
    auto read_plan(control_loop& control) -> void;
    auto maintain_idempotency_keys() -> result<void>;
    auto register_self() -> result<void>;
    auto sweep(const std::vector<platform::row>& rows) -> void;
    auto registered() -> result<std::vector<membership::member>>;
    auto drained() -> result<std::vector<worker_id>>;

    kernel::directory m_services;
    platform::http_platform& m_store;
    plan::plan_store<platform::http_platform>& m_plans;
    worker::http_worker& m_workers;
    plan::active_plan& m_in_force;
    membership::live_holders& m_alive;
    entry::platform_idempotency_log& m_keys;
    job_calls& m_jobs;
    membership::member m_self;
    std::atomic<bool> m_list_running{false};
    std::atomic<bool> m_plan_running{false};
    /// Last write of an instance's row and the time since it is unchanged.
    struct row_age
    {
        std::string write_id;
        time_point since;
    };

    /// m_next_sweep and m_rows are used only by read_list(), of which
    /// m_list_running allows one call at a time.
    time_point m_next_sweep;
    std::map<std::string, row_age> m_rows;
    platform::write_id_source m_write_ids;
};

/// @brief Registers a pool of I/O threads as a service named @p name.
/// @param pool  must outlive the service
auto spawn_io(caf::actor_system& system, kernel::directory& services,
              kernel::service_name name, kernel::io_pool& pool) -> void;

} // namespace pimentoshunt::control
