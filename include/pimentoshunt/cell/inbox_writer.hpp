/// @file
/// Makes submissions and cancellations durable, many in one transaction.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/row_codec.hpp>
#include <pimentoshunt/cell/store_health.hpp>
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
enum class inbox_write_result
{
    /// It is durable.
    stored,
    /// It has certainly not been done and won't be.
    refused,
    /// It may have been done: the caller should ask again with the same ID.
    indeterminate
};

/// @brief A caller that waits for its row: answered once, and in time.
class waiting_caller : public std::enable_shared_from_this<waiting_caller>
{
  public:
    using handler = std::function<void(inbox_write_result)>;

    waiting_caller(boost::asio::io_context& control, handler done)
        : m_timer(control), m_done(std::move(done))
    {
    }

    /// @brief Answers at @p deadline with what is known by then.
    auto answer_by(time_point deadline) -> void
    {
        m_timer.expires_after(deadline - boot_clock::now());
        m_timer.async_wait(
            [self = shared_from_this()](auto fault)
            {
                if (!fault)
                {
                    self->answer(self->known());
                }
            });
    }

    auto answer(inbox_write_result result) -> void
    {
        if (const auto done = std::exchange(m_done, nullptr))
        {
            m_timer.cancel();
            done(result);
        }
    }

    /// @brief Whether it has not been answered. The row of a caller that was
    /// answered must not be sent any more: it may have been told of a refusal.
    [[nodiscard]] auto is_waiting() const -> bool
    {
        return m_done != nullptr;
    }

    auto on_sent() -> void
    {
        m_in_flight = true;
    }

    /// @param outcome_unknown  whether the transaction had no answer
    auto on_commit_ended(bool outcome_unknown) -> void
    {
        m_in_flight = false;
        m_outcome_unknown = m_outcome_unknown || outcome_unknown;
    }

    /// @brief What is to be said if nothing more is tried.
    [[nodiscard]] auto known() const -> inbox_write_result
    {
        return m_in_flight || m_outcome_unknown
                   ? inbox_write_result::indeterminate
                   : inbox_write_result::refused;
    }

  private:
    boost::asio::steady_timer m_timer;
    handler m_done;
    bool m_in_flight = false;
    /// An earlier transaction with the row had no answer.
    bool m_outcome_unknown = false;
};

/// @brief A row that a caller waits for.
struct inbox_write
{
    job_id job;
    /// Which of the job's parts is tried, and how many have failed.
    std::size_t choice = 0;
    std::size_t failed = 0;
    row_key at;
    /// The job to be stored; nullptr: its cancellation.
    std::shared_ptr<const job_spec> spec;
    std::string value;
    std::shared_ptr<waiting_caller> caller;

    /// @brief Whether the row is written only if it is not there yet.
    [[nodiscard]] auto must_not_exist() const -> bool
    {
        return spec != nullptr;
    }

    /// @brief What is written while the part names the owner of @p epoch.
    [[nodiscard]] auto value_for_epoch(std::uint64_t epoch) const -> std::string
    {
        return spec ? to_bytes(inbox_job{*spec, epoch}) : "1";
    }
};

/// @brief Group commit for one part of the inbox; one transaction under way at
/// a time.
template<class Platform>
class inbox_part_writer
{
  public:
    /// What takes entries that this part did not take.
    using failure_handler = std::function<void(inbox_write)>;
    /// What is told of each row that is stored.
    using stored_handler = std::function<void(const stored_row&)>;

    inbox_part_writer(Platform& platform, store_health& health,
                      std::string part, stored_handler stored,
                      failure_handler failed)
        : m_platform(platform), m_health(health), m_part(std::move(part)),
          m_stored(std::move(stored)), m_failed(std::move(failed))
    {
    }

    auto add(inbox_write item) -> void
    {
        m_queue.push_back(std::move(item));
        send_next_batch();
    }

    /// @brief Whether the part failed a moment ago.
    [[nodiscard]] auto is_failing(time_point now) const -> bool
    {
        return now < m_failing_until;
    }

  private:
    /// Bounds of one transaction: below those of the platform's store, which
    /// counts each row as a condition and as a write, and the part's owner.
    static constexpr std::size_t max_rows = 49;
    static constexpr std::size_t max_bytes = 400'000;
    /// A transaction takes milliseconds unless the store is in trouble.
    static constexpr milliseconds commit_timeout{700};
    /// A part that failed is not the first choice for so long.
    static constexpr milliseconds failed_part_avoidance{500};

    auto send_next_batch() -> void
    {
        if (!m_in_flight.empty() || m_queue.empty())
        {
            return;
        }
        row_transaction transaction;
        transaction.conditions.push_back(
            {inbox_epoch_row(m_part), m_epoch_version});
        std::size_t bytes = 0;
        while (!m_queue.empty() && m_in_flight.size() < max_rows &&
               bytes < max_bytes)
        {
            auto& item = m_queue.front();
            if (!item.caller->is_waiting())
            {
                m_queue.pop_front();
                continue;
            }
            const bool already_in_batch =
                std::any_of(m_in_flight.begin(), m_in_flight.end(),
                            [&](const inbox_write& other)
                            {
                                return other.at == item.at;
                            });
            if (already_in_batch)
            {
                break;
            }
            if (item.must_not_exist())
            {
                transaction.conditions.push_back({item.at, 0});
            }
            item.value = item.value_for_epoch(m_epoch);
            bytes += item.value.size();
            transaction.writes.push_back({item.at, item.value});
            item.caller->on_sent();
            m_in_flight.push_back(std::move(item));
            m_queue.pop_front();
        }
        if (m_in_flight.empty())
        {
            return;
        }
        m_platform.commit(transaction, commit_timeout,
                          [this](const commit_result& result)
                          {
                              committed(result);
                          });
    }

