/// @file
/// Reads whole ranges of the store page by page, and follows the changes of a
/// table. Used by the control thread.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/logging.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>  // min, max
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <string>     // string
#include <utility>    // move
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief Rows of a table and the version from which to follow changes; each
/// page was read at that version or later.
struct table_rows
{
    std::vector<stored_row> rows;
    std::uint64_t version = 0;
};

/// @brief Reads all rows of a range, page by page.
/// @param limit  time limit of each page
/// @param done   called with an empty value if the store did not answer
template<class Platform>
auto read_range(Platform& platform, row_range range, milliseconds limit,
                std::function<void(std::optional<table_rows>)> done) -> void
{
    struct reading
    {
        table_rows found;
        bool first = true;
        std::function<void()> next;
    };
    auto state = std::make_shared<reading>();
    auto position = std::make_shared<row_range>(std::move(range));
    state->next = [&platform, state, position, limit, done = std::move(done)]
    {
        platform.read(*position, limit,
                      [state, position, done](read_result page)
                      {
                          if (!page.answered)
                          {
                              state->next = nullptr;
                              done(std::nullopt);
                              return;
                          }
                          // The lowest version, so that the feed repeats
                          // changes made during the read.
                          auto& version = state->found.version;
                          version = state->first
                                        ? page.version
                                        : std::min(version, page.version);
                          state->first = false;
                          for (auto& row : page.rows)
                          {
                              state->found.rows.push_back(std::move(row));
                          }
                          if (page.more && !state->found.rows.empty())
                          {
                              // The smallest key that follows, in byte order.
                              position->from =
                                  state->found.rows.back().at.key + '\x01';
                              state->next();
                              return;
                          }
                          state->next = nullptr;
                          done(std::move(state->found));
                      });
    };
    state->next();
}

/// @brief Reads all rows of several ranges concurrently.
/// @param limit  time limit of each page
/// @param done   called with an empty value if the store did not answer for one
///               of the ranges; the version is the lowest of all, so that the
///               feed repeats later changes
template<class Platform>
auto read_ranges(Platform& platform, const std::vector<row_range>& ranges,
                 milliseconds limit,
                 std::function<void(std::optional<table_rows>)> done) -> void
{
    struct combined_read
    {
        table_rows found;
        std::size_t missing = 0;
        bool first = true;
        bool failed = false;
    };
    auto state = std::make_shared<combined_read>();
    state->missing = ranges.size();
    const auto take =
        [state, done = std::move(done)](std::optional<table_rows> part)
    {
        state->failed = state->failed || !part;
        if (part)
        {
            auto& found = state->found;
            found.version = state->first
                                ? part->version
                                : std::min(found.version, part->version);
            state->first = false;
            found.rows.insert(found.rows.end(), part->rows.begin(),
                              part->rows.end());
        }
        if (--state->missing == 0)
        {
            done(state->failed ? std::nullopt
                               : std::optional(std::move(state->found)));
        }
    };
    for (const auto& range : ranges)
    {
        read_range(platform, range, limit, take);
    }
}

