/// @file
/// Cancels jobs on behalf of callers at any instance. The answer that there is no
/// such job is given only once the job can't be stored any more.
#pragma once

#include <pimentoshunt/cell/outage_answer.hpp>
#include <pimentoshunt/cell/policy/tombstone_limit.hpp>
#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/routed_writes.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/cell/store_reader.hpp>
#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/cell/tombstone_writer.hpp>
#include <pimentoshunt/logging.hpp>

#include <functional> // function
#include <map>        // map
#include <optional>   // optional
#include <utility>    // move
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief A caller's request to cancel a job.
struct cancellation
{
    job_id job;
    /// Workspace of the caller's key; empty: none.
    workspace_name workspace;
    /// When the caller has to be answered.
    time_point reply_deadline;
    net::http_server::reply answer;
};

/// @brief Stores cancellations, or tombstones for jobs that are not stored. Used by
/// the control thread only.
template<class Platform>
class job_canceller
{
  public:
    /// @param kept_out  called with each job that can't be stored any more
    job_canceller(Platform& platform, store_health& health,
                  routed_writes<Platform>& writes,
                  std::function<void(const job_id&)> kept_out)
        : m_platform(platform), m_health(health), m_writes(writes),
          m_kept_out(std::move(kept_out)), m_tombstones(platform, health)
    {
    }

    /// @brief Cancels a job that is stored.
    auto cancel_stored(const cancellation& request) -> void
    {
        m_writes.cancel(
            request.job, request.reply_deadline,
            [this, request](inbox_write_result result)
            {
                logging::info("cancellation")
                    .with("job", request.job)
                    .with("stored", result == inbox_write_result::stored);
                if (result == inbox_write_result::stored)
                {
                    request.answer(
                        m_platform.state_answer(job_state::cancelled));
                    return;
                }
                refuse(request,
                       "the store does not answer; cancel the job again");
            });
    }

    /// @brief Cancels a job that may be stored or not.
    auto cancel(const cancellation& request) -> void
    {
        read_ranges(m_platform, job_ranges(request.job), read_timeout,
                    [this, request](const std::optional<table_rows>& found)
                    {
                        m_health.record(found.has_value(), boot_clock::now());
                        if (!found)
                        {
                            refuse(request, not_cancelled);
                        }
                        else if (holds_job(found->rows))
                        {
                            cancel_stored(request);
                        }
                        else
                        {
                            keep_out(request, found->rows);
                        }
                    });
    }

  private:
    static constexpr int gone = 410;
    static constexpr int unavailable = 503;
    /// Until the answer begins.
    static constexpr milliseconds read_timeout{700};
    static constexpr const char* not_cancelled =
        "the store does not answer; the job was not cancelled";

    auto refuse(const cancellation& request, const std::string& why) -> void
    {
        request.answer(outage_answer(m_platform, m_health, request.job, why));
    }

    /// A submission may still be on its way, from whichever instance.
    auto keep_out(const cancellation& request,
                  const std::vector<stored_row>& found) -> void
    {
        const auto now = boot_clock::now();
        auto& limit = m_limits[request.workspace];
        if (!limit.allows(now))
        {
            refuse_beyond(limit, request, now);
            return;
        }
        limit.on_write(now);
        m_tombstones.write(request.job, found,
                           [this, request](tombstone_result result)
                           {
                               on_tombstone_written(request, result);
                           });
    }

    auto refuse_beyond(const policy::tombstone_limit& limit,
                       const cancellation& request, time_point now) -> void
    {
        logging::warn("cancellation refused: too many of jobs that are not "
                      "stored")
            .with("job", request.job)
            .with("workspace", request.workspace);
        auto out = m_platform.error_answer(
            unavailable, "too many cancellations of jobs that are not stored; "
                         "the job was not cancelled");
        out.retry_after = limit.retry_after(now);
        request.answer(std::move(out));
    }

    auto on_tombstone_written(const cancellation& request,
                              tombstone_result result) -> void
    {
        logging::info("cancellation of a job that is not stored")
            .with("job", request.job)
            .with("kept_out", result == tombstone_result::durable)
            .with("stored_meanwhile",
                  result == tombstone_result::job_is_stored);
        switch (result)
        {
        case tombstone_result::durable:
            m_kept_out(request.job);
            request.answer(
                m_platform.error_answer(gone, "there is no such job"));
            return;
        case tombstone_result::job_is_stored:
            cancel_stored(request);
            return;
        case tombstone_result::failed:
            refuse(request, not_cancelled);
            return;
        }
    }

    Platform& m_platform;
    store_health& m_health;
    routed_writes<Platform>& m_writes;
    std::function<void(const job_id&)> m_kept_out;
    tombstone_writer<Platform> m_tombstones;
    std::map<workspace_name, policy::tombstone_limit> m_limits;
};

} // namespace pimentoshunt::cell
