/// @file
/// Reads the operators' configuration from the store, follows its changes, and
/// dates what is known of it.
#pragma once

#include <pimentoshunt/cell/policy/configuration_freshness.hpp>
#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/cell/store_reader.hpp>
#include <pimentoshunt/cell/table_follower.hpp>
#include <pimentoshunt/logging.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>  // any_of
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <utility>    // exchange, move
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief The configuration in force at this instance. Used by the control
/// thread only; has to outlive its calls to the store.
template<class Platform>
class configuration_feed
{
  public:
    /// Most requests that wait for a refresh at a time: each holds its body.
    static constexpr std::size_t max_waiting = 64;
    /// Longest wait for a refresh; leaves a caller time for another instance.
    static constexpr milliseconds max_wait{400};
    /// Bounds what callers with unknown keys cost the store: at most two calls a
    /// second and instance.
    static constexpr milliseconds refresh_interval{500};

    /// @param on_new  called with each version that comes into force
    configuration_feed(Platform& platform, boost::asio::io_context& control,
                       store_health& health,
                       const policy::configuration_bounds& bounds,
                       std::function<void(const configuration&)> on_new)
        : m_platform(platform), m_control(control), m_health(health),
          m_row(platform.configuration_row()), m_bounds(bounds),
          m_on_new(std::move(on_new)), m_wait_timer(control)
    {
    }

    configuration_feed(const configuration_feed&) = delete;
    auto operator=(const configuration_feed&) -> configuration_feed& = delete;

    /// @brief Reads the configuration, then follows it.
    auto start() -> void
    {
        typename table_follower<Platform>::listener callbacks;
        callbacks.on_change = [this](const stored_row& row)
        {
            on_row(row);
        };
        callbacks.on_all_rows = [this](const std::vector<stored_row>& rows)
        {
            on_range(rows);
        };
        callbacks.on_call_ended = [this](bool answered)
        {
            m_health.record(answered, boot_clock::now());
        };
        callbacks.on_current = [this](time_point sent_at)
        {
            m_freshness.on_proof(sent_at);
        };
        // The wait also bounds how long a dead connection stays unnoticed:
        // changes have to be in force within two seconds.
        auto timing = newest_state_feed;
        timing.wait = policy::feed_wait(m_bounds, timing.wait);
        m_follower = std::make_shared<table_follower<Platform>>(
            m_platform, m_control,
            std::vector<row_range>{row_range{m_row.table, m_row.part, "", ""}},
            timing, std::move(callbacks));
        m_follower->begin();
    }

    /// @brief Makes no callbacks from now on; waiting requests are dropped.
    auto stop() -> void
    {
        m_stopped = true;
        m_wait_timer.cancel();
        m_waiting.clear();
        if (m_follower)
        {
            m_follower->stop();
        }
    }

    /// @brief The configuration in force; nullptr before the first one.
    [[nodiscard]] auto in_force() const -> const configuration*
    {
        return m_in_force ? &*m_in_force : nullptr;
    }

    /// @brief How recent the knowledge of the configuration is.
    [[nodiscard]] auto freshness() const
        -> const policy::configuration_freshness&
    {
        return m_freshness;
    }

    /// @brief When the last call was sent whose answer showed the newest
    /// version; empty before the first.
    [[nodiscard]] auto proven_at() const -> std::optional<time_point>
    {
        return m_freshness.proven_at();
    }

    /// @brief Asks the store for the newest version. One request is in progress
    /// at a time; further calls wait for it.
    /// @param done  called once the request has ended or @ref max_wait has
    ///              passed, but not within this call; may be empty
    /// @return whether @p done will be called; false if a request is not due,
    ///         has been in progress for too long, or too many wait for it
    auto refresh(std::function<void()> done) -> bool
    {
        const auto now = boot_clock::now();
        const bool is_due =
            !m_refreshed_at || now - *m_refreshed_at >= refresh_interval;
        const bool can_wait =
            m_refreshing ? m_accepts_waiting : is_due && m_in_force;
        if (m_stopped || !can_wait || m_waiting.size() >= max_waiting)
        {
            return false;
        }
        if (done)
        {
            m_waiting.push_back(std::move(done));
        }
        if (!m_refreshing)
        {
            begin_refresh(now);
        }
        return true;
    }

