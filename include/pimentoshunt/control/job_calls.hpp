/// @file
/// Executes the job desk's calls to the table and to workers on I/O threads;
/// each result is posted to the control thread as an event.
#pragma once

#include <pimentoshunt/control/control_loop.hpp>
#include <pimentoshunt/jobs/job_coordinator_events.hpp>
#include <pimentoshunt/jobs/job_store.hpp>
#include <pimentoshunt/kernel/directory.hpp>
#include <pimentoshunt/platform/http_platform.hpp>
#include <pimentoshunt/worker/http_worker.hpp>

namespace pimentoshunt::control
{

/// @brief Store of the jobs in the platform's table.
using platform_job_store = jobs::job_store<platform::http_platform>;

/// @brief Executes the job desk's calls. start() and find() do not block; the
///        control thread calls them.
class job_calls
{
  public:
    job_calls(kernel::directory services, platform_job_store& store,
              worker::http_worker& workers)
        : m_services(services), m_store(store), m_workers(workers)
    {
    }

    /// @brief Starts all calls in @p wanted.
    /// @param control  receives the results; must outlive the calls
    auto start(control_loop& control, jobs::job_coordinator_effects wanted)
        -> void;

    /// @brief Reads a job from the table and posts it to the job desk.
    /// @param cancelled  whether the job's cancellation was requested: then the
    ///                   cancellation is posted without reading the job
    auto find(control_loop& control, const job_id& job, bool cancelled) -> void;

  private:
    auto answer(const jobs::worker_call& call) -> jobs::worker_call_result;
    auto read(control_loop& control, const jobs::partition_read_request& wanted)
        -> void;
    auto read_partition(const jobs::partition_read_request& wanted)
        -> result<jobs::partition_read>;
    auto commit(control_loop& control, jobs::commit_request& wanted) -> void;
    auto refresh(const jobs::partition_state& claim,
                 jobs::commit_finished& notification) -> void;

    kernel::directory m_services;
    platform_job_store& m_store;
    worker::http_worker& m_workers;
};

} // namespace pimentoshunt::control
