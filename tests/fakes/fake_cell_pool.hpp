/// @file
/// The workers of a cell as several owners reach them, and what one instance
/// sees of store and workers. Answers come when the test runs the control
/// context; what is held back comes when the test lets it.
#pragma once

#include "fakes/cell_world.hpp"
#include "fakes/fake_cell_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional> // function
#include <map>        // map
#include <optional>   // optional
#include <set>        // set
#include <string>     // string
#include <utility>    // exchange, move
#include <vector>     // vector

namespace pimentoshunt::fakes
{

/// @brief Workers that obey the highest epoch they have heard.
class fake_cell_pool
{
  public:
    std::map<worker_id, fake_cell_worker> workers;
    /// Starts that a worker has begun, in their order.
    std::vector<cell::start_order> begun;

    auto add(const std::string& name) -> cell::worker_entry
    {
        fake_cell_worker made;
        made.entry.id = worker_id(name);
        made.entry.incarnation = cell::calendar_time(milliseconds(1'000));
        made.entry.service = cell::service_name("pool");
        made.entry.address = "10.0.0.1:1";
        made.entry.capacity.millicpus = 4'000;
        made.entry.capacity.memory_mb = 100'000;
        made.started = boot_clock::now() - std::chrono::minutes(1);
        workers[made.entry.id] = made;
        return made.entry;
    }

    auto start(const cell::start_order& order) -> cell::start_outcome
    {
        auto& worker = workers.at(order.target.worker);
        if (!obeys(worker, order.target.epoch))
        {
            return cell::start_outcome::fenced;
        }
        worker.runs[order.run].listed.run = order.run;
        begun.push_back(order);
        return cell::start_outcome::started;
    }

    auto stop(const cell::stop_order& order) -> bool
    {
        auto& worker = workers.at(order.target.worker);
        if (!obeys(worker, order.target.epoch))
        {
            return false;
        }
        end(order.target.worker, order.run, cell::run_end::stopped);
        return true;
    }

    /// @return nothing when a later owner gives the orders
    auto heartbeat(const cell::heartbeat_order& order)
        -> std::optional<cell::run_report>
    {
        auto& worker = workers.at(order.target.worker);
        if (!obeys(worker, order.target.epoch))
        {
            return std::nullopt;
        }
        std::erase_if(worker.ended,
                      [&](const cell::reported_end& item)
                      {
                          return item.number <= order.ends_durable;
                      });
        cell::run_report out;
        out.incarnation = worker.entry.incarnation;
        out.clock = worker.clock(boot_clock::now());
        out.ended = worker.ended;
        for (const auto& [ref, run] : worker.runs)
        {
            out.present.push_back(run.listed);
        }
        return out;
    }

    /// @brief Ends a run if it is there.
    auto end(const worker_id& id, const cell::run_ref& run, cell::run_end how)
        -> void
    {
        auto& worker = workers.at(id);
        if (worker.runs.erase(run) > 0)
        {
            worker.ended.push_back({++worker.last_end, run, how, ""});
        }
    }

    /// @brief Ends all runs well.
    auto end_all() -> void
    {
        for (auto& [id, worker] : workers)
        {
            while (!worker.runs.empty())
            {
                end(id, worker.runs.begin()->first, cell::run_end::done);
            }
        }
    }

    /// @brief How often workers have begun a task of the job.
    [[nodiscard]] auto starts_of(const job_id& job) const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& order : begun)
        {
            count += order.run.task.step.job == job ? 1 : 0;
        }
        return count;
    }

  private:
    static auto obeys(fake_cell_worker& worker, std::uint64_t epoch) -> bool
    {
        const bool obeyed = epoch >= worker.highest_epoch;
        worker.highest_epoch = std::max(worker.highest_epoch, epoch);
        return obeyed;
    }
};

/// @brief What one instance reaches: the store that all share, and the workers.
class fake_cell_outside
{
  public:
    fake_cell_outside(boost::asio::io_context& control, fake_cell_store& store,
                      fake_cell_pool& pool)
        : m_control(control), m_store(store), m_pool(pool)
    {
    }

    /// Whether lists of workers are held back on their way.
    bool hold_back_lists = false;
    /// Whether transactions that remove rows are held back on their way.
    bool hold_back_removals = false;
    /// Whether reads of progress are held back on their way.
    bool hold_back_progress = false;
    /// The same for writes to these parts, and lists of this worker.
    std::set<std::string> hold_back_parts;
    worker_id hold_back_worker;

