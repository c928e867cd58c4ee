/// @file
/// Fake workers shared by several owners of a cell, and the fake platform
/// through which one instance reaches them and the store. Handlers run on the
/// control context that the test runs; delayed calls wait until the test
/// releases them.
#pragma once

#include "fakes/cell_simulation.hpp"
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

/// @brief Workers that refuse orders of any epoch below the highest one that
/// they have received.
class fake_cell_pool
{
  public:
    std::map<worker_id, fake_cell_worker> workers;
    /// Start orders that workers have accepted, in order of arrival.
    std::vector<cell::start_order> started_orders;

    /// @brief Adds a worker with 4 CPUs and 100,000 MB of memory.
    auto add(const std::string& name) -> cell::worker_entry
    {
        fake_cell_worker created;
        created.entry.id = worker_id(name);
        created.entry.incarnation = cell::calendar_time(milliseconds(1'000));
        created.entry.service = cell::service_name("pool");
        created.entry.address = "10.0.0.1:1";
        created.entry.capacity.millicpus = 4'000;
        created.entry.capacity.memory_mb = 100'000;
        created.started = boot_clock::now() - std::chrono::minutes(1);
        workers[created.entry.id] = created;
        return created.entry;
    }

    /// @brief Begins the run, unless a later owner has given an order before.
    auto start(const cell::start_order& order) -> cell::start_outcome
    {
        auto& worker = workers.at(order.target.worker);
        if (!accepts_epoch(worker, order.target.epoch))
        {
            return cell::start_outcome::fenced;
        }
        worker.runs[order.run].reported.run = order.run;
        started_orders.push_back(order);
        return cell::start_outcome::started;
    }

    /// @brief Ends the run if it is present.
    /// @return false, without effect, when a later owner has given an order
    auto stop(const cell::stop_order& order) -> bool
    {
        auto& worker = workers.at(order.target.worker);
        if (!accepts_epoch(worker, order.target.epoch))
        {
            return false;
        }
        end(order.target.worker, order.run, cell::run_end::stopped);
        return true;
    }

    /// @brief Forgets the ends that the owner has stored.
    /// @return the remaining ends and the present runs; nothing when a later
    /// owner has given an order
    auto heartbeat(const cell::heartbeat_order& order)
        -> std::optional<cell::run_report>
    {
        auto& worker = workers.at(order.target.worker);
        if (!accepts_epoch(worker, order.target.epoch))
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
            out.present.push_back(run.reported);
        }
        return out;
    }

    /// @brief Ends a run if it is present and lists its end.
    auto end(const worker_id& id, const cell::run_ref& run,
             cell::run_end end_kind) -> void
    {
        auto& worker = workers.at(id);
        if (worker.runs.erase(run) > 0)
        {
            worker.ended.push_back(
                {++worker.last_end_number, run, end_kind, ""});
        }
    }

    /// @brief Ends all runs as done.
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

    /// @brief Number of accepted start orders for tasks of the job.
    [[nodiscard]] auto starts_of(const job_id& job) const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& order : started_orders)
        {
            count += order.run.task.step.job == job ? 1 : 0;
        }
        return count;
    }

  private:
    /// Whether no later epoch is known; remembers the epoch if it is the latest.
    static auto accepts_epoch(fake_cell_worker& worker, std::uint64_t epoch)
        -> bool
    {
        const bool is_accepted = epoch >= worker.highest_epoch;
        worker.highest_epoch = std::max(worker.highest_epoch, epoch);
        return is_accepted;
    }
};

/// @brief Platform of one instance: reaches the store and the workers that all
/// instances share, and delays calls as the test demands. Used by the control
/// thread only.
class fake_cell_platform
{
  public:
    fake_cell_platform(boost::asio::io_context& control, fake_cell_store& store,
                       fake_cell_pool& pool)
        : m_control(control), m_store(store), m_pool(pool)
    {
    }

    /// Whether heartbeats to all workers are delayed, and so their reports.
    bool delay_reports = false;
    /// Whether transactions that remove rows are delayed on their way.
    bool delay_removals = false;
    /// Whether reads of progress are delayed on their way.
    bool delay_progress_reads = false;
    /// Parts of the store to which writes are delayed.
    std::set<std::string> delay_writes_to;
    /// Worker to which heartbeats are delayed; may be empty.
    worker_id delay_reports_of;