/// @brief Timing of the calls that follow a table.
struct feed_timing
{
    /// How long a call may wait for a change; also bounds how long a dead
    /// connection stays unnoticed.
    milliseconds wait{1'000};
    /// Time between a change and the next call, so that many changes are
    /// delivered together.
    milliseconds pause{0};
};

/// @brief Delivers each change of one table, and all rows again when the store
/// no longer has the history.
template<class Platform>
class table_follower
    : public std::enable_shared_from_this<table_follower<Platform>>
{
  public:
    /// Callbacks of a follower.
    struct listener
    {
        /// Called with all rows after a complete read.
        std::function<void(const std::vector<stored_row>&)> on_all_rows;
        std::function<void(const stored_row&)> on_change;
        /// Called after each call with whether the store answered it.
        std::function<void(bool)> on_call_ended;
        /// Called once all changes that an answer shows are delivered, with the
        /// time before the call was sent: what has been delivered was complete
        /// then. May be empty.
        std::function<void(time_point)> on_current;
    };

    /// @param ranges  of one table, for complete reads; changes are delivered
    ///                for all parts of the table
    table_follower(Platform& platform, boost::asio::io_context& control,
                   std::vector<row_range> ranges, feed_timing timing,
                   listener callbacks)
        : m_platform(platform), m_timer(control), m_ranges(std::move(ranges)),
          m_timing(timing), m_callbacks(std::move(callbacks))
    {
    }

    /// @brief Reads all rows, then follows.
    auto begin() -> void
    {
        read_ranges(
            m_platform, m_ranges, read_timeout,
            [self = this->shared_from_this(),
             sent_at = boot_clock::now()](std::optional<table_rows> found)
            {
                self->on_read(std::move(found), sent_at);
            });
    }

    /// @brief Follows the changes after @p version without a complete read.
    auto follow_from(std::uint64_t version) -> void
    {
        m_version = version;
        follow();
    }

    /// @brief All rows up to this version have been delivered.
    [[nodiscard]] auto version() const noexcept -> std::uint64_t
    {
        return m_version;
    }

    /// @brief Makes no callbacks from now on.
    auto stop() -> void
    {
        m_stopped = true;
        m_timer.cancel();
        m_callbacks = {};
    }

  private:
    /// A page takes milliseconds unless the store is in trouble.
    static constexpr milliseconds read_timeout{1'000};
    /// Pause after a call that the store did not answer.
    static constexpr milliseconds retry_pause{100};

    auto on_read(std::optional<table_rows> found, time_point sent_at) -> void
    {
        if (m_stopped)
        {
            return;
        }
        m_callbacks.on_call_ended(found.has_value());
        if (!found)
        {
            run_after(retry_pause,
                      [](auto& self)
                      {
                          self.begin();
                      });
            return;
        }
        m_callbacks.on_all_rows(found->rows);
        if (m_stopped)
        {
            return;
        }
        m_version = found->version;
        notify_current(sent_at);
        follow();
    }

    auto notify_current(time_point sent_at) -> void
    {
        if (m_callbacks.on_current)
        {
            m_callbacks.on_current(sent_at);
        }
    }

    auto follow() -> void
    {
        if (m_stopped)
        {
            return;
        }
        // A waiting call can't be distinguished from a lost one: after a
        // failure calls do not wait until the store has answered again.
        const auto wait =
            m_last_call_answered ? m_timing.wait : milliseconds(0);
        m_platform.follow(
            m_ranges.front().table, m_version, wait,
            [self = this->shared_from_this(),
             sent_at = boot_clock::now()](const feed_result& found)
            {
                self->on_feed_answer(found, sent_at);
            });
    }

    auto on_feed_answer(const feed_result& found, time_point sent_at) -> void
    {
        if (m_stopped)
        {
            return;
        }
        m_last_call_answered = found.state != feed_state::failed;
        m_callbacks.on_call_ended(m_last_call_answered);
        if (found.state == feed_state::failed)
        {
            run_after(retry_pause,
                      [](auto& self)
                      {
                          self.follow();
                      });
            return;
        }
        if (found.state == feed_state::history_gone)
        {
            logging::info(
                "store no longer has the history of a table; reading all rows")
                .with("table", m_ranges.front().table)
                .with("version", m_version);
            begin();
            return;
        }
        for (const auto& row : found.rows)
        {
            m_callbacks.on_change(row);
            if (m_stopped)
            {
                return;
            }
        }
        m_version = std::max(m_version, found.version);
        notify_current(sent_at);
        if (found.rows.empty() || m_timing.pause.count() == 0)
        {
            follow();
            return;
        }
        run_after(m_timing.pause,
                  [](auto& self)
                  {
                      self.follow();
                  });
    }

    template<class Step>
    auto run_after(milliseconds pause, Step step) -> void
    {
        m_timer.expires_after(pause);
        m_timer.async_wait(
            [self = this->shared_from_this(), step](auto fault)
            {
                if (!fault && !self->m_stopped)
                {
                    step(*self);
                }
            });
    }

    Platform& m_platform;
    boost::asio::steady_timer m_timer;
    std::vector<row_range> m_ranges;
    feed_timing m_timing;
    listener m_callbacks;
    std::uint64_t m_version = 0;
    bool m_last_call_answered = true;
    bool m_stopped = false;
};

} // namespace pimentoshunt::cell
