/// @file
/// The work of the instance that owns the cell: loads jobs and workers from the
/// store, runs the scheduler, sends its orders to workers and writes its
/// results back. Created by the instance at a takeover.
#pragma once

#include <pimentoshunt/cell/approval_dispatcher.hpp>
#include <pimentoshunt/cell/cell_loader.hpp>
#include <pimentoshunt/cell/inbox.hpp>
#include <pimentoshunt/cell/job_remover.hpp>
#include <pimentoshunt/cell/messages.hpp>
#include <pimentoshunt/cell/owner_load.hpp>
#include <pimentoshunt/cell/peers.hpp>
#include <pimentoshunt/cell/policy/pass_pacing.hpp>
#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/progress_writer.hpp>
#include <pimentoshunt/cell/roster_writer.hpp>
#include <pimentoshunt/cell/row_codec.hpp>
#include <pimentoshunt/cell/scheduler.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/cell/table_follower.hpp>
#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/cell/tombstone_remover.hpp>
#include <pimentoshunt/logging.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>  // max
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <set>        // set
#include <string>     // string
#include <utility>    // exchange, move
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief Callbacks and values that the instance gives to its owner role.
struct owner_role_context
{
    /// Name of this instance, as used for the distribution of approval
    /// requests.
    std::string self;
    /// Whether the ownership is recent enough to renew leases and start work.
    std::function<bool()> may_act;
    /// When the last renewal that the store confirmed was sent; only logged.
    std::function<time_point()> confirmed_at;
    /// Called once when a later owner has taken the cell over.
    std::function<void()> overtaken;
    /// The current wall-clock time.
    std::function<calendar_time()> calendar;
    /// Receives the scheduler's counters whenever one of them has changed.
    std::function<void(const scheduler_counts&)> counted;
    /// Receives the load of the owner about once a second.
    std::function<void(const owner_load&)> load_measured;
};

/// @brief One ownership of the cell, from the takeover to its end. Used by the
/// control thread only.
template<class Platform>
class owner_role : public std::enable_shared_from_this<owner_role<Platform>>
{
  public:
    /// @param epoch          number of this ownership
    /// @param epoch_version  version of the epoch row; writes of the roster
    ///                       depend on it
    owner_role(Platform& platform, boost::asio::io_context& control,
               peers& others, store_health& health, owner_role_context context,
               std::uint64_t epoch, std::uint64_t epoch_version,
               const scheduler_options& options)
        : m_platform(platform), m_control(control), m_peers(others),
          m_health(health), m_context(std::move(context)),
          m_epoch_version(epoch_version),
          m_scheduler(epoch, options, steady_now()), m_approvals(epoch),
          m_progress(std::make_shared<progress_writer<Platform>>(
              platform, control, health, m_scheduler, progress_listener())),
          m_roster(std::make_shared<roster_writer<Platform>>(
              platform, m_scheduler, epoch_version, roster_listener())),
          m_remover(
              std::make_shared<job_remover<Platform>>(platform, m_scheduler)),
          m_tombstones(std::make_shared<tombstone_remover<Platform>>(platform)),
          m_load(steady_now()), m_tick_timer(control), m_pass_timer(control)
    {
    }

    /// @brief Loads the stored state, then starts to schedule.
    auto begin(const configuration& in_force) -> void
    {
        m_scheduler.configure(in_force);
        typename cell_loader<Platform>::listener callbacks;
        callbacks.loaded = [this](const cell_snapshot& found)
        {
            on_rows_loaded(found);
        };
        callbacks.overtaken = m_context.overtaken;
        m_loader = std::make_shared<cell_loader<Platform>>(
            m_platform, m_control, m_health, m_scheduler.epoch(),
            std::move(callbacks));
        m_loader->begin(m_epoch_version);
        tick();
    }

    /// @brief Ends the ownership; no order is sent afterwards.
    auto end() -> void
    {
        if (!m_ended)
        {
            m_scheduler.log_end(steady_now());
        }
        m_ended = true;
        m_tick_timer.cancel();
        m_pass_timer.cancel();
        m_progress->stop();
        m_roster->stop();
        m_remover->stop();
        m_tombstones->stop();
        if (m_loader)
        {
            m_loader->stop();
        }
        for (const auto& item : {m_inbox_follower, m_worker_follower})
        {
            if (item)
            {
                item->stop();
            }
        }
    }

    /// @brief Applies a new configuration.
    auto configure(const configuration& latest) -> void
    {
        m_scheduler.configure(latest);
        request_pass();
    }

