/// @file
/// Reads whole tables page by page, and follows their changes.
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

/// @brief What a table held, and the version from which to follow it: each
/// page was read at that version or later.
struct table_rows
{
    std::vector<stored_row> rows;
    std::uint64_t version = 0;
};

/// @brief Reads all rows of a range.
/// @param done  called with nothing when the store did not answer
template<class Platform>
auto read_all(Platform& outside, row_range range, milliseconds limit,
              std::function<void(std::optional<table_rows>)> done) -> void
{
    struct reading
    {
        table_rows found;
        bool first = true;
        std::function<void()> next;
    };
    auto state = std::make_shared<reading>();
    auto place = std::make_shared<row_range>(std::move(range));
    state->next = [&outside, state, place, limit, done = std::move(done)]
    {
        outside.read(*place, limit,
                     [state, place, done](read_result page)
                     {
                         if (!page.answered)
                         {
                             state->next = nullptr;
                             done(std::nullopt);
                             return;
                         }
                         // Changes made while reading come again.
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
                             // The next key in the order of bytes.
                             place->from =
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

/// @brief Reads all rows of several ranges, at the same time.
/// @param done  called with nothing when the store did not answer one of them;
///              the version is the lowest, so that changes since come again
template<class Platform>
auto read_ranges(Platform& outside, const std::vector<row_range>& ranges,
                 milliseconds limit,
                 std::function<void(std::optional<table_rows>)> done) -> void
{
    struct gathering
    {
        table_rows found;
        std::size_t missing = 0;
        bool first = true;
        bool failed = false;
    };
    auto state = std::make_shared<gathering>();
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
        read_all(outside, range, limit, take);
    }
}

/// @brief How a table is followed.
struct feed_times
{
    /// How long a call may wait for a change; also bounds how long a
    /// connection that has gone silent stays unnoticed.
    milliseconds wait{1'000};
    /// Time between a change and the next call: many changes come together.
    milliseconds pause{0};
};

/// @brief Tells of each change of one table, and of all rows anew when the
/// store has lost the history.
template<class Platform>
class table_follower
    : public std::enable_shared_from_this<table_follower<Platform>>
{
  public:
    /// What is told.
    struct listener
    {
        /// All rows, read anew.
        std::function<void(const std::vector<stored_row>&)> all;
        std::function<void(const stored_row&)> changed;
        /// Whether the last call was answered.
        std::function<void(bool)> reached;
    };

    /// @param ranges  of one table, to be read; changes of all its parts are
    ///                told
    table_follower(Platform& outside, boost::asio::io_context& control,
                   std::vector<row_range> ranges, feed_times times,
                   listener tell)
        : m_outside(outside), m_timer(control), m_ranges(std::move(ranges)),
          m_times(times), m_tell(std::move(tell))
    {
    }

    /// @brief Reads everything, then follows.
    auto begin() -> void
    {
        read_ranges(
            m_outside, m_ranges, read_limit,
            [self = this->shared_from_this()](std::optional<table_rows> found)
            {
                self->read_done(std::move(found));
            });
    }

    /// @brief Follows from @p version on.
    auto follow_from(std::uint64_t version) -> void
    {
        m_version = version;
        follow();
    }

    /// @brief All rows of up to there have been read or told.
    [[nodiscard]] auto version() const noexcept -> std::uint64_t
    {
        return m_version;
    }

    auto stop() -> void
    {
        m_stopped = true;
        m_timer.cancel();
        m_tell = {};
    }

  private:
    /// A page comes within milliseconds unless the store is in trouble.
    static constexpr milliseconds read_limit{1'000};
    /// Pause after a call that the store did not answer.
    static constexpr milliseconds retry_pause{100};

    auto read_done(std::optional<table_rows> found) -> void
    {
        if (m_stopped)
        {
            return;
        }
        m_tell.reached(found.has_value());
        if (!found)
        {
            later(retry_pause,
                  [](auto& self)
                  {
                      self.begin();
                  });
            return;
        }
        m_tell.all(found->rows);
        if (m_stopped)
        {
            return;
        }
        m_version = found->version;
        follow();
    }

    auto follow() -> void
    {
        if (m_stopped)
        {
            return;
        }
        // A call that waits can't be told from one that is lost: none waits
        // until the store has answered again.
        const auto wait = m_reached ? m_times.wait : milliseconds(0);
        m_outside.follow(
            m_ranges.front().table, m_version, wait,
            [self = this->shared_from_this()](const feed_result& found)
            {
                self->follow_done(found);
            });
    }

    auto follow_done(const feed_result& found) -> void
    {
        if (m_stopped)
        {
            return;
        }
        m_reached = found.state != feed_state::failed;
        m_tell.reached(m_reached);
        if (found.state == feed_state::failed)
        {
            later(retry_pause,
                  [](auto& self)
                  {
                      self.follow();
                  });
            return;
        }
        if (found.state == feed_state::history_gone)
        {
            logging::info("history of a table is gone: it is read anew")
                .with("table", m_ranges.front().table)
                .with("version", m_version);
            begin();
            return;
        }
        for (const auto& row : found.rows)
        {
            m_tell.changed(row);
            if (m_stopped)
            {
                return;
            }
        }
        m_version = std::max(m_version, found.version);
        if (found.rows.empty() || m_times.pause.count() == 0)
        {
            follow();
            return;
        }
        later(m_times.pause,
              [](auto& self)
              {
                  self.follow();
              });
    }

    template<class Step>
    auto later(milliseconds pause, Step step) -> void
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

    Platform& m_outside;
    boost::asio::steady_timer m_timer;
    std::vector<row_range> m_ranges;
    feed_times m_times;
    listener m_tell;
    std::uint64_t m_version = 0;
    bool m_reached = true;
    bool m_stopped = false;
};

} // namespace pimentoshunt::cell
