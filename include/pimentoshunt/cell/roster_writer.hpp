/// @file
/// Writes the durable roster of workers that may have been given work, for the
/// owner of the cell.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/row_codec.hpp>
#include <pimentoshunt/cell/scheduler.hpp>
#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/logging.hpp>

#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // enable_shared_from_this
#include <utility>    // move

namespace pimentoshunt::cell
{

/// @brief Writes changes of the roster, one transaction at a time. Used by the
/// control thread only.
template<class Platform>
class roster_writer
    : public std::enable_shared_from_this<roster_writer<Platform>>
{
  public:
    /// Callbacks of the writer.
    struct listener
    {
        /// Asks for a scheduling pass.
        std::function<void()> request_pass;
        std::function<void()> overtaken;
    };

    /// @param epoch_version  version of the epoch row that each write depends
    ///                       on
    roster_writer(Platform& platform, scheduler& jobs,
                  std::uint64_t epoch_version, listener callbacks)
        : m_platform(platform), m_scheduler(jobs),
          m_epoch_version(epoch_version), m_callbacks(std::move(callbacks))
    {
    }

    /// @brief Makes no callbacks from now on.
    auto stop() -> void
    {
        m_ended = true;
    }

    /// @brief Writes changes of the roster unless a write is in flight.
    auto write(time_point now) -> void
    {
        if (m_writing || now < m_next_write)
        {
            return;
        }
        const auto change = m_scheduler.take_roster_changes(max_rows);
        if (change.writes.empty() && change.removals.empty())
        {
            return;
        }
        row_transaction transaction;
        transaction.conditions.push_back({epoch_row(), m_epoch_version});
        // The expected version keeps a write whose answer was lost from taking
        // effect after a later one.
        for (const auto& item : change.writes)
        {
            const auto at = roster_row(item.worker.entry.id);
            transaction.conditions.push_back({at, item.replaces});
            transaction.writes.push_back({at, to_bytes(item.worker)});
        }
        for (const auto& item : change.removals)
        {
            const auto at = roster_row(item.worker);
            transaction.conditions.push_back({at, item.replaces});
            transaction.removals.push_back(at);
        }
        m_writing = true;
        m_platform.commit(transaction, commit_timeout,
                          [self = this->shared_from_this(),
                           change](const commit_result& result)
                          {
                              self->on_written(change, result);
                          });
    }

  private:
    static constexpr milliseconds commit_timeout{700};
    /// Pause after a failed write.
    static constexpr milliseconds retry_pause{120};
    /// Each row is a condition and a write; below the store's limit of 100
    /// entries.
    static constexpr std::size_t max_rows = 40;

    auto on_written(const roster_change& change, const commit_result& result)
        -> void
    {
        m_writing = false;
        if (m_ended)
        {
            return;
        }
        if (result.state == commit_state::committed)
        {
            m_scheduler.on_roster_stored(change, result.version);
            m_callbacks.request_pass();
            return;
        }
        m_scheduler.on_roster_write_failed(change);
        m_next_write = boot_clock::now() + retry_pause;
        if (result.state == commit_state::conflict)
        {
            update_versions(change, result);
        }
    }

    /// Handles a conflict: either there is a later owner, or an earlier write
    /// succeeded although its answer was lost.
    auto update_versions(const roster_change& change,
                         const commit_result& result) -> void
    {
        const auto* const epoch = find_row(result.current, epoch_row());
        if (epoch == nullptr)
        {
            // The row is never removed: the answer is incomplete.
            logging::error("roster conflict without the epoch row");
            return;
        }
        if (epoch->version != m_epoch_version)
        {
            m_callbacks.overtaken();
            return;
        }
        for (const auto& item : change.writes)
        {
            update_version(item.worker.entry.id, result);
        }
        for (const auto& item : change.removals)
        {
            update_version(item.worker, result);
        }
    }

    auto update_version(const worker_id& worker, const commit_result& result)
        -> void
    {
        const auto* const row = find_row(result.current, roster_row(worker));
        m_scheduler.set_roster_version(worker,
                                       row == nullptr ? 0 : row->version);
    }

    Platform& m_platform;
    scheduler& m_scheduler;
    std::uint64_t m_epoch_version;
    listener m_callbacks;
    time_point m_next_write;
    bool m_writing = false;
    bool m_ended = false;
};

} // namespace pimentoshunt::cell