    /// @brief Whether all stored jobs are loaded.
    [[nodiscard]] auto loaded() const noexcept -> bool
    {
        return m_loaded;
    }

    /// @brief State of a job; empty if the scheduler does not know it.
    [[nodiscard]] auto state_of(const job_id& job) const
        -> std::optional<job_state>
    {
        return m_scheduler.state_of(job);
    }

    /// @brief Number of jobs that have not started, by queue.
    [[nodiscard]] auto pending() const -> std::vector<queue_count>
    {
        return m_scheduler.pending();
    }

    /// @brief The scheduler of this ownership.
    [[nodiscard]] auto jobs() const -> const scheduler&
    {
        return m_scheduler;
    }

    /// @brief Handles an inbox row that an instance has just stored. Ignored
    /// until everything is loaded: the loader or the feed delivers the row
    /// again.
    auto on_inbox_row(const stored_row& row) -> void
    {
        if (m_loaded)
        {
            on_inbox_change(row);
            request_pass();
        }
    }

    /// @brief Handles the response to an approval request that this role or, on
    /// its behalf, another instance has sent.
    auto on_request_answered(std::uint64_t number, approval_response answer)
        -> void
    {
        const auto now = steady_now();
        if (!answer.approved)
        {
            if (const auto request = m_approvals.failed(number, now))
            {
                answer.step = request->step;
                answer.asked = request->workers;
                m_scheduler.on_approval_response(answer, now);
                request_pass();
            }
            return;
        }
        const auto answered = m_approvals.answered(number, now);
        if (!answered)
        {
            logging::info("answer to an unknown approval request")
                .with("number", number);
            return;
        }
        answer.step = answered->request.step;
        answer.asked = answered->request.workers;
        answer.age = answered->age;
        answer.late = answered->late;
        m_scheduler.on_approval_response(answer, now);
        request_pass();
    }

