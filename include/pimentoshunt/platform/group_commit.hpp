/// @file
/// Group commit: changes of single rows by many threads share transactions, so
/// that the table's few hundred writes a second carry many more changes.
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

/// @brief What became of one row's change.
struct row_outcome
{
    bool committed = false;
    /// The row's version at the conflict, when not committed; 0: absent.
    std::int64_t conflicting_version = 0;
};

/// @brief Bounds of one transaction.
struct group_limits
{
    std::size_t operations = 64;
    std::size_t bytes = std::size_t{1} << 20;
};

/// @brief Gathers changes while a transaction is under way and sends them in
/// the next one. One transaction is under way at a time.
///
/// No thread of its own: one of the waiting callers sends for all. A change
/// whose expectation fails is taken out and told so, and the rest is sent
/// again at once, so that one conflict does not fail its neighbours.
/// @tparam Platform  satisfies platform::port
template<class Platform>
class group_committer
{
  public:
    /// @param store  outlives this object
    /// @param writer  unique for all time, as "instance#incarnation"
    group_committer(Platform& store, std::string writer,
                    group_limits limits = {})
        : m_store(store), m_write_ids(std::move(writer)), m_limits(limits)
    {
    }

    /// @brief Commits one row's change together with those of other threads.
    /// @param change  a key of @p change may wait for an earlier change of it
    /// @param until  when the caller gives up
    /// @throw (leaf) platform 304 when the change was certainly not sent, and
    ///        never will be; 301 when its outcome is unknown; others as the
    ///        platform's commit()
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

    [[nodiscard]] auto take_next_batch() -> batch;
    auto send_until_settled(batch items) -> void;
    [[nodiscard]] auto send_once(const batch& items) -> batch;
    auto send_next_batch(std::unique_lock<std::mutex>& lock) -> void;
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
        // It leads the next transaction.
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
        // A key's later change waits until the outcome of the earlier is known.
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
        // No conflict names a row of ours: sending it again would never end.
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
