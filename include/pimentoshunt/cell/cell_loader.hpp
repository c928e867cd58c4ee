/// @file
/// Reads all that a new owner has to know, and takes the parts of progress over
/// on the way.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/cell/store_reader.hpp>
#include <pimentoshunt/cell/tables.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>  // min
#include <array>      // array
#include <charconv>   // from_chars
#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <string>     // to_string
#include <utility>    // move
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief All that a new owner reads.
struct stored_cell
{
    std::vector<stored_row> inbox;
    std::vector<stored_row> progress;
    std::vector<stored_row> workers;
    std::vector<stored_row> roster;
    /// From which to follow changes.
    std::uint64_t version = 0;
    /// Versions of the rows that name the owner of each part of progress.
    std::array<std::uint64_t, progress_parts> part_versions{};
    /// Ranges that have not been read.
    std::size_t missing = 0;
};

/// @brief Whether a part's row names an owner after that of @p epoch.
[[nodiscard]] inline auto names_later_owner(const stored_row& row,
                                            std::uint64_t epoch) -> bool
{
    std::uint64_t named = 0;
    const auto& text = row.value;
    // A text that is no number names nobody: it reads as zero.
    std::from_chars(text.data(), text.data() + text.size(), named);
    return named > epoch;
}

/// @brief Reads until the store has answered everything.
template<class Platform>
class cell_loader : public std::enable_shared_from_this<cell_loader<Platform>>
{
  public:
    /// What is told, once.
    struct listener
    {
        std::function<void(const stored_cell&)> loaded;
        std::function<void()> overtaken;
    };

    cell_loader(Platform& outside, boost::asio::io_context& control,
                store_health& health, std::uint64_t epoch, listener tell)
        : m_outside(outside), m_control(control), m_health(health),
          m_epoch(epoch), m_tell(std::move(tell))
    {
    }

    auto begin() -> void
    {
        auto found = std::make_shared<stored_cell>();
        load_ranges(found, inbox_ranges(), &stored_cell::inbox);
        found->missing += progress_parts;
        for (std::size_t part = 0; part < progress_parts; ++part)
        {
            take_part(found, part, 0);
        }
        load_ranges(found, {{roster_table, cell_part, "", ""}},
                    &stored_cell::roster);
        load_ranges(found, {{m_outside.worker_table(), "", "", ""}},
                    &stored_cell::workers);
    }

    auto stop() -> void
    {
        m_ended = true;
        m_tell = {};
    }

  private:
    using stored_rows = std::vector<stored_row> stored_cell::*;

    static constexpr milliseconds load_limit{1'000};
    static constexpr milliseconds load_pause{40};

    /// Takes a part of progress over, then reads it.
    /// @param version  of the row that names the earlier owner; 0: none
    auto take_part(const std::shared_ptr<stored_cell>& found, std::size_t part,
                   std::uint64_t version) -> void
    {
        row_transaction transaction;
        transaction.conditions.push_back({part_epoch_row(part), version});
        transaction.writes.push_back(
            {part_epoch_row(part), std::to_string(m_epoch)});
        m_outside.commit(transaction, load_limit,
                         [self = this->shared_from_this(), found, part,
                          version](const commit_result& result)
                         {
                             if (!self->m_ended)
                             {
                                 self->part_taken(found, part, version, result);
                             }
                         });
    }

    auto part_taken(const std::shared_ptr<stored_cell>& found, std::size_t part,
                    std::uint64_t version, const commit_result& result) -> void
    {
        m_health.record(result.state == commit_state::committed ||
                            result.state == commit_state::conflict,
                        boot_clock::now());
        if (result.state == commit_state::committed)
        {
            found->part_versions[part] = result.version;
            load_range(found, {progress_table, progress_part(part), "", ""},
                       &stored_cell::progress);
            return;
        }
        if (result.state == commit_state::conflict && !result.current.empty())
        {
            const auto& row = result.current.front();
            if (names_later_owner(row, m_epoch))
            {
                m_tell.overtaken();
                return;
            }
            take_part(found, part, row.removed ? 0 : row.version);
            return;
        }
        after(load_pause,
              [found, part, version](cell_loader& self)
              {
                  self.take_part(found, part, version);
              });
    }

    /// Does something later, unless the ownership has ended.
    template<class Step>
    auto after(milliseconds pause, Step step) -> void
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

    auto load_ranges(const std::shared_ptr<stored_cell>& found,
                     const std::vector<row_range>& ranges, stored_rows into)
        -> void
    {
        found->missing += ranges.size();
        for (const auto& range : ranges)
        {
            load_range(found, range, into);
        }
    }

    /// Reads one range until the store has answered: while it is down in part,
    /// all ranges at once would hardly ever be read.
    auto load_range(const std::shared_ptr<stored_cell>& found,
                    const row_range& range, stored_rows into) -> void
    {
        read_all(m_outside, range, load_limit,
                 [self = this->shared_from_this(), found, range,
                  into](std::optional<table_rows> part)
                 {
                     if (self->m_ended)
                     {
                         return;
                     }
                     self->m_health.record(part.has_value(), boot_clock::now());
                     if (!part)
                     {
                         self->load_later(found, range, into);
                         return;
                     }
                     self->range_loaded(*found, *part, into);
                 });
    }

    auto load_later(const std::shared_ptr<stored_cell>& found,
                    const row_range& range, stored_rows into) -> void
    {
        after(load_pause,
              [found, range, into](cell_loader& self)
              {
                  self.load_range(found, range, into);
              });
    }

    auto range_loaded(stored_cell& found, const table_rows& part,
                      stored_rows into) -> void
    {
        // Changes since the earliest reading come again by the feeds.
        found.version = found.version == 0
                            ? part.version
                            : std::min(found.version, part.version);
        auto& rows = found.*into;
        rows.insert(rows.end(), part.rows.begin(), part.rows.end());
        if (--found.missing == 0)
        {
            m_tell.loaded(found);
        }
    }

    Platform& m_outside;
    boost::asio::io_context& m_control;
    store_health& m_health;
    std::uint64_t m_epoch;
    listener m_tell;
    bool m_ended = false;
};

} // namespace pimentoshunt::cell
