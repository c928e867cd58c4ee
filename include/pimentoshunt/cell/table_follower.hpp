/// @file
/// Follows the changes of a table of the store. Used by the control thread.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/store_reader.hpp>
#include <pimentoshunt/logging.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>  // none_of
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // shared_ptr
#include <utility>    // move
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief What a follower delivers after calls that the store did not answer.
enum class feed_content
{
    /// Each change that was missed.
    every_change,
    /// All rows as they are then. For rows of which only the newest state
    /// matters: the versions that were missed may take far longer to transfer.
    newest_state
};

/// @brief Timing of the calls that follow a table.
struct feed_timing
{
    /// How long a call may wait for a change; also bounds how long a dead
    /// connection stays unnoticed.
    milliseconds wait{1'000};
    /// Time between a change and the next call, so that many changes are
    /// delivered together.
    milliseconds pause{0};
    feed_content content = feed_content::every_change;
};

/// @brief Timing of a feed without a pause, of rows of which only the newest
/// state matters.
inline constexpr feed_timing newest_state_feed{.content =
                                                   feed_content::newest_state};

/// @brief Delivers each change of one table, and all rows again when the store
/// no longer has the history or only the newest state matters.
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
        m_reading = unread(m_ranges);
        read_all();
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
    /// Time limit of a page. The same as for a feed call that does not wait, so
    /// that a silent connection is noticed as soon.
    static constexpr milliseconds read_timeout{500};
    /// Pause after a call that the store did not answer.
    static constexpr milliseconds retry_pause{100};

    auto read_all() -> void
    {
        // Without pages of earlier attempts the rows are as of this one.
        if (std::none_of(m_reading.begin(), m_reading.end(),
                         [](const auto& range)
                         {
                             return range->has_pages;
                         }))
        {
            m_read_began = boot_clock::now();
        }
        read_rest(m_platform, m_reading, read_timeout,
                  [self = this->shared_from_this()](bool complete)
                  {
                      self->on_read(complete);
                  });
    }

    auto on_read(bool complete) -> void
    {
        if (m_stopped)
        {
            return;
        }
        m_callbacks.on_call_ended(complete);
        if (!complete)
        {
            run_after(retry_pause,
                      [](auto& self)
                      {
                          self.read_all();
                      });
            return;
        }
        const auto found = combine(m_reading);
        m_reading.clear();
        if (found.version < m_version)
        {
            logging::warn("store returned stale rows; reading them again")
                .with("table", m_ranges.front().table)
                .with("version", found.version)
                .with("needed", m_version);
            run_after(retry_pause,
                      [](auto& self)
                      {
                          self.begin();
                      });
            return;
        }
        m_callbacks.on_all_rows(found.rows);
        if (m_stopped)
        {
            return;
        }
        m_version = found.version;
        m_last_call_answered = true;
        // The oldest page may be of the first attempt.
        notify_current(m_read_began);
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

    auto resume() -> void
    {
        if (m_timing.content == feed_content::newest_state)
        {
            begin();
            return;
        }
        follow();
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
                          self.resume();
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
        // A store that lags behind what it has shown, or an answer without a
        // version, may lack changes.
        if (found.version >= m_version)
        {
            m_version = found.version;
            notify_current(sent_at);
        }
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
    /// The complete read that has not ended, and when the attempt began that
    /// read its first page.
    partial_ranges m_reading;
    time_point m_read_began;
    std::uint64_t m_version = 0;
    bool m_last_call_answered = true;
    bool m_stopped = false;
};

} // namespace pimentoshunt::cell