    auto committed(const commit_result& result) -> void
    {
        const auto now = boot_clock::now();
        auto items = std::exchange(m_in_flight, {});
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
            if (!resolve_conflict(items, result))
            {
                logging::error("the store names no row that is in the way");
                on_commit_failed(items, false, now);
            }
            break;
        case commit_state::not_committed:
        case commit_state::unknown:
            on_commit_failed(items, result.state == commit_state::unknown, now);
            break;
        }
        send_next_batch();
    }

    /// Rows that were there already are stored; the others go again.
    /// @return false when nothing that is known was in the way
    auto resolve_conflict(std::vector<inbox_write>& items,
                          const commit_result& result) -> bool
    {
        bool known = !result.current.empty() && update_epoch(result);
        for (auto item = items.rbegin(); item != items.rend(); ++item)
        {
            // As it was written: an earlier owner may have been in force.
            if (const auto* const row = find_row(result, item->at))
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
            if (find_row(result, item->at) == nullptr)
            {
                item->caller->on_commit_ended(false);
                m_queue.push_front(std::move(*item));
            }
        }
        return true;
    }

    /// @return whether another owner is in force here than was known
    auto update_epoch(const commit_result& result) -> bool
    {
        const auto* const row = find_row(result, inbox_epoch_row(m_part));
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
    static auto find_row(const commit_result& result, const row_key& at)
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
    auto stored(const inbox_write& item, const stored_row& row) -> void
    {
        m_stored(row);
        item.caller->answer(inbox_write_result::stored);
    }

    auto on_commit_failed(std::vector<inbox_write>& items, bool unknown,
                          time_point now) -> void
    {
        m_failing_until = now + failed_part_avoidance;
        for (auto& item : items)
        {
            item.caller->on_commit_ended(unknown);
            ++item.failed;
            m_failed(std::move(item));
        }
    }

    Platform& m_platform;
    store_health& m_health;
    std::string m_part;
    /// The owner that the part names, and the version of the row that does.
    std::uint64_t m_epoch = 0;
    std::uint64_t m_epoch_version = 0;
    stored_handler m_stored;
    failure_handler m_failed;
    std::deque<inbox_write> m_queue;
    std::vector<inbox_write> m_in_flight;
    time_point m_failing_until;
};

/// @brief Makes submissions and cancellations durable. A part of the store that
/// does not take a row is passed over for the job's next one.
template<class Platform>
class inbox_writer
{
  public:
    using handler = waiting_caller::handler;
    using stored_handler = typename inbox_part_writer<Platform>::stored_handler;

    /// @param stored  told of each row that is stored
    inbox_writer(Platform& platform, boost::asio::io_context& control,
                 store_health& health, const stored_handler& stored)
        : m_control(control), m_health(health)
    {
        for (std::size_t i = 0; i < inbox_parts; ++i)
        {
            m_part_writers.emplace(
                inbox_part(i), std::make_unique<inbox_part_writer<Platform>>(
                                   platform, health, inbox_part(i), stored,
                                   [this](inbox_write item)
                                   {
                                       retry(std::move(item));
                                   }));
        }
    }

    /// @brief Stores a job; a job of that ID that is there already is the same.
    /// @param deadline  when the caller has to be answered
    auto submit(const job_spec& job, time_point deadline, handler done) -> void
    {
        inbox_write item;
        item.job = job.id;
        item.spec = std::make_shared<const job_spec>(job);
        add(std::move(item), deadline, std::move(done));
    }

    /// @brief Stores that a job is to end.
    auto cancel(const job_id& job, time_point deadline, handler done) -> void
    {
        inbox_write item;
        item.job = job;
        add(std::move(item), deadline, std::move(done));
    }

  private:
    /// Pause before what may have been done is tried again.
    static constexpr milliseconds retry_pause{80};

    auto add(inbox_write item, time_point deadline, handler done) -> void
    {
        const auto now = boot_clock::now();
        if (m_health.is_unavailable(now))
        {
            done(inbox_write_result::refused);
            return;
        }
        item.caller =
            std::make_shared<waiting_caller>(m_control, std::move(done));
        item.caller->answer_by(deadline);
        // Parts that have just failed are passed over if another has not.
        for (std::size_t i = 0; i < parts_per_job; ++i)
        {
            if (!writer_of(item.job, i).is_failing(now))
            {
                item.choice = i;
                break;
            }
        }
        send(std::move(item));
    }

    auto writer_of(const job_id& job, std::size_t choice)
        -> inbox_part_writer<Platform>&
    {
        return *m_part_writers.at(inbox_part_of(job, choice));
    }

    auto send(inbox_write item) -> void
    {
        item.at = item.must_not_exist() ? job_row(item.job, item.choice)
                                        : cancel_row(item.job, item.choice);
        auto& writer = writer_of(item.job, item.choice);
        writer.add(std::move(item));
    }

    auto retry(inbox_write item) -> void
    {
        if (!item.caller->is_waiting())
        {
            return;
        }
        if (item.failed % parts_per_job != 0)
        {
            item.choice = (item.choice + 1) % parts_per_job;
            send(std::move(item));
            return;
        }
        if (item.caller->known() == inbox_write_result::refused)
        {
            item.caller->answer(inbox_write_result::refused);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(m_control);
        timer->expires_after(retry_pause);
        timer->async_wait(
            [this, timer, item = std::move(item)](auto fault) mutable
            {
                if (!fault && item.caller->is_waiting())
                {
                    send(std::move(item));
                }
            });
    }

    boost::asio::io_context& m_control;
    store_health& m_health;
    std::map<std::string, std::unique_ptr<inbox_part_writer<Platform>>>
        m_part_writers;
};

} // namespace pimentoshunt::cell
