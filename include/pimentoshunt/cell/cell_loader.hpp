/// @file
/// Loads the stored state of a cell for a new owner. Claims each part of the
/// inbox and of progress for the new epoch before it reads it.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/cell/store_reader.hpp>
#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/logging.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>  // min
#include <array>      // array
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <deque>      // deque
#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <string>     // to_string
#include <utility>    // move
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief Everything that a new owner reads from the store.
struct cell_snapshot
{
    std::vector<stored_row> inbox;
    std::vector<stored_row> progress;
    std::vector<stored_row> workers;
    std::vector<stored_row> roster;
    /// Version from which to follow changes.
    std::uint64_t version = 0;
    /// Versions of the rows that name the owner of each part.
    std::array<std::uint64_t, progress_parts> part_versions{};
    std::array<std::uint64_t, inbox_parts> inbox_versions{};
    /// Number of ranges that have not been read.
    std::size_t ranges_left = 0;
};

/// @brief Whether a part's epoch row names an owner later than @p epoch.
[[nodiscard]] inline auto names_later_owner(const stored_row& row,
                                            std::uint64_t epoch) -> bool
{
    return named_epoch(row) > epoch;
}

/// @brief Claims and reads all ranges, and retries until the store has answered
/// for each of them. Used by the control thread only.
template<class Platform>
class cell_loader : public std::enable_shared_from_this<cell_loader<Platform>>
{
  public:
    /// Callbacks; one of them is called, once.
    struct listener
    {
        std::function<void(const cell_snapshot&)> loaded;
        std::function<void()> overtaken;
    };

    cell_loader(Platform& platform, boost::asio::io_context& control,
                store_health& health, std::uint64_t epoch, listener callbacks)
        : m_platform(platform), m_control(control), m_health(health),
          m_epoch(epoch), m_callbacks(std::move(callbacks))
    {
    }

    /// @param takeover_version  version of the takeover transaction; no earlier
    ///                          owner can have changed the roster since
    auto begin(std::uint64_t takeover_version = 0) -> void
    {
        constexpr std::size_t roster_and_workers = 2;
        m_snapshot.ranges_left =
            inbox_parts + progress_parts + roster_and_workers;
        for (std::size_t i = 0; i < inbox_parts; ++i)
        {
            claim_part({inbox_epoch_row(inbox_part(i)),
                        {inbox_table, inbox_part(i), "", ""},
                        &cell_snapshot::inbox,
                        &m_snapshot.inbox_versions[i]});
        }
        for (std::size_t i = 0; i < progress_parts; ++i)
        {
            claim_part({part_epoch_row(i),
                        {progress_table, progress_part(i), "", ""},
                        &cell_snapshot::progress,
                        &m_snapshot.part_versions[i]});
        }
        load_range({roster_table, cell_part, "", ""}, &cell_snapshot::roster,
                   takeover_version);
        load_range({m_platform.worker_table(), "", "", ""},
                   &cell_snapshot::workers, 0);
    }

    /// @brief Makes no callbacks from now on.
    auto stop() -> void
    {
        m_ended = true;
        m_callbacks = {};
    }

  private:
    using row_list = std::vector<stored_row> cell_snapshot::*;

    /// A part that is claimed for this epoch before it is read.
    struct part_claim
    {
        row_key epoch_at;
        row_range range;
        row_list into;
        /// Version of the part's epoch row: the earlier owner's (0 if there was
        /// none) until the claim has succeeded.
        std::uint64_t* version;
    };

    /// A range that is being read, page by page.
    struct range_load
    {
        row_range range;
        row_list into;
        std::uint64_t min_version = 0;
        std::shared_ptr<partial_range> so_far;
    };

