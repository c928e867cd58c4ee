/// @file
/// Writes the progress of jobs to the store for the owner of the cell: one
/// transaction at a time, to a part of the progress table that accepts it.
#pragma once

#include <pimentoshunt/cell/cell_loader.hpp>
#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/row_codec.hpp>
#include <pimentoshunt/cell/scheduler.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/cell/tables.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>      // array
#include <functional> // function
#include <memory>     // enable_shared_from_this
#include <string>     // to_string
#include <utility>    // move

namespace pimentoshunt::cell
{

/// @brief Writes the unsaved progress that the scheduler holds. Used by the
/// control thread only.
template<class Platform>
class progress_writer
    : public std::enable_shared_from_this<progress_writer<Platform>>
{
  public:
    /// Versions of the rows that name the owner of each part.
    using part_versions = std::array<std::uint64_t, progress_parts>;

    /// Callbacks of the writer.
    struct listener
    {
        /// Asks for a scheduling pass.
        std::function<void()> request_pass;
        std::function<void()> overtaken;
        /// Called before a row of a job is written, with the row's key.
        std::function<void(const job_id&, const row_key&)> on_row_used;
    };

    progress_writer(Platform& platform, boost::asio::io_context& control,
                    store_health& health, scheduler& jobs, listener callbacks)
        : m_platform(platform), m_health(health), m_scheduler(jobs),
          m_callbacks(std::move(callbacks)), m_batch_timer(control)
    {
    }

    /// @brief Sets the versions of the epoch rows once all parts have been
    /// claimed.
    auto begin(const part_versions& versions) -> void
    {
        m_part_versions = versions;
    }

    /// @brief Makes no callbacks from now on.
    auto stop() -> void
    {
        m_ended = true;
        m_batch_timer.cancel();
    }

    /// @brief Writes unsaved progress unless a write is in flight.
    auto write() -> void
    {
        if (m_writing || boot_clock::now() < m_next_write ||
            !m_scheduler.has_unsaved_progress() ||
            (!m_scheduler.has_unsaved_end() && !is_batch_due()))
        {
            return;
        }
        const auto batch = m_scheduler.take_progress(max_rows);
        if (!batch)
        {
            return;
        }
        if (batch->jobs.empty())
        {
            // Ends that change no progress need no write.
            m_scheduler.on_progress_stored(*batch, boot_clock::now());
            m_callbacks.request_pass();
            return;
        }
        row_transaction transaction;
        // Each write also changes the part's epoch row, so that a write whose
        // answer was lost can't take effect after a later one.
        const auto epoch_at = part_epoch_row(m_progress_part);
        transaction.conditions.push_back(
            {epoch_at, m_part_versions[m_progress_part]});
        transaction.writes.push_back(
            {epoch_at, std::to_string(m_scheduler.epoch())});
        for (const auto& job : batch->jobs)
        {
            const auto at =
                progress_row(job.id, m_scheduler.epoch(), m_progress_part);
            m_callbacks.on_row_used(job.id, at);
            transaction.writes.push_back({at, to_bytes(job)});
        }
        m_writing = true;
        m_platform.commit(transaction, commit_timeout,
                          [self = this->shared_from_this(),
                           batch](const commit_result& result)
                          {
                              self->on_written(*batch, result);
                          });
    }

  private:
    static constexpr milliseconds commit_timeout{700};
    /// Ends that do not finish a job are batched: only their worker waits for
    /// them, which may list them for 100 ms.
    static constexpr milliseconds batch_delay{25};
    /// Pause after a write to every part has failed.
    static constexpr milliseconds retry_pause{120};
    /// Rows in one transaction; below the store's limit of 100 entries.
    static constexpr std::size_t max_rows = 80;

    /// Whether the batch delay is over; starts it if it is not running.
    auto is_batch_due() -> bool
    {
        if (m_batch_delay_over)
        {
            m_batch_delay_over = false;
            return true;
        }
        if (!m_batch_timer_running)
        {
            m_batch_timer_running = true;
            m_batch_timer.expires_after(batch_delay);
            m_batch_timer.async_wait(
                [self = this->shared_from_this()](auto fault)
                {
                    self->m_batch_timer_running = false;
                    if (!fault && !self->m_ended)
                    {
                        self->m_batch_delay_over = true;
                        self->m_callbacks.request_pass();
                    }
                });
        }
        return false;
    }

    auto on_written(const progress_batch& batch, const commit_result& result)
        -> void
    {
        m_writing = false;
        if (m_ended)
        {
            return;
        }
        m_health.record(result.state == commit_state::committed ||
                            result.state == commit_state::conflict,
                        boot_clock::now());
        switch (result.state)
        {
        case commit_state::committed:
            m_failed_writes = 0;
            m_part_versions[m_progress_part] = result.version;
            m_scheduler.on_progress_stored(batch, boot_clock::now());
            break;
        case commit_state::conflict:
            if (result.current.empty() ||
                names_later_owner(result.current.front(), m_scheduler.epoch()))
            {
                m_callbacks.overtaken();
                return;
            }
            // An earlier write succeeded although its answer was lost.
            m_part_versions[m_progress_part] = result.current.front().version;
            m_scheduler.on_progress_write_failed(batch);
            break;
        case commit_state::not_committed:
        case commit_state::unknown:
            // Writes to the next part; progress that is stored twice does no
            // harm.
            m_scheduler.on_progress_write_failed(batch);
            m_progress_part = (m_progress_part + 1) % progress_parts;
            if (++m_failed_writes % progress_parts == 0)
            {
                m_next_write = boot_clock::now() + retry_pause;
            }
            break;
        }
        m_callbacks.request_pass();
    }

    Platform& m_platform;
    store_health& m_health;
    scheduler& m_scheduler;
    listener m_callbacks;
    boost::asio::steady_timer m_batch_timer;
    bool m_batch_timer_running = false;
    bool m_batch_delay_over = false;
    std::size_t m_progress_part = 0;
    part_versions m_part_versions{};
    std::size_t m_failed_writes = 0;
    time_point m_next_write;
    bool m_writing = false;
    bool m_ended = false;
};

} // namespace pimentoshunt::cell