    auto commit(const cell::row_transaction& transaction, milliseconds limit,
                cell::commit_handler done) -> void
    {
        const auto call = [this, transaction, limit, done = std::move(done)]
        {
            m_store.commit(transaction, limit, done);
        };
        if (delay_removals && !transaction.removals.empty())
        {
            m_delayed_removals.push_back(call);
            return;
        }
        if (!transaction.writes.empty() &&
            delay_writes_to.contains(transaction.writes.front().at.part))
        {
            m_delayed_writes.push_back(call);
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
        if (delay_progress_reads && range.table == cell::progress_table)
        {
            m_delayed_reads.push_back(call);
            return;
        }
        call();
    }

    /// @brief Sends the delayed removals to the store and delays no more.
    auto release_removals() -> void
    {
        delay_removals = false;
        for (const auto& item : std::exchange(m_delayed_removals, {}))
        {
            item();
        }
    }

    /// @brief Sends the delayed writes to the store and delays no more.
    auto release_writes() -> void
    {
        delay_writes_to.clear();
        for (const auto& item : std::exchange(m_delayed_writes, {}))
        {
            item();
        }
    }

    /// @brief Sends the delayed reads of progress to the store and delays no more.
    auto release_progress_reads() -> void
    {
        delay_progress_reads = false;
        for (const auto& item : std::exchange(m_delayed_reads, {}))
        {
            item();
        }
    }

    /// @brief Waits for @ref deliver_changes; the time limit has no effect.
    auto follow(const std::string& table, std::uint64_t after, milliseconds,
                cell::feed_handler done) -> void
    {
        m_pending_feeds.push_back({table, after, std::move(done)});
    }

    /// @brief Answers all waiting feed calls with the store's current changes.
    auto deliver_changes() -> void
    {
        for (auto& item : std::exchange(m_pending_feeds, {}))
        {
            m_store.follow(item.table, item.after, milliseconds(0),
                           std::move(item.done));
        }
    }

    /// @brief Sends the delayed heartbeats to the workers. Later ones are delayed
    /// only for @ref delay_reports_of.
    auto release_reports() -> void
    {
        delay_reports = false;
        for (const auto& item : std::exchange(m_delayed_reports, {}))
        {
            item();
        }
    }

    auto
    start(const cell::start_order& order,
          const std::function<void(cell::start_outcome,
                                   std::optional<cell::worker_reading>)>& done)
        -> void
    {
        const auto outcome = m_pool.start(order);
        const cell::worker_reading reading{
            m_pool.workers.at(order.target.worker).clock(boot_clock::now()),
            {}};
        answer(
            [=]
            {
                done(outcome, reading);
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

    auto heartbeat(const cell::heartbeat_order& order,
                   std::function<void(cell::heartbeat_answer)> done) -> void
    {
        const auto send_report = [this, order, done = std::move(done)]
        {
            answer(
                [report = m_pool.heartbeat(order), done]
                {
                    done({report, !report, false, false, ""});
                });
        };
        if (delay_reports || order.target.worker == delay_reports_of)
        {
            m_delayed_reports.push_back(send_report);
            return;
        }
        send_report();
    }

    /// @brief Has no effect.
    auto pace(const cell::pace_order&) -> void
    {
    }

    /// @brief Answers that the approval service gave no result.
    auto ask(const cell::approval_request& request,
             const std::function<void(cell::approval_response)>& done) -> void
    {
        cell::approval_response out;
        out.step = request.step;
        out.asked = request.workers;
        answer(
            [=]
            {
                done(out);
            });
    }

    /// @brief The pool's entry of the worker that the row names; the row's value
    /// is not read.
    [[nodiscard]] auto read_worker(const cell::stored_row& row) const
        -> cell::decoded_worker
    {
        const auto found = m_pool.workers.find(worker_id(row.at.key));
        return found == m_pool.workers.end()
                   ? cell::decoded_worker{std::nullopt, "no such worker"}
                   : cell::decoded_worker{found->second.entry, ""};
    }

    [[nodiscard]] auto worker_table() const -> std::string
    {
        return m_store.worker_table();
    }

  private:
    struct pending_feed
    {
        std::string table;
        std::uint64_t after = 0;
        cell::feed_handler done;
    };

    /// Calls the handler on the control context, after the caller has returned.
    template<class Handler>
    auto answer(Handler handler) -> void
    {
        boost::asio::post(m_control, std::move(handler));
    }

    boost::asio::io_context& m_control;
    fake_cell_store& m_store;
    fake_cell_pool& m_pool;
    std::vector<pending_feed> m_pending_feeds;
    std::vector<std::function<void()>> m_delayed_reports;
    std::vector<std::function<void()>> m_delayed_removals;
    std::vector<std::function<void()>> m_delayed_writes;
    std::vector<std::function<void()>> m_delayed_reads;
};

} // namespace pimentoshunt::fakes
