/// @file
/// Writes submissions and cancellations to the inbox tables of the store, with
/// group commit per part. Used by the control thread for callers and for writes
/// forwarded by other instances.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/row_codec.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/logging.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>  // any_of
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

/// @brief Outcome of a write, as reported to the waiting caller.
enum class inbox_write_result
{
    /// The row is durable.
    stored,
    /// The row has not been written and never will be.
    refused,
    /// The row may have been written; the caller should retry with the same ID.
    indeterminate,
    /// The job was cancelled before it was stored; it has not been written and
    /// never will be.
    cancelled
};

/// @brief Whether nothing that is tried later can change the outcome.
[[nodiscard]] inline auto is_settled(inbox_write_result result) -> bool
{
    return result == inbox_write_result::stored ||
           result == inbox_write_result::cancelled;
}

/// @brief Answers one waiting caller, exactly once and before its deadline.
class waiting_caller : public std::enable_shared_from_this<waiting_caller>
{
  public:
    using handler = std::function<void(inbox_write_result)>;

    waiting_caller(boost::asio::io_context& control, handler done)
        : m_timer(control), m_done(std::move(done))
    {
    }

    /// @brief Answers at @p deadline with the outcome known by then.
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

    /// @brief Answers the caller, unless it has been answered.
    auto answer(inbox_write_result result) -> void
    {
        if (const auto done = std::exchange(m_done, nullptr))
        {
            m_timer.cancel();
            done(result);
        }
    }

    /// @brief Whether the caller has not been answered. After the answer the
    /// row must not be sent any more: the caller may have been told that it was
    /// refused.
    [[nodiscard]] auto is_waiting() const -> bool
    {
        return m_done != nullptr;
    }

    /// @brief Records that a transaction with the row is in flight.
    auto on_sent() -> void
    {
        m_in_flight = true;
    }

    /// @param outcome_unknown  whether the transaction got no answer
    auto on_commit_ended(bool outcome_unknown) -> void
    {
        m_in_flight = false;
        m_outcome_unknown = m_outcome_unknown || outcome_unknown;
    }

    /// @brief The result to report if the write is not tried again.
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
    /// An earlier transaction with this row got no answer.
    bool m_outcome_unknown = false;
};

/// @brief One row to be written for a waiting caller.
struct inbox_write
{
    job_id job;
    /// Which of the job's parts is tried, and the number of failed attempts.
    std::size_t choice = 0;
    std::size_t failed = 0;
    row_key at;
    /// The job to be stored; nullptr for a cancellation.
    std::shared_ptr<const job_spec> spec;
    std::string value;
    std::shared_ptr<waiting_caller> caller;

    /// @brief Whether the row may be written only if it does not exist yet.
    [[nodiscard]] auto must_not_exist() const -> bool
    {
        return spec != nullptr;
    }

    /// @brief The row's value if its part names the owner @p epoch.
    [[nodiscard]] auto value_for_epoch(std::uint64_t epoch) const -> std::string
    {
        return spec ? to_bytes(inbox_job{*spec, epoch}) : "1";
    }
};

/// @brief Group commit for one part of the inbox, with one transaction in
/// flight at a time.
template<class Platform>
class inbox_part_writer
{
  public:
    /// Receives each write that this part has failed to store.
    using failure_handler = std::function<void(inbox_write)>;
    /// Receives each stored row.
    using stored_handler = std::function<void(const stored_row&)>;

    inbox_part_writer(Platform& platform, store_health& health,
                      std::string part, stored_handler stored,
                      failure_handler failed)
        : m_platform(platform), m_health(health), m_part(std::move(part)),
          m_stored(std::move(stored)), m_failed(std::move(failed))
    {
    }

    /// @brief Queues a write and sends it once no transaction is in flight.
    auto add(inbox_write item) -> void
    {
        m_queue.push_back(std::move(item));
        send_next_batch();
    }

    /// @brief Whether a transaction of this part failed within @ref
    /// failed_part_avoidance.
    [[nodiscard]] auto is_failing(time_point now) const -> bool
    {
        return now < m_failing_until;
    }

