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

#include <algorithm>  // any_of, find_if
#include <cstdint>    // uint64_t
#include <deque>      // deque
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr, unique_ptr
#include <string>     // string
#include <utility>    // exchange, move
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

/// @brief A caller that waits for its row: answered once, and in time.
class intake_caller : public std::enable_shared_from_this<intake_caller>
{
  public:
    using handler = std::function<void(intake_result)>;

    intake_caller(boost::asio::io_context& control, handler done)
        : m_timer(control), m_done(std::move(done))
    {
    }

    /// @brief Answers at @p until with what is known by then.
    auto answer_by(time_point until) -> void
    {
        m_timer.expires_after(until - boot_clock::now());
        m_timer.async_wait(
            [self = shared_from_this()](auto fault)
            {
                if (!fault)
                {
                    self->answer(self->known());
                }
            });
    }

    auto answer(intake_result result) -> void
    {
        if (const auto done = std::exchange(m_done, nullptr))
        {
            m_timer.cancel();
            done(result);
        }
    }

    /// @brief Whether it has not been answered. The row of a caller that was
    /// answered must not be sent any more: it may have been told of a refusal.
    [[nodiscard]] auto waits() const -> bool
    {
        return m_done != nullptr;
    }

    auto sent() -> void
    {
        m_under_way = true;
    }

    /// @param maybe_done  whether the transaction had no answer
    auto came_back(bool maybe_done) -> void
    {
        m_under_way = false;
        m_maybe_done = m_maybe_done || maybe_done;
    }

    /// @brief What is to be said if nothing more is tried.
    [[nodiscard]] auto known() const -> intake_result
    {
        return m_under_way || m_maybe_done ? intake_result::unsettled
                                           : intake_result::refused;
    }

  private:
    boost::asio::steady_timer m_timer;
    handler m_done;
    bool m_under_way = false;
    /// An earlier transaction with the row had no answer.
    bool m_maybe_done = false;
};

/// @brief A row that a caller waits for.
struct intake_entry
{
    job_id job;
    /// Which of the job's parts is tried, and how many have failed.
    std::size_t choice = 0;
    std::size_t failed = 0;
    row_key at;
    /// The job to be stored; nullptr: its cancellation.
    std::shared_ptr<const job_spec> spec;
    std::string value;
    std::shared_ptr<intake_caller> caller;

    /// @brief Whether the row is written only if it is not there yet.
    [[nodiscard]] auto fresh() const -> bool
    {
        return spec != nullptr;
    }

    /// @brief What is written while the part names the owner of @p epoch.
    [[nodiscard]] auto value_under(std::uint64_t epoch) const -> std::string
    {
        return spec ? to_bytes(inbox_job{*spec, epoch}) : "1";
    }
};

/// @brief Group commit for one part of the inbox; one transaction under way at
/// a time.
template<class Platform>
class intake_lane
{
  public:
    /// What takes entries that this part did not take.
    using failure_handler = std::function<void(intake_entry)>;
    /// What is told of each row that is stored.
    using stored_handler = std::function<void(const stored_row&)>;

    intake_lane(Platform& outside, store_health& health, std::string part,
                stored_handler stored, failure_handler failed)
        : m_outside(outside), m_health(health), m_part(std::move(part)),
          m_stored(std::move(stored)), m_failed(std::move(failed))
    {
    }

    auto add(intake_entry item) -> void
    {
        m_queue.push_back(std::move(item));
        pump();
    }

    /// @brief Whether the part failed a moment ago.
    [[nodiscard]] auto failing(time_point now) const -> bool
    {
        return now < m_failing_until;
    }

  private:
    /// Bounds of one transaction: below those of the platform's store, which
    /// counts each row as a condition and as a write, and the part's owner.
    static constexpr std::size_t most_rows = 49;
    static constexpr std::size_t most_bytes = 400'000;
    /// A transaction takes milliseconds unless the store is in trouble.
    static constexpr milliseconds commit_limit{700};
    /// A part that failed is not the first choice for so long.
    static constexpr milliseconds avoid_for{500};

    auto pump() -> void
    {
        if (!m_under_way.empty() || m_queue.empty())
        {
            return;
        }
        row_transaction transaction;
        transaction.conditions.push_back(
            {inbox_epoch_row(m_part), m_epoch_version});
        std::size_t bytes = 0;
        while (!m_queue.empty() && m_under_way.size() < most_rows &&
               bytes < most_bytes)
        {
            auto& item = m_queue.front();
            if (!item.caller->waits())
            {
                m_queue.pop_front();
                continue;
            }
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
            if (item.fresh())
            {
                transaction.conditions.push_back({item.at, 0});
            }
            item.value = item.value_under(m_epoch);
            bytes += item.value.size();
            transaction.writes.push_back({item.at, item.value});
            item.caller->sent();
            m_under_way.push_back(std::move(item));
            m_queue.pop_front();
        }
        if (m_under_way.empty())
        {
            return;
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
            for (const auto& item : items)
            {
                stored(item, {item.at, item.value, result.version, false});
            }
            break;
        case commit_state::conflict:
            if (!settle_conflict(items, result))
            {
                logging::error("the store names no row that is in the way");
                fail(items, false, now);
            }
            break;
        case commit_state::not_done:
        case commit_state::unknown:
            fail(items, result.state == commit_state::unknown, now);
            break;
        }
        pump();
    }