    /// Over a slow link, pages of all ranges at once would take longer than one
    /// call may, and would occupy all connections, which renewals of the
    /// ownership need too.
    static constexpr std::size_t max_concurrent_loads = 6;
    static constexpr milliseconds load_timeout{1'000};
    static constexpr milliseconds load_pause{40};

    auto claim_part(const part_claim& part) -> void
    {
        row_transaction transaction;
        transaction.conditions.push_back({part.epoch_at, *part.version});
        transaction.writes.push_back({part.epoch_at, std::to_string(m_epoch)});
        m_platform.commit(
            transaction, load_timeout,
            [self = this->shared_from_this(), part](const commit_result& result)
            {
                if (!self->m_ended)
                {
                    self->on_part_claimed(part, result);
                }
            });
    }

    auto on_part_claimed(const part_claim& part, const commit_result& result)
        -> void
    {
        m_health.record(result.state == commit_state::committed ||
                            result.state == commit_state::conflict,
                        boot_clock::now());
        if (result.state == commit_state::committed)
        {
            *part.version = result.version;
            load_range(part.range, part.into, result.version);
            return;
        }
        if (result.state == commit_state::conflict && !result.current.empty())
        {
            on_claim_conflict(part, result.current.front());
            return;
        }
        run_after(load_pause,
                  [part](cell_loader& self)
                  {
                      self.claim_part(part);
                  });
    }

    auto on_claim_conflict(const part_claim& part, const stored_row& row)
        -> void
    {
        if (names_later_owner(row, m_epoch))
        {
            m_callbacks.overtaken();
            return;
        }
        *part.version = row.removed ? 0 : row.version;
        // An earlier claim succeeded although its answer was lost.
        const bool taken = !row.removed && named_epoch(row) == m_epoch;
        if (taken)
        {
            load_range(part.range, part.into, row.version);
            return;
        }
        claim_part(part);
    }

    /// Runs @p step after a pause, unless the ownership has ended.
    template<class Step>
    auto run_after(milliseconds pause, Step step) -> void
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_control);
        timer->expires_after(pause);
        timer->async_wait(
            [self = this->shared_from_this(), timer, step](auto fault)
            {
                if (!fault && !self->m_ended)
                {
                    step(*self);
                }
            });
    }

    /// Reads one range until the store has answered. Each range is retried by
    /// itself: while parts of the store are down, a read of all ranges at once
    /// would hardly ever succeed.
    /// @param min_version  the read is repeated if it reflects an older version
    auto load_range(const row_range& range, row_list into,
                    std::uint64_t min_version) -> void
    {
        queue(
            {range, into, min_version, std::make_shared<partial_range>(range)});
    }

    auto queue(range_load item) -> void
    {
        m_waiting.push_back(std::move(item));
        start_next();
    }

    auto start_next() -> void
    {
        while (m_loading < max_concurrent_loads && !m_waiting.empty())
        {
            auto item = std::move(m_waiting.front());
            m_waiting.pop_front();
            ++m_loading;
            read_rest(m_platform, item.so_far, load_timeout,
                      [self = this->shared_from_this(), item](bool complete)
                      {
                          if (!self->m_ended)
                          {
                              self->on_range_read(item, complete);
                          }
                      });
        }
    }

    auto on_range_read(range_load item, bool complete) -> void
    {
        --m_loading;
        m_health.record(complete, boot_clock::now());
        const auto& rows = item.so_far->found;
        if (complete && rows.version >= item.min_version)
        {
            add_loaded_rows(rows, item.into);
        }
        else
        {
            if (complete)
            {
                logging::warn("store returned stale rows; reading them again")
                    .with("table", item.range.table)
                    .with("part", item.range.part)
                    .with("version", rows.version)
                    .with("needed", item.min_version);
                item.so_far = std::make_shared<partial_range>(item.range);
            }
            run_after(load_pause,
                      [item](cell_loader& self)
                      {
                          self.queue(item);
                      });
        }
        if (!m_ended)
        {
            start_next();
        }
    }

    auto add_loaded_rows(const table_rows& part, row_list into) -> void
    {
        // The feeds repeat all changes after the earliest read.
        m_snapshot.version = m_snapshot.version == 0
                                 ? part.version
                                 : std::min(m_snapshot.version, part.version);
        auto& rows = m_snapshot.*into;
        rows.insert(rows.end(), part.rows.begin(), part.rows.end());
        if (--m_snapshot.ranges_left == 0)
        {
            m_callbacks.loaded(m_snapshot);
        }
    }

    Platform& m_platform;
    boost::asio::io_context& m_control;
    store_health& m_health;
    std::uint64_t m_epoch;
    listener m_callbacks;
    cell_snapshot m_snapshot;
    std::deque<range_load> m_waiting;
    std::size_t m_loading = 0;
    bool m_ended = false;
};

} // namespace pimentoshunt::cell
