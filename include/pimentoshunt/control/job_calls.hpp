/// @file
/// The job desk's calls to table and workers, run on I/O threads; each posts
/// its answer as an event.
#pragma once

#include <pimentoshunt/control/control_loop.hpp>
#include <pimentoshunt/jobs/job_coordinator_events.hpp>
#include <pimentoshunt/jobs/job_store.hpp>
#include <pimentoshunt/kernel/directory.hpp>
#include <pimentoshunt/platform/http_platform.hpp>
#include <pimentoshunt/worker/http_worker.hpp>

namespace pimentoshunt::control
{

/// @brief The jobs in the platform's table.
using platform_job_store = jobs::job_store<platform::http_platform>;

/// @brief Makes the job desk's calls.
class job_calls
{
  public:
    job_calls(kernel::directory services, platform_job_store& store,
              worker::http_worker& workers)
        : m_services(services), m_store(store), m_workers(workers)
    {
    }

    /// @brief Starts everything in @p wanted.
    /// @param control  gets the answers
    auto start(control_loop& control, jobs::job_coordinator_effects wanted)
        -> void;

    /// @brief Looks a job up in the table and tells the desk of it.
    /// @param cancelled  whether its end was asked for
    auto find(control_loop& control, const job_id& job, bool cancelled) -> void;

  private:
    auto answer(const jobs::worker_call& call) -> jobs::worker_call_result;
    auto read(control_loop& control, const jobs::partition_read_request& wanted)
        -> void;
    auto read_partition(const jobs::partition_read_request& wanted)
        -> result<jobs::partition_read>;
    auto commit(control_loop& control, jobs::commit_request& wanted) -> void;
    auto refresh(const jobs::partition_state& claim,
                 jobs::commit_finished& news) -> void;

    kernel::directory m_services;
    platform_job_store& m_store;
    worker::http_worker& m_workers;
};

} // namespace pimentoshunt::control