    /// Rows that were there already are stored; the others go again.
    /// @return false when nothing that is known was in the way
    auto settle_conflict(std::vector<intake_entry>& items,
                         const commit_result& result) -> bool
    {
        bool known = !result.current.empty() && take_epoch(result);
        for (auto item = items.rbegin(); item != items.rend(); ++item)
        {
            // As it was written: an earlier owner may have been in force.
            if (const auto* const row = row_in(result, item->at))
            {
                known = true;
                stored(*item, *row);
            }
        }
        if (!known)
        {
            return false;
        }
        for (auto item = items.rbegin(); item != items.rend(); ++item)
        {
            if (row_in(result, item->at) == nullptr)
            {
                item->caller->came_back(false);
                m_queue.push_front(std::move(*item));
            }
        }
        return true;
    }

    /// @return whether another owner is in force here than was known
    auto take_epoch(const commit_result& result) -> bool
    {
        const auto* const row = row_in(result, inbox_epoch_row(m_part));
        const auto version = row == nullptr ? 0 : row->version;
        if (version == m_epoch_version)
        {
            return false;
        }
        m_epoch_version = version;
        m_epoch = row == nullptr ? 0 : named_epoch(*row);
        logging::info("a part of the inbox has another owner")
            .with("part", m_part)
            .with("epoch", m_epoch)
            .with("version", version);
        return true;
    }

    /// @return nullptr when the row is not there
    static auto row_in(const commit_result& result, const row_key& at)
        -> const stored_row*
    {
        const auto row = std::find_if(
            result.current.begin(), result.current.end(),
            [&](const stored_row& found)
            {
                return found.at == at && !found.removed && found.version > 0;
            });
        return row == result.current.end() ? nullptr : &*row;
    }

    /// The owner is told first: it can begin while the answer travels.
    auto stored(const intake_entry& item, const stored_row& row) -> void
    {
        m_stored(row);
        item.caller->answer(intake_result::stored);
    }

    auto fail(std::vector<intake_entry>& items, bool unknown, time_point now)
        -> void
    {
        m_failing_until = now + avoid_for;
        for (auto& item : items)
        {
            item.caller->came_back(unknown);
            ++item.failed;
            m_failed(std::move(item));
        }
    }

    Platform& m_outside;
    store_health& m_health;
    std::string m_part;
    /// The owner that the part names, and the version of the row that does.
    std::uint64_t m_epoch = 0;
    std::uint64_t m_epoch_version = 0;
    stored_handler m_stored;
    failure_handler m_failed;
    std::deque<intake_entry> m_queue;
    std::vector<intake_entry> m_under_way;
    time_point m_failing_until;
};

/// @brief Makes submissions and cancellations durable. A part of the store that
/// does not take a row is passed over for the job's next one.
template<class Platform>
class intake
{
  public:
    using handler = intake_caller::handler;
    using stored_handler = typename intake_lane<Platform>::stored_handler;

    /// @param stored  told of each row that is stored
    intake(Platform& outside, boost::asio::io_context& control,
           store_health& health, const stored_handler& stored)
        : m_control(control), m_health(health)
    {
        for (std::size_t i = 0; i < inbox_parts; ++i)
        {
            m_lanes.emplace(inbox_part(i),
                            std::make_unique<intake_lane<Platform>>(
                                outside, health, inbox_part(i), stored,
                                [this](intake_entry item)
                                {
                                    retry(std::move(item));
                                }));
        }
    }

    /// @brief Stores a job; a job of that ID that is there already is the same.
    /// @param until  when the caller has to be answered
    auto submit(const job_spec& job, time_point until, handler done) -> void
    {
        intake_entry item;
        item.job = job.id;
        item.spec = std::make_shared<const job_spec>(job);
        add(std::move(item), until, std::move(done));
    }

    /// @brief Stores that a job is to end.
    auto cancel(const job_id& job, time_point until, handler done) -> void
    {
        intake_entry item;
        item.job = job;
        add(std::move(item), until, std::move(done));
    }

  private:
    /// Pause before what may have been done is tried again.
    static constexpr milliseconds retry_pause{80};

    auto add(intake_entry item, time_point until, handler done) -> void
    {
        const auto now = boot_clock::now();
        if (m_health.away(now))
        {
            done(intake_result::refused);
            return;
        }
        item.caller =
            std::make_shared<intake_caller>(m_control, std::move(done));
        item.caller->answer_by(until);
        // Parts that have just failed are passed over if another has not.
        for (std::size_t i = 0; i < parts_of_job; ++i)
        {
            if (!lane_of(item.job, i).failing(now))
            {
                item.choice = i;
                break;
            }
        }
        send(std::move(item));
    }

    auto lane_of(const job_id& job, std::size_t choice)
        -> intake_lane<Platform>&
    {
        return *m_lanes.at(inbox_part_of(job, choice));
    }

    auto send(intake_entry item) -> void
    {
        item.at = item.fresh() ? job_row(item.job, item.choice)
                               : cancel_row(item.job, item.choice);
        auto& lane = lane_of(item.job, item.choice);
        lane.add(std::move(item));
    }

    auto retry(intake_entry item) -> void
    {
        if (!item.caller->waits())
        {
            return;
        }
        if (item.failed % parts_of_job != 0)
        {
            item.choice = (item.choice + 1) % parts_of_job;
            send(std::move(item));
            return;
        }
        if (item.caller->known() == intake_result::refused)
        {
            item.caller->answer(intake_result::refused);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(m_control);
        timer->expires_after(retry_pause);
        timer->async_wait(
            [this, timer, item = std::move(item)](auto fault) mutable
            {
                if (!fault && item.caller->waits())
                {
                    send(std::move(item));
                }
            });
    }

    boost::asio::io_context& m_control;
    store_health& m_health;
    std::map<std::string, std::unique_ptr<intake_lane<Platform>>> m_lanes;
};

} // namespace pimentoshunt::cell
