/// @file
/// Makes submissions and cancellations durable, many in one transaction.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/cell/stored.hpp>
#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/logging.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>  // any_of, min
#include <deque>      // deque
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <string>     // string
#include <utility>    // move
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief What became of a write that a caller waits for.
enum class intake_result
{
    /// It is durable.
    stored,
    /// It has certainly not been done and won't be.
    refused,
    /// It may have been done: the caller should ask again with the same ID.
    unsettled
};

/// @brief A row that a caller waits for.
struct intake_entry
{
    row_key at;
    std::string value;
    /// Only if the row is not there yet.
    bool fresh = true;
    /// When the caller has to be answered.
    time_point until;
    std::function<void(intake_result)> done;
    /// An earlier transaction with it had no answer.
    bool unsettled = false;
};

/// @brief Group commit for one part of the inbox; one transaction under way at
/// a time.
template<class Platform>
class intake_lane
{
  public:
    intake_lane(Platform& outside, boost::asio::io_context& control,
                store_health& health)
        : m_outside(outside), m_timer(control), m_health(health)
    {
    }

    auto add(intake_entry item) -> void
    {
        if (m_health.away(boot_clock::now()))
        {
            item.done(intake_result::refused);
            return;
        }
        m_queue.push_back(std::move(item));
        pump();
    }

  private:
    /// Bounds of one transaction: below those of the platform's store.
    static constexpr std::size_t most_rows = 60;
    static constexpr std::size_t most_bytes = 400'000;
    /// A transaction takes milliseconds unless the store is in trouble.
    static constexpr milliseconds commit_limit{700};
    /// Pause before what may have been done is tried again.
    static constexpr milliseconds retry_pause{80};

    auto pump() -> void
    {
        if (!m_under_way.empty() || m_queue.empty() || m_pausing)
        {
            return;
        }
        row_transaction transaction;
        std::size_t bytes = 0;
        while (!m_queue.empty() && m_under_way.size() < most_rows &&
               bytes < most_bytes)
        {
            auto& item = m_queue.front();
            const bool twice =
                std::any_of(m_under_way.begin(), m_under_way.end(),
                            [&](const intake_entry& other)
                            {
                                return other.at == item.at;
                            });
            if (twice)
            {
                break;
            }
            if (item.fresh)
            {
                transaction.conditions.push_back({item.at, 0});
            }
            bytes += item.value.size();
            transaction.writes.push_back({item.at, item.value});
            m_under_way.push_back(std::move(item));
            m_queue.pop_front();
        }
        m_outside.commit(transaction, commit_limit,
                         [this](const commit_result& result)
                         {
                             committed(result);
                         });
    }

    auto committed(const commit_result& result) -> void
    {
        const auto now = boot_clock::now();
        auto items = std::exchange(m_under_way, {});
        const bool answered = result.state == commit_state::committed ||
                              result.state == commit_state::conflict;
        m_health.record(answered, now);
        switch (result.state)
        {
        case commit_state::committed:
            for (auto& item : items)
            {
                item.done(intake_result::stored);
            }
            break;
        case commit_state::conflict:
            if (!settle_conflict(items, result))
            {
                logging::error("the store names no row that is in the way");
                settle_failure(items, false, now);
            }
            break;
        case commit_state::not_done:
        case commit_state::unknown:
            settle_failure(items, result.state == commit_state::unknown, now);
            break;
        }
        pump();
    }

    /// Rows that were there already are stored; the others go again.
    /// @return false when none was there
    auto settle_conflict(std::vector<intake_entry>& items,
                         const commit_result& result) -> bool
    {
        const auto is_there = [&](const intake_entry& item)
        {
            return std::any_of(result.current.begin(), result.current.end(),
                               [&](const stored_row& row)
                               {
                                   return row.at == item.at &&
                                          row.version > 0 && !row.removed;
                               });
        };
        if (std::none_of(items.begin(), items.end(), is_there))
        {
            return false;
        }
        for (auto item = items.rbegin(); item != items.rend(); ++item)
        {
            if (is_there(*item))
            {
                item->done(intake_result::stored);
            }
            else
            {
                m_queue.push_front(std::move(*item));
            }
        }
        return true;
    }

    auto settle_failure(std::vector<intake_entry>& items, bool unknown,
                        time_point now) -> void
    {
        for (auto item = items.rbegin(); item != items.rend(); ++item)
        {
            item->unsettled = item->unsettled || unknown;
            if (!item->unsettled)
            {
                item->done(intake_result::refused);
            }
            else if (now + retry_pause >= item->until)
            {
                item->done(intake_result::unsettled);
            }
            else
            {
                m_queue.push_front(std::move(*item));
            }
        }
        if (m_queue.empty())
        {
            return;
        }
        m_pausing = true;
        m_timer.expires_after(retry_pause);
        m_timer.async_wait(
            [this](auto fault)
            {
                m_pausing = false;
                if (!fault)
                {
                    pump();
                }
            });
    }

    Platform& m_outside;
    boost::asio::steady_timer m_timer;
    store_health& m_health;
    std::deque<intake_entry> m_queue;
    std::vector<intake_entry> m_under_way;
    bool m_pausing = false;
};

/// @brief Makes submissions and cancellations durable, each part by itself.
template<class Platform>
class intake
{
  public:
    using handler = std::function<void(intake_result)>;

    intake(Platform& outside, boost::asio::io_context& control,
           store_health& health)
    {
        for (std::size_t i = 0; i < inbox_parts; ++i)
        {
            m_lanes.emplace(inbox_part(i),
                            std::make_unique<intake_lane<Platform>>(
                                outside, control, health));
        }
    }

    /// @brief Stores a job; a job of that ID that is there already is the same.
    /// @param until  when the caller has to be answered
    auto submit(const job_spec& job, time_point until, handler done) -> void
    {
        add({job_row(job.id), to_bytes(job), true, until, std::move(done)});
    }

    /// @brief Stores that a job is to end.
    auto cancel(const job_id& job, time_point until, handler done) -> void
    {
        add({cancel_row(job), "1", false, until, std::move(done)});
    }

  private:
    auto add(intake_entry item) -> void
    {
        m_lanes.at(item.at.part)->add(std::move(item));
    }

    std::map<std::string, std::unique_ptr<intake_lane<Platform>>> m_lanes;
};

} // namespace pimentoshunt::cell