    auto commit(const cell::row_transaction& transaction, milliseconds limit,
                cell::commit_handler done) -> void
    {
        const auto call = [this, transaction, limit, done = std::move(done)]
        {
            m_store.commit(transaction, limit, done);
        };
        if (hold_back_removals && !transaction.removals.empty())
        {
            m_removals.push_back(call);
            return;
        }
        if (!transaction.writes.empty() &&
            hold_back_parts.contains(transaction.writes.front().at.part))
        {
            m_writes.push_back(call);
            return;
        }
        call();
    }

    auto read(const cell::row_range& range, milliseconds limit,
              cell::read_handler done) -> void
    {
        const auto call = [this, range, limit, done = std::move(done)]
        {
            m_store.read(range, limit, done);
        };
        if (hold_back_progress && range.table == cell::progress_table)
        {
            m_reads.push_back(call);
            return;
        }
        call();
    }

    /// @brief Removals that were held back reach the store now.
    auto let_removals_pass() -> void
    {
        hold_back_removals = false;
        for (const auto& item : std::exchange(m_removals, {}))
        {
            item();
        }
    }

    /// @brief Writes that were held back reach the store now.
    auto let_writes_pass() -> void
    {
        hold_back_parts.clear();
        for (const auto& item : std::exchange(m_writes, {}))
        {
            item();
        }
    }

    /// @brief Reads of progress that were held back reach the store now.
    auto let_progress_pass() -> void
    {
        hold_back_progress = false;
        for (const auto& item : std::exchange(m_reads, {}))
        {
            item();
        }
    }

    /// The feed is told when the test says so.
    auto follow(const std::string& table, std::uint64_t after, milliseconds,
                cell::feed_handler done) -> void
    {
        m_feeds.push_back({table, after, std::move(done)});
    }

    /// @brief All changes that have not been told come now.
    auto tell_changes() -> void
    {
        for (auto& item : std::exchange(m_feeds, {}))
        {
            m_store.follow(item.table, item.after, milliseconds(0),
                           std::move(item.done));
        }
    }

    /// @brief Lists that were held back come now.
    auto let_lists_pass() -> void
    {
        hold_back_lists = false;
        for (const auto& item : std::exchange(m_lists, {}))
        {
            item();
        }
    }

    auto
    start(const cell::start_order& order,
          const std::function<void(cell::start_outcome,
                                   std::optional<cell::worker_time>)>& done)
        -> void
    {
        const auto outcome = m_pool.start(order);
        const auto clock =
            m_pool.workers.at(order.target.worker).clock(boot_clock::now());
        answer(
            [=]
            {
                done(outcome, clock);
            });
    }

    auto stop(const cell::stop_order& order, std::function<void(bool)> done)
        -> void
    {
        answer(
            [done = std::move(done), stopped = m_pool.stop(order)]
            {
                done(stopped);
            });
    }

    auto
    heartbeat(const cell::heartbeat_order& order,
              std::function<void(std::optional<cell::run_report>, bool)> done)
        -> void
    {
        const auto list = [this, order, done = std::move(done)]
        {
            answer(
                [report = m_pool.heartbeat(order), done]
                {
                    done(report, !report);
                });
        };
        if (hold_back_lists || order.target.worker == hold_back_worker)
        {
            m_lists.push_back(list);
            return;
        }
        list();
    }

    auto pace(const cell::pace_order&) -> void
    {
    }

    auto ask(const cell::approval_request& question,
             const std::function<void(cell::approval_response)>& done) -> void
    {
        cell::approval_response out;
        out.step = question.step;
        out.asked = question.workers;
        answer(
            [=]
            {
                done(out);
            });
    }

    [[nodiscard]] auto read_worker(const cell::stored_row& row) const
        -> std::optional<cell::worker_entry>
    {
        const auto found = m_pool.workers.find(worker_id(row.at.key));
        return found == m_pool.workers.end()
                   ? std::nullopt
                   : std::optional(found->second.entry);
    }

    [[nodiscard]] auto worker_table() const -> std::string
    {
        return m_store.worker_table();
    }

  private:
    struct waiting_feed
    {
        std::string table;
        std::uint64_t after = 0;
        cell::feed_handler done;
    };

    template<class Handler>
    auto answer(Handler handler) -> void
    {
        boost::asio::post(m_control, std::move(handler));
    }

    boost::asio::io_context& m_control;
    fake_cell_store& m_store;
    fake_cell_pool& m_pool;
    std::vector<waiting_feed> m_feeds;
    std::vector<std::function<void()>> m_lists;
    std::vector<std::function<void()>> m_removals;
    std::vector<std::function<void()>> m_writes;
    std::vector<std::function<void()>> m_reads;
};

} // namespace pimentoshunt::fakes
