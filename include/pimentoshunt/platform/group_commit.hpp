/// @file
/// Group commit: single-row changes of many threads are combined into shared
/// transactions, because the table takes only a few hundred writes a second.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/platform/port.hpp>
#include <pimentoshunt/platform/write_id.hpp>

#include <algorithm>          // find, any_of
#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <deque>              // deque
#include <memory>             // shared_ptr
#include <mutex>              // mutex
#include <optional>           // optional
#include <string>             // string
#include <unordered_set>      // unordered_set
#include <utility>            // move
#include <vector>             // vector

namespace pimentoshunt::platform
{

/// @brief Outcome of the change of one row.
struct row_outcome
{
    bool committed = false;
    /// If not committed, the version that the row has; 0: the row is absent.
    std::int64_t conflicting_version = 0;
};

/// @brief Limits of one transaction.
struct group_limits
{
    std::size_t operations = 64;
    std::size_t bytes = std::size_t{1} << 20;
};

/// @brief Queues changes while a transaction is in flight and sends them in
/// the next one. One transaction is in flight at a time. Thread-safe.
///
/// The committer has no thread of its own: one of the waiting callers sends for
/// all. A change whose expected version doesn't match is removed from the batch
/// and reported to its caller, and the rest is sent again at once, so that a
/// conflict does not fail the other changes of the batch.
/// @tparam Platform  satisfies platform::port
template<class Platform>
class group_committer
{
  public:
    /// @param store  must outlive this object
    /// @param writer  unique among all writers ever, such as
    ///                "instance#incarnation"
    group_committer(Platform& store, std::string writer,
                    group_limits limits = {})
        : m_store(store), m_write_ids(std::move(writer)), m_limits(limits)
    {
    }

    /// @brief Commits the change of one row, together with those of other
    /// threads; blocks.
    /// @param change  waits until earlier changes of the same key have an
    ///                outcome
    /// @param until  deadline of the caller
    /// @throw (leaf) platform 304 if the change was not sent and never will be;
    ///        301 if its outcome is unknown; other errors as for the platform's
    ///        commit()
    [[nodiscard]] auto commit(const operation& change, time_point until)
        -> result<row_outcome>;

  private:
    enum class request_state
    {
        queued,
        in_flight,
        done
    };

    struct request
    {
        operation change;
        request_state state = request_state::queued;
        row_outcome outcome;
        std::optional<error> fault;
        std::condition_variable changed;
    };
    using request_ptr = std::shared_ptr<request>;
    using batch = std::vector<request_ptr>;

    /// Removes the next batch from the queue; needs the lock.
    [[nodiscard]] auto take_next_batch() -> batch;
    /// Sends until each change of the batch has an outcome.
    auto send_until_settled(batch items) -> void;
    /// Sends the batch once and records outcomes.
    /// @return the changes to be sent again, without those in conflict
    [[nodiscard]] auto send_once(const batch& items) -> batch;
    /// Sends the next batch from the calling thread; releases the lock
    /// meanwhile.
    auto send_next_batch(std::unique_lock<std::mutex>& lock) -> void;
    /// Fails a change at its deadline: removes it from the queue, or reports an
    /// unknown outcome if it was sent already.
    [[nodiscard]] auto cancel_or_report_unknown(const request_ptr& mine)
        -> leaf::error_id;