  private:
    /// Bounds of one transaction. The store allows 100 entries and counts each
    /// row as a condition and as a write, besides the row that names the part's
    /// owner.
    static constexpr std::size_t max_rows = 49;
    static constexpr std::size_t max_bytes = 400'000;
    /// A transaction takes milliseconds unless the store is in trouble.
    static constexpr milliseconds commit_timeout{700};
    /// For how long after a failure other parts are preferred.
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
                logging::error("commit conflict without a conflicting row");
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

    /// Reports rows that already exist as stored, or as cancelled where there is a
    /// tombstone, and requeues the others.
    /// @return false if the answer names no known reason for the conflict
    auto resolve_conflict(std::vector<inbox_write>& items,
                          const commit_result& result) -> bool
    {
        bool known = !result.current.empty() && update_epoch(result);
        for (auto item = items.rbegin(); item != items.rend(); ++item)
        {
            // Announced with its stored value: it may have been written under
            // an earlier owner.
            if (const auto* const row = find_existing(result, item->at))
            {
                known = true;
                if (is_tombstone(*row))
                {
                    item->caller->answer(inbox_write_result::cancelled);
                    continue;
                }
                stored(*item, *row);
            }
        }
        if (!known)
        {
            return false;
        }
        for (auto item = items.rbegin(); item != items.rend(); ++item)
        {
            if (find_existing(result, item->at) == nullptr)
            {
                item->caller->on_commit_ended(false);
                m_queue.push_front(std::move(*item));
            }
        }
        return true;
    }

    /// Adopts the part's current owner from the answer.
    /// @return whether the owner has changed
    auto update_epoch(const commit_result& result) -> bool
    {
        const auto* const row = find_existing(result, inbox_epoch_row(m_part));
        const auto version = row == nullptr ? 0 : row->version;
        if (version == m_epoch_version)
        {
            return false;
        }
        m_epoch_version = version;
        m_epoch = row == nullptr ? 0 : named_epoch(*row);
        logging::info("inbox part has a new owner")
            .with("part", m_part)
            .with("epoch", m_epoch)
            .with("version", version);
        return true;
    }

    /// @return nullptr if the row does not exist
    static auto find_existing(const commit_result& result, const row_key& at)
        -> const stored_row*
    {
        const auto* const row = find_row(result.current, at);
        return row != nullptr && row->version > 0 ? row : nullptr;
    }

    /// Announces the row before it answers: the owner can start the job while
    /// the answer is on its way.
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
    /// Epoch of the owner that the part names, and the version of the row that
    /// names it.
    std::uint64_t m_epoch = 0;
    std::uint64_t m_epoch_version = 0;
    stored_handler m_stored;
    failure_handler m_failed;
    std::deque<inbox_write> m_queue;
    std::vector<inbox_write> m_in_flight;
    time_point m_failing_until;
};

/// @brief Stores submissions and cancellations. If a part of the store fails,
/// the job's next part is tried.
template<class Platform>
class inbox_writer
{
  public:
    using handler = waiting_caller::handler;
    using stored_handler = typename inbox_part_writer<Platform>::stored_handler;

    /// @param stored  called for each stored row
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

    /// @brief Stores a job; an existing job with the same ID counts as the same
    /// submission.
    /// @param deadline  when the caller has to be answered
    auto submit(const job_spec& job, time_point deadline, handler done) -> void
    {
        inbox_write item;
        item.job = job.id;
        item.spec = std::make_shared<const job_spec>(job);
        add(std::move(item), deadline, std::move(done));
    }

    /// @brief Stores the cancellation of a job.
    auto cancel(const job_id& job, time_point deadline, handler done) -> void
    {
        inbox_write item;
        item.job = job;
        add(std::move(item), deadline, std::move(done));
    }

  private:
    /// Pause before a write with an unknown outcome is retried.
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
        // Prefers the first part that has not failed recently; if all have, the
        // first one.
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
