/// @file
/// In-memory store of a cell for unit tests: row versions, conditions,
/// unavailable parts and lost answers. Handlers run on the control context that
/// the test runs.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/tables.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>  // any_of
#include <functional> // function
#include <map>        // map
#include <memory>     // make_shared
#include <set>        // set
#include <string>     // string
#include <tuple>      // tuple
#include <utility>    // exchange, move
#include <vector>     // vector

namespace pimentoshunt::fakes
{

/// @brief The part of the cell's platform that reaches the store. Used by the
/// control thread only.
class fake_cell_store
{
  public:
    explicit fake_cell_store(boost::asio::io_context& control)
        : m_control(control)
    {
    }

    /// Parts whose reads fail and whose transactions are not committed.
    std::set<std::string> unavailable_parts;
    /// Whether all calls fail.
    bool is_unavailable = false;
    /// Whether transactions are dropped: they have no effect, and the call fails
    /// with an unknown outcome at its time limit.
    bool drops_transactions = false;
    /// Whether transactions are held back until @ref apply_held; the call fails
    /// with an unknown outcome at its time limit.
    bool holds_transactions = false;
    /// Number of the next transactions that take effect but report an unknown
    /// outcome.
    int lost_answers = 0;
    /// Number of the next inbox reads that are answered as if the inbox had
    /// never had a row.
    int stale_reads = 0;
    /// Number of the next feed calls that report cell::feed_state::history_gone.
    int history_gone_answers = 0;
    /// Wait time of each feed call, in order of the calls.
    std::vector<milliseconds> feed_waits;
    /// Number of commit calls, with failed ones.
    std::size_t commits = 0;

    auto commit(const cell::row_transaction& transaction, milliseconds limit,
                cell::commit_handler done) -> void
    {
        ++commits;
        if (holds_transactions)
        {
            m_held.push_back(transaction);
        }
        if (drops_transactions || holds_transactions)
        {
            answer_after(limit, std::move(done), cell::commit_result{});
            return;
        }
        cell::commit_result out;
        if (is_unavailable || is_part_unavailable(part_of(transaction)))
        {
            out.state = cell::commit_state::not_committed;
        }
        else
        {
            out = apply(transaction);
            if (lost_answers > 0)
            {
                --lost_answers;
                out = {};
            }
        }
        answer(std::move(done), std::move(out));
    }

    /// @brief Applies the transactions that were held back, those whose conditions
    /// hold now, and holds back no more.
    /// @return how many were committed
    auto apply_held() -> std::size_t
    {
        holds_transactions = false;
        std::size_t committed = 0;
        for (const auto& item : std::exchange(m_held, {}))
        {
            committed +=
                apply(item).state == cell::commit_state::committed ? 1 : 0;
        }
        return committed;
    }

    auto read(const cell::row_range& range, milliseconds,
              cell::read_handler done) -> void
    {
        cell::read_result out;
        if (stale_reads > 0 && range.table == cell::inbox_table)
        {
            --stale_reads;
            out.answered = true;
            answer(std::move(done), std::move(out));
            return;
        }
        if (!is_unavailable && !is_part_unavailable(range.part))
        {
            out.answered = true;
            out.version = m_version;
            for (const auto& [key, row] : m_rows)
            {
                const bool is_in_range =
                    row.at.table == range.table && row.at.part == range.part &&
                    row.at.key >= range.from &&
                    (range.until.empty() || row.at.key < range.until);
                if (is_in_range && !row.removed)
                {
                    out.rows.push_back(row);
                }
            }
        }
        answer(std::move(done), std::move(out));
    }

    /// @brief Answers at once with the changes after version @p after, even when
    /// there are none.
    auto follow(const std::string& table, std::uint64_t after,
                milliseconds wait, cell::feed_handler done) -> void
    {
        feed_waits.push_back(wait);
        cell::feed_result out;
        if (!is_unavailable && history_gone_answers > 0)
        {
            --history_gone_answers;
            out.state = cell::feed_state::history_gone;
        }
        else if (!is_unavailable)
        {
            out.state = cell::feed_state::changes;
            out.version = m_version;
            for (const auto& [key, row] : m_rows)
            {
                if (row.at.table == table && row.version > after)
                {
                    out.rows.push_back(row);
                }
            }
        }
        answer(std::move(done), std::move(out));
    }

    [[nodiscard]] auto worker_table() const -> std::string
    {
        return "workers";
    }

    /// @brief The current row; marked as removed, with version 0, if it has never
    /// existed.
    [[nodiscard]] auto row(const cell::row_key& at) const -> cell::stored_row
    {
        const auto found = m_rows.find(key_of(at));
        return found == m_rows.end() ? cell::stored_row{at, "", 0, true}
                                     : found->second;
    }

  private:
    using full_key = std::tuple<std::string, std::string, std::string>;

    static auto key_of(const cell::row_key& at) -> full_key
    {
        return {at.table, at.part, at.key};
    }

    /// The part of the first write, or else of the first removal.
    static auto part_of(const cell::row_transaction& transaction) -> std::string
    {
        if (!transaction.writes.empty())
        {
            return transaction.writes.front().at.part;
        }
        return transaction.removals.empty() ? ""
                                            : transaction.removals.front().part;
    }

    [[nodiscard]] auto is_part_unavailable(const std::string& part) const
        -> bool
    {
        return unavailable_parts.contains(part);
    }

    auto apply(const cell::row_transaction& transaction) -> cell::commit_result
    {
        cell::commit_result out;
        bool conditions_met = true;
        for (const auto& condition : transaction.conditions)
        {
            const auto now = row(condition.at);
            const auto version = now.removed ? 0 : now.version;
            conditions_met = conditions_met && version == condition.version;
            if (!now.removed)
            {
                out.current.push_back(now);
            }
        }
        if (!conditions_met)
        {
            out.state = cell::commit_state::conflict;
            return out;
        }
        out.state = cell::commit_state::committed;
        out.version = ++m_version;
        for (const auto& item : transaction.writes)
        {
            m_rows[key_of(item.at)] = {item.at, item.value, m_version, false};
        }
        for (const auto& at : transaction.removals)
        {
            m_rows[key_of(at)] = {at, "", m_version, true};
        }
        return out;
    }

    template<class Handler, class Result>
    auto answer(Handler done, Result out) -> void
    {
        boost::asio::post(m_control,
                          [done = std::move(done), out = std::move(out)]
                          {
                              done(out);
                          });
    }

    template<class Handler, class Result>
    auto answer_after(milliseconds delay, Handler done, Result out) -> void
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_control);
        timer->expires_after(delay);
        timer->async_wait(
            [timer, done = std::move(done),
             out = std::move(out)](auto error_code)
            {
                if (!error_code)
                {
                    done(out);
                }
            });
    }

    boost::asio::io_context& m_control;
    std::map<full_key, cell::stored_row> m_rows;
    std::vector<cell::row_transaction> m_held;
    std::uint64_t m_version = 0;
};

} // namespace pimentoshunt::fakes