    Platform& m_store;
    write_id_source m_write_ids;
    const group_limits m_limits;
    std::mutex m_mutex;
    std::deque<request_ptr> m_queue;
    bool m_is_sending = false;
};

template<class Platform>
auto group_committer<Platform>::commit(const operation& change,
                                       time_point until) -> result<row_outcome>
{
    auto mine = std::make_shared<request>();
    mine->change = change;
    std::unique_lock lock(m_mutex);
    m_queue.push_back(mine);
    while (mine->state != request_state::done)
    {
        if (!m_is_sending)
        {
            send_next_batch(lock);
            continue;
        }
        const auto left = until - boot_clock::now();
        if (left <= boot_clock::duration::zero())
        {
            return cancel_or_report_unknown(mine);
        }
        mine->changed.wait_for(lock, left);
    }
    lock.unlock();
    if (mine->fault)
    {
        return leaf::new_error(*mine->fault);
    }
    return mine->outcome;
}

template<class Platform>
auto group_committer<Platform>::send_next_batch(
    std::unique_lock<std::mutex>& lock) -> void
{
    auto items = take_next_batch();
    m_is_sending = true;
    lock.unlock();
    send_until_settled(items);
    lock.lock();
    m_is_sending = false;
    for (const auto& item : items)
    {
        item->state = request_state::done;
        item->changed.notify_one();
    }
    if (!m_queue.empty())
    {
        // The caller at the head of the queue sends the next transaction.
        m_queue.front()->changed.notify_one();
    }
}

template<class Platform>
auto group_committer<Platform>::take_next_batch() -> batch
{
    batch out;
    std::deque<request_ptr> later;
    std::unordered_set<std::string> keys;
    std::size_t bytes = 0;
    for (auto& item : m_queue)
    {
        bytes += item->change.value ? item->change.value->size() : 0;
        const bool full = out.size() >= m_limits.operations ||
                          (bytes > m_limits.bytes && !out.empty());
        // A transaction holds one change of a key: a later one waits until the
        // outcome of the earlier one is known.
        if (full || !keys.insert(item->change.key).second)
        {
            later.push_back(std::move(item));
            continue;
        }
        item->state = request_state::in_flight;
        out.push_back(std::move(item));
    }
    m_queue = std::move(later);
    return out;
}

template<class Platform>
auto group_committer<Platform>::send_until_settled(batch items) -> void
{
    while (!items.empty())
    {
        items = send_once(items);
    }
}

template<class Platform>
auto group_committer<Platform>::send_once(const batch& items) -> batch
{
    transaction change{m_write_ids.next(), {}};
    change.operations.reserve(items.size());
    for (const auto& item : items)
    {
        change.operations.push_back(item->change);
    }
    std::optional<error> fault;
    const auto outcome = handle(
        [&]
        {
            return m_store.commit(change);
        },
        [&](const error& e)
        {
            fault = e;
            return commit_outcome{};
        });
    batch rest;
    for (const auto& item : items)
    {
        item->fault = fault;
        item->outcome.committed = outcome.committed;
        if (fault || outcome.committed)
        {
            continue;
        }
        const auto found =
            std::find_if(outcome.conflicts.begin(), outcome.conflicts.end(),
                         [&](const row& each)
                         {
                             return each.key == item->change.key;
                         });
        if (found == outcome.conflicts.end())
        {
            rest.push_back(item);
            continue;
        }
        item->outcome.conflicting_version = found->version;
    }
    if (rest.size() == items.size() && !fault && !outcome.committed)
    {
        // No conflict names a row of this batch, so sending the same batch
        // again would loop forever.
        for (const auto& item : rest)
        {
            item->fault =
                error{error_kind::platform, answer_malformed, item->change.key,
                      "the platform refused a commit without naming "
                      "a conflict",
                      "compare the platform's version with "
                      "docs/platform-contract.md"};
        }
        rest.clear();
    }
    return rest;
}

template<class Platform>
auto group_committer<Platform>::cancel_or_report_unknown(
    const request_ptr& mine) -> leaf::error_id
{
    const auto place = std::find(m_queue.begin(), m_queue.end(), mine);
    if (place == m_queue.end())
    {
        return leaf::new_error(
            error{error_kind::platform, outcome_unknown, mine->change.key,
                  "the table did not answer in time, the outcome is unknown",
                  "read the row back before trying again"});
    }
    m_queue.erase(place);
    return leaf::new_error(
        error{error_kind::platform, not_sent, mine->change.key,
              "the change waited too long for the table and was not sent",
              "check the platform's health, then try again"});
}

} // namespace pimentoshunt::platform