  private:
    /// How often leases, stop orders and unanswered requests are checked.
    static constexpr milliseconds tick_interval{50};
    /// Instances announce the rows that they store; the feed only covers lost
    /// announcements.
    static constexpr feed_timing inbox_feed_timing{milliseconds(1'000),
                                                   milliseconds(150)};
    /// Entries change all the time because workers renew them; a worker that is
    /// leaving may still be given work for two seconds.
    static constexpr feed_timing worker_feed_timing{
        milliseconds(1'000), milliseconds(250), feed_content::newest_state};
    /// Other instances get approval requests only if their last hello is no
    /// older.
    static constexpr milliseconds max_instance_silence{700};

    static auto steady_now() -> time_point
    {
        return boot_clock::now();
    }

    auto progress_listener() -> typename progress_writer<Platform>::listener
    {
        // The writers are stopped before this role is destroyed.
        return {[this]
                {
                    request_pass();
                },
                m_context.overtaken,
                [this](const job_id& job, const row_key& at)
                {
                    m_remover->remember_row(job, at);
                }};
    }

    auto roster_listener() -> typename roster_writer<Platform>::listener
    {
        return {[this]
                {
                    request_pass();
                },
                m_context.overtaken};
    }

    auto on_rows_loaded(const cell_snapshot& found) -> void
    {
        if (m_ended)
        {
            return;
        }
        m_progress->begin(found.part_versions);
        m_remover->begin(found.inbox_versions);
        restore_jobs(found);
        for (const auto& row : found.workers)
        {
            on_worker_change(row);
        }
        for (const auto& row : found.roster)
        {
            if (const auto worker = read_worker(row.value))
            {
                m_scheduler.restore_worker(*worker, row.version, steady_now());
            }
            else
            {
                logging::error("roster row is malformed; ignoring it")
                    .with("key", row.at.key);
            }
        }
        m_loaded = true;
        logging::info("cell loaded")
            .with("epoch", m_scheduler.epoch())
            .with("jobs", m_scheduler.job_count())
            .with("workers", m_scheduler.workers().size());
        follow_inbox(found.version);
        follow_workers(found.version);
        request_pass();
    }

    auto restore_jobs(const cell_snapshot& found) -> void
    {
        std::map<std::string, job_progress> progress;
        for (const auto& row : found.progress)
        {
            if (is_part_epoch(row.at))
            {
                continue;
            }
            if (const auto read = read_progress(row.value))
            {
                m_remover->remember_row(read->id, row.at);
                const auto known = progress.try_emplace(read->id.str(), *read);
                if (!known.second)
                {
                    merge(known.first->second, *read);
                }
            }
            else
            {
                logging::error("progress row is malformed; ignoring it")
                    .with("key", row.at.key);
            }
        }
        const auto inbox = read_inbox(found.inbox);
        for (const auto& [id, job] : inbox.jobs)
        {
            const auto known = progress.find(id.str());
            add_job(job, known == progress.end() ? nullptr : &known->second);
        }
        for (const auto& job : inbox.cancelled)
        {
            m_scheduler.cancel(job, steady_now());
        }
        for (const auto& row : inbox.tombstones)
        {
            m_tombstones->add(row, steady_now());
        }
    }

    auto follow_inbox(std::uint64_t version) -> void
    {
        m_inbox_follower = make_follower(
            inbox_ranges(), inbox_feed_timing,
            [this](const stored_row& row)
            {
                on_inbox_change(row);
            },
            [](const std::vector<stored_row>&) {});
        m_inbox_follower->follow_from(version);
    }

    auto follow_workers(std::uint64_t version) -> void
    {
        m_worker_follower = make_follower(
            std::vector<row_range>{
                row_range{m_platform.worker_table(), "", "", ""}},
            worker_feed_timing,
            [this](const stored_row& row)
            {
                on_worker_change(row);
            },
            [this](const std::vector<stored_row>& rows)
            {
                remove_unlisted_workers(rows);
            });
        m_worker_follower->follow_from(version);
    }

    template<class Changed, class All>
    auto make_follower(std::vector<row_range> ranges, feed_timing timing,
                       Changed on_change, All on_all_rows)
        -> std::shared_ptr<table_follower<Platform>>
    {
        typename table_follower<Platform>::listener callbacks;
        // The follower is stopped before this role is destroyed.
        callbacks.on_change = [this, on_change](const stored_row& row)
        {
            on_change(row);
            request_pass();
        };
        callbacks.on_all_rows =
            [this, on_change, on_all_rows](const std::vector<stored_row>& rows)
        {
            on_all_rows(rows);
            for (const auto& row : rows)
            {
                on_change(row);
            }
            request_pass();
        };
        callbacks.on_call_ended = [this](bool answered)
        {
            m_health.record(answered, steady_now());
        };
        return std::make_shared<table_follower<Platform>>(
            m_platform, m_control, std::move(ranges), timing,
            std::move(callbacks));
    }

    auto on_inbox_change(const stored_row& row) -> void
    {
        // Rows up to this version have already been delivered. A job among them
        // that is unknown now has been removed since.
        if (row.removed || row.version <= m_inbox_follower->version())
        {
            return;
        }
        const auto cancelled = cancelled_job(row.at);
        if (!cancelled.empty())
        {
            m_scheduler.cancel(cancelled, steady_now());
            return;
        }
        if (is_part_epoch(row.at))
        {
            note_owner_epoch(named_epoch(row));
        }
        else if (is_tombstone(row))
        {
            m_tombstones->add(row, steady_now());
        }
        else if (const auto job = read_inbox_row(row))
        {
            add_job(*job, nullptr);
        }
    }

    /// Notes that the inbox names the owner @p epoch; a later one has taken the
    /// cell over.
    auto note_owner_epoch(std::uint64_t epoch) -> void
    {
        m_overtaken = m_overtaken || epoch > m_scheduler.epoch();
    }

    /// @param approval_instances  number of instances that can call the
    ///                            approval service
    auto authority(std::size_t approval_instances) const -> owner_authority
    {
        return {m_context.may_act(), confirmed_age(),
                m_approvals.free_slow_slots(approval_instances)};
    }

    /// Names of the instances that can call the approval service, including
    /// this one.
    [[nodiscard]] auto approval_instances(time_point now) const
        -> std::vector<std::string>
    {
        std::vector<std::string> out{m_context.self};
        for (const auto& [name, entry] : m_peers.known())
        {
            if (entry.serving && now - entry.heard_at <= max_instance_silence)
            {
                out.push_back(name);
            }
        }
        return out;
    }

    [[nodiscard]] auto confirmed_age() const -> milliseconds
    {
        return std::chrono::duration_cast<milliseconds>(
            steady_now() - m_context.confirmed_at());
    }

    /// Adds a job to the scheduler. An owner may start jobs that were stored
    /// during its own or an earlier ownership; jobs stored under a later owner
    /// are left alone.
    /// @param known  stored progress; nullptr if there is none
    auto add_job(const versioned_job& received, const job_progress* known)
        -> void
    {
        const auto& [job, epoch] = received.item;
        note_owner_epoch(epoch);
        if (epoch > m_scheduler.epoch() || m_remover->is_removing(job.id))
        {
            return;
        }
        job_progress none;
        none.id = job.id;
        const auto& progress = known == nullptr ? none : *known;
        const bool inherited = known != nullptr || epoch < m_scheduler.epoch();
        const bool added =
            inherited ? m_scheduler.restore(job, progress, steady_now())
                      : m_scheduler.accept(job, steady_now());
        if (added && !is_final(progress.state))
        {
            log_added_job(received, inherited);
        }
        if (added && m_loaded && inherited)
        {
            logging::error(
                "job of an earlier owner was missing when the cell was loaded")
                .with("job", job.id)
                .with("epoch", epoch);
        }
    }

    auto log_added_job(const versioned_job& received, bool inherited) const
        -> void
    {
        const auto& job = received.item.job;
        logging::info("job added to the scheduler")
            .with("job", job.id)
            .with("queue", job.queue.name)
            .with("steps", job.steps.size())
            .with("epoch", m_scheduler.epoch())
            .with("inherited", inherited)
            .with("stored_under", received.item.epoch)
            .with("row_version", received.version);
    }

    auto on_worker_change(const stored_row& row) -> void
    {
        if (row.removed)
        {
            m_scheduler.on_worker_unregistered(worker_id(row.at.key),
                                               steady_now());
            return;
        }
        const auto read = m_platform.read_worker(row);
        if (read.entry)
        {
            m_scheduler.on_worker_registered(*read.entry, steady_now());
            return;
        }
        // An earlier valid entry of the worker still counts.
        ++m_malformed_entries;
        logging::warn("worker entry is malformed; ignoring it")
            .with("key", row.at.key)
            .with("row_version", row.version)
            .with("bytes", row.value.size())
            .with("fault", read.error_text);
    }

    auto remove_unlisted_workers(const std::vector<stored_row>& rows) -> void
    {
        std::set<std::string> listed;
        for (const auto& row : rows)
        {
            listed.insert(row.at.key);
        }
        std::vector<worker_id> gone;
        for (const auto& [id, worker] : m_scheduler.workers())
        {
            if (!listed.contains(id.str()))
            {
                gone.push_back(id);
            }
        }
        for (const auto& id : gone)
        {
            m_scheduler.on_worker_unregistered(id, steady_now());
        }
    }

    auto tick() -> void
    {
        m_tick_timer.expires_after(tick_interval);
        m_tick_timer.async_wait(
            [self = this->shared_from_this()](auto fault)
            {
                if (!fault && !self->m_ended)
                {
                    self->request_pass();
                    self->tick();
                }
            });
    }

    /// Schedules one pass for all events that are ready now, so that time is left
    /// to process events.
    auto request_pass() -> void
    {
        if (m_pass_requested || m_ended)
        {
            return;
        }
        m_pass_requested = true;
        m_pass_timer.expires_after(
            std::max(m_next_pass - steady_now(), boot_clock::duration::zero()));
        m_pass_timer.async_wait(
            [self = this->shared_from_this()](auto fault)
            {
                self->m_pass_requested = false;
                if (!fault && !self->m_ended)
                {
                    self->run_pass_if_loaded();
                }
            });
    }

    auto run_pass_if_loaded() -> void
    {
        if (!m_loaded)
        {
            return;
        }
        const auto began = steady_now();
        run_pass(began);
        m_next_pass = policy::next_pass_at(began, steady_now() - began);
    }

    auto run_pass(time_point now) -> void
    {
        if (m_overtaken || m_scheduler.overtaken())
        {
            m_context.overtaken();
            return;
        }
        const auto instances = approval_instances(now);
        const auto out = m_scheduler.advance(now, m_context.calendar(),
                                             authority(instances.size()));
        send_orders(out);
        report_counts();
        send_approval_requests(instances, now);
        m_progress->write();
        m_roster->write(now);
        m_remover->remove_due(now);
        m_tombstones->remove_due(now);
        m_load.on_pass(m_scheduler.last_pass(), out, steady_now() - now);
        if (const auto load = m_load.take(now))
        {
            m_context.load_measured(*load);
        }
    }

    /// Skips the callback if no counter has changed, as after most passes.
    auto report_counts() -> void
    {
        auto counts = m_scheduler.take_counts();
        counts.malformed_entries = std::exchange(m_malformed_entries, 0);
        if (counts != scheduler_counts{})
        {
            m_context.counted(counts);
        }
    }

    auto send_orders(const outbox& out) -> void
    {
        const auto self = this->shared_from_this();
        for (const auto& order : out.stops)
        {
            m_platform.stop(order,
                            [self, order](bool answered)
                            {
                                self->m_scheduler.on_stop_answered(
                                    order, answered, steady_now());
                                self->request_pass();
                            });
        }
        for (const auto& order : out.starts)
        {
            m_platform.start(
                order,
                [self, order, sent_at = steady_now()](start_outcome outcome,
                                                      const auto& reading)
                {
                    self->m_load.on_start_answered(steady_now() - sent_at);
                    self->m_scheduler.on_start_answered(order, outcome, reading,
                                                        steady_now());
                    self->request_pass();
                });
        }
        for (const auto& order : out.heartbeats)
        {
            m_platform.heartbeat(order,
                                 [self, order](const heartbeat_answer& answer)
                                 {
                                     self->on_heartbeat_answer(order, answer);
                                 });
        }
        for (const auto& order : out.paces)
        {
            m_platform.pace(order);
        }
        for (const auto& request : out.approval_requests)
        {
            m_approvals.add(request, steady_now());
        }
    }

    auto on_heartbeat_answer(const heartbeat_order& order,
                             const heartbeat_answer& answer) -> void
    {
        if (m_ended)
        {
            return;
        }
        if (answer.fenced)
        {
            m_context.overtaken();
            return;
        }
        m_scheduler.on_heartbeat_answered(order, answer, steady_now());
        request_pass();
    }

    auto
    send_approval_requests(const std::vector<std::string>& approval_instances,
                           time_point now) -> void
    {
        for (const auto& lost : m_approvals.take_timed_out(now))
        {
            logging::info("approval request was not answered in time")
                .with("job", lost.request.step.job)
                .with("step", lost.request.step.step)
                .with("sent_to", lost.instance)
                .with("asked", lost.request.workers.size())
                .with("expected", lost.request.expected);
            approval_response none;
            none.step = lost.request.step;
            none.asked = lost.request.workers;
            m_scheduler.on_approval_response(none, now);
        }
        if (m_approvals.waiting() == 0)
        {
            return;
        }
        for (auto& item : m_approvals.assign(approval_instances, now))
        {
            if (item.instance == m_context.self)
            {
                call_approval_service(item);
            }
            else
            {
                forward_to_peer(item);
            }
        }
    }

    auto call_approval_service(const assigned_request& item) -> void
    {
        m_platform.ask(item.request,
                       [self = this->shared_from_this(),
                        number = item.number](approval_response answer)
                       {
                           if (!self->m_ended)
                           {
                               self->on_request_answered(number,
                                                         std::move(answer));
                           }
                       });
    }

    auto forward_to_peer(const assigned_request& item) -> void
    {
        m_peers.send(m_peers.known().at(item.instance).address,
                     question_message(item.number, item.request));
    }

    Platform& m_platform;
    boost::asio::io_context& m_control;
    peers& m_peers;
    store_health& m_health;
    owner_role_context m_context;
    /// Version of the epoch row at the takeover; writes of the roster depend on
    /// it.
    std::uint64_t m_epoch_version;
    scheduler m_scheduler;
    approval_dispatcher m_approvals;
    std::shared_ptr<cell_loader<Platform>> m_loader;
    std::shared_ptr<progress_writer<Platform>> m_progress;
    std::shared_ptr<roster_writer<Platform>> m_roster;
    std::shared_ptr<job_remover<Platform>> m_remover;
    std::shared_ptr<tombstone_remover<Platform>> m_tombstones;
    owner_load_meter m_load;
    boost::asio::steady_timer m_tick_timer;
    boost::asio::steady_timer m_pass_timer;
    time_point m_next_pass;
    std::shared_ptr<table_follower<Platform>> m_inbox_follower;
    std::shared_ptr<table_follower<Platform>> m_worker_follower;
    bool m_loaded = false;
    /// Whether the inbox has named a later owner.
    bool m_overtaken = false;
    bool m_pass_requested = false;
    bool m_ended = false;
    /// Entries that named no worker, since the counters were reported last.
    std::uint64_t m_malformed_entries = 0;
};

} // namespace pimentoshunt::cell
