/// @file
/// The workers of a cell as several owners reach them, and what one instance
/// sees of store and workers. Answers come when the test runs the control
/// context; what is held back comes when the test lets it.
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

/// @brief Workers that obey the highest epoch they have heard.
class fake_cell_pool
{
  public:
    std::map<worker_id, fake_cell_worker> workers;
    /// Starts that a worker has begun, in their order.
    std::vector<cell::start_order> started_orders;

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

    /// @return nothing when a later owner gives the orders
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

    /// @brief Ends a run if it is there.
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
        for (const auto& order : started_orders)
        {
            count += order.run.task.step.job == job ? 1 : 0;
        }
        return count;
    }

  private:
    static auto accepts_epoch(fake_cell_worker& worker, std::uint64_t epoch)
        -> bool
    {
        const bool is_accepted = epoch >= worker.highest_epoch;
        worker.highest_epoch = std::max(worker.highest_epoch, epoch);
        return is_accepted;
    }
};

/// @brief What one instance reaches: the store that all share, and the workers.
class fake_cell_platform
{
  public:
    fake_cell_platform(boost::asio::io_context& control, fake_cell_store& store,
                       fake_cell_pool& pool)
        : m_control(control), m_store(store), m_pool(pool)
    {
    }

    /// Whether lists of workers are held back on their way.
    bool delay_reports = false;
    /// Whether transactions that remove rows are held back on their way.
    bool delay_removals = false;
    /// Whether reads of progress are held back on their way.
    bool delay_progress_reads = false;
    /// The same for writes to these parts, and lists of this worker.
    std::set<std::string> delay_writes_to;
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

    /// @brief Removals that were held back reach the store now.
    auto release_removals() -> void
    {
        delay_removals = false;
        for (const auto& item : std::exchange(m_delayed_removals, {}))
        {
            item();
        }
    }

    /// @brief Writes that were held back reach the store now.
    auto release_writes() -> void
    {
        delay_writes_to.clear();
        for (const auto& item : std::exchange(m_delayed_writes, {}))
        {
            item();
        }
    }

    /// @brief Reads of progress that were held back reach the store now.
    auto release_progress_reads() -> void
    {
        delay_progress_reads = false;
        for (const auto& item : std::exchange(m_delayed_reads, {}))
        {
            item();
        }
    }

    /// The feed is told when the test says so.
    auto follow(const std::string& table, std::uint64_t after, milliseconds,
                cell::feed_handler done) -> void
    {
        m_pending_feeds.push_back({table, after, std::move(done)});
    }

    /// @brief All changes that have not been told come now.
    auto deliver_changes() -> void
    {
        for (auto& item : std::exchange(m_pending_feeds, {}))
        {
            m_store.follow(item.table, item.after, milliseconds(0),
                           std::move(item.done));
        }
    }

    /// @brief Lists that were held back come now.
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
        const auto send_report = [this, order, done = std::move(done)]
        {
            answer(
                [report = m_pool.heartbeat(order), done]
                {
                    done(report, !report);
                });
        };
        if (delay_reports || order.target.worker == delay_reports_of)
        {
            m_delayed_reports.push_back(send_report);
            return;
        }
        send_report();
    }

    auto pace(const cell::pace_order&) -> void
    {
    }

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
    struct pending_feed
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
    std::vector<pending_feed> m_pending_feeds;
    std::vector<std::function<void()>> m_delayed_reports;
    std::vector<std::function<void()>> m_delayed_removals;
    std::vector<std::function<void()>> m_delayed_writes;
    std::vector<std::function<void()>> m_delayed_reads;
};

} // namespace pimentoshunt::fakes