  private:
    static constexpr milliseconds read_timeout{1'000};

    auto on_range(const std::vector<stored_row>& rows) -> void
    {
        const bool found = std::any_of(rows.begin(), rows.end(),
                                       [this](const stored_row& row)
                                       {
                                           return row.at.key == m_row.key;
                                       });
        for (const auto& row : rows)
        {
            on_row(row);
        }
        if (!found && m_in_force)
        {
            on_removed();
        }
    }

    auto on_removed() -> void
    {
        logging::error("configuration was removed; keeping the previous one");
        m_freshness.on_newest(false);
    }

    auto on_row(const stored_row& row) -> void
    {
        // Answers of the feed and of a refresh may arrive in any order.
        const bool is_late = m_row_version && row.version <= *m_row_version;
        if (row.at.key != m_row.key || is_late)
        {
            return;
        }
        m_row_version = row.version;
        if (row.removed)
        {
            on_removed();
            return;
        }
        auto read = m_platform.read_configuration(row);
        m_freshness.on_newest(read.has_value());
        if (!read)
        {
            logging::error(
                "configuration is malformed; keeping the previous one")
                .with("row_version", row.version);
            return;
        }
        // The row decides, not the version in it: operators may go back to an
        // earlier version, which withdraws keys like any other.
        logging::info("configuration in force")
            .with("version", read->version)
            .with("routes", read->routes.size())
            .with("workspaces", read->workspaces.size());
        m_in_force = std::move(read);
        m_on_new(*m_in_force);
    }

    /// A feed call without a wait: its answer shows the changes only, while the
    /// row itself may take a third of a second over a slow link.
    auto begin_refresh(time_point now) -> void
    {
        m_refreshing = true;
        m_accepts_waiting = true;
        m_refreshed_at = now;
        m_wait_timer.expires_after(max_wait);
        m_wait_timer.async_wait(
            [this, now](auto fault)
            {
                // After a pause of the process the end of an earlier wait may
                // be handled after the next refresh has begun.
                if (!fault && !m_stopped && m_refreshed_at == now)
                {
                    resume_waiting();
                }
            });
        m_platform.follow(
            m_row.table, m_follower->version(), milliseconds(0),
            [this, now, after = m_follower->version()](const feed_result& found)
            {
                on_refreshed(found, after, now);
            });
    }

    /// @param after  version after which changes were asked for
    auto on_refreshed(const feed_result& found, std::uint64_t after,
                      time_point sent_at) -> void
    {
        if (m_stopped)
        {
            return;
        }
        m_health.record(found.state != feed_state::failed, boot_clock::now());
        switch (found.state)
        {
        case feed_state::history_gone:
            read_row(after);
            return;
        case feed_state::changes:
            for (const auto& row : found.rows)
            {
                on_row(row);
            }
            if (found.version >= after)
            {
                m_freshness.on_proof(sent_at);
            }
            break;
        case feed_state::failed:
            break;
        }
        end_refresh();
    }

    /// Reads the row itself: the store no longer has its changes.
    /// @param after  rows of an older version are ignored
    auto read_row(std::uint64_t after) -> void
    {
        read_range(m_platform,
                   {m_row.table, m_row.part, m_row.key, m_row.key + '\x01'},
                   read_timeout,
                   [this, after, sent_at = boot_clock::now()](
                       const std::optional<table_rows>& found)
                   {
                       if (m_stopped)
                       {
                           return;
                       }
                       m_health.record(found.has_value(), boot_clock::now());
                       if (found && found->version >= after)
                       {
                           on_range(found->rows);
                           m_freshness.on_proof(sent_at);
                       }
                       end_refresh();
                   });
    }

    auto end_refresh() -> void
    {
        m_refreshing = false;
        m_wait_timer.cancel();
        resume_waiting();
    }

    auto resume_waiting() -> void
    {
        m_accepts_waiting = false;
        for (const auto& resume : std::exchange(m_waiting, {}))
        {
            resume();
        }
    }

    Platform& m_platform;
    boost::asio::io_context& m_control;
    store_health& m_health;
    row_key m_row;
    policy::configuration_bounds m_bounds;
    std::function<void(const configuration&)> m_on_new;
    std::shared_ptr<table_follower<Platform>> m_follower;
    std::optional<configuration> m_in_force;
    /// Version of the newest row that was delivered.
    std::optional<std::uint64_t> m_row_version;
    policy::configuration_freshness m_freshness;
    boost::asio::steady_timer m_wait_timer;
    std::vector<std::function<void()>> m_waiting;
    std::optional<time_point> m_refreshed_at;
    bool m_refreshing = false;
    bool m_accepts_waiting = false;
    bool m_stopped = false;
};

} // namespace pimentoshunt::cell
