/// @file
/// What the owner of the cell does beyond what every instance does: it loads
/// jobs and workers, runs the scheduler and carries its orders out.
#pragma once

#include <pimentoshunt/cell/approval_dispatcher.hpp>
#include <pimentoshunt/cell/cell_loader.hpp>
#include <pimentoshunt/cell/inbox.hpp>
#include <pimentoshunt/cell/job_remover.hpp>
#include <pimentoshunt/cell/messages.hpp>
#include <pimentoshunt/cell/peers.hpp>
#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/progress_writer.hpp>
#include <pimentoshunt/cell/roster_writer.hpp>
#include <pimentoshunt/cell/scheduler.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/cell/store_reader.hpp>
#include <pimentoshunt/cell/stored.hpp>
#include <pimentoshunt/cell/tables.hpp>
#include <pimentoshunt/logging.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>  // clamp, max
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <set>        // set
#include <string>     // string
#include <utility>    // move
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief What an owner needs to know of the instance around it.
struct owner_context
{
    /// Name of this instance among the askers.
    std::string self;
    /// Whether leases may be renewed and work be started now.
    std::function<bool()> may_act;
    /// When the store was last asked to confirm the ownership, and did; for the
    /// log.
    std::function<time_point()> confirmed_at;
    /// Called once when a later owner is there.
    std::function<void()> overtaken;
    /// The time of day.
    std::function<calendar_time()> calendar;
    /// Told of what the scheduler has met.
    std::function<void(const scheduler_counts&)> counted;
};

/// @brief One ownership, from the takeover to its end. Control thread only.
template<class Platform>
class owner_role : public std::enable_shared_from_this<owner_role<Platform>>
{
  public:
    /// @param epoch_version  version of the row that writes depend on
    owner_role(Platform& outside, boost::asio::io_context& control,
               peers& others, store_health& health, owner_context around,
               std::uint64_t epoch, std::uint64_t epoch_version,
               scheduler_options options)
        : m_outside(outside), m_control(control), m_peers(others),
          m_health(health), m_around(std::move(around)),
          m_epoch_version(epoch_version),
          m_scheduler(epoch, options, present()), m_desk(epoch),
          m_progress(std::make_shared<progress_writer<Platform>>(
              outside, control, health, m_scheduler, progress_listener())),
          m_roster(std::make_shared<roster_writer<Platform>>(
              outside, m_scheduler, epoch_version, roster_listener())),
          m_remover(
              std::make_shared<job_remover<Platform>>(outside, m_scheduler)),
          m_tick(control), m_wake(control)
    {
    }

    /// @brief Reads what is stored, then goes to work.
    auto begin(const configuration& in_force) -> void
    {
        m_scheduler.configure(in_force);
        typename cell_loader<Platform>::listener tell;
        tell.loaded = [this](const stored_cell& found)
        {
            loaded_rows(found);
        };
        tell.overtaken = m_around.overtaken;
        m_loader = std::make_shared<cell_loader<Platform>>(
            m_outside, m_control, m_health, m_scheduler.epoch(),
            std::move(tell));
        m_loader->begin(m_epoch_version);
        tick();
    }

    /// @brief Ends the ownership: no order leaves from now on.
    auto end() -> void
    {
        m_ended = true;
        m_tick.cancel();
        m_wake.cancel();
        m_progress->stop();
        m_roster->stop();
        m_remover->stop();
        if (m_loader)
        {
            m_loader->stop();
        }
        for (const auto& item : {m_inbox, m_workers})
        {
            if (item)
            {
                item->stop();
            }
        }
    }

    auto configure(const configuration& latest) -> void
    {
        m_scheduler.configure(latest);
        wake();
    }

    /// @brief Whether all stored jobs are loaded.
    [[nodiscard]] auto loaded() const noexcept -> bool
    {
        return m_loaded;
    }

    [[nodiscard]] auto state_of(const job_id& job) const
        -> std::optional<job_state>
    {
        return m_scheduler.state_of(job);
    }

    [[nodiscard]] auto pending() const -> std::vector<queue_count>
    {
        return m_scheduler.pending();
    }

    [[nodiscard]] auto jobs() const -> const scheduler&
    {
        return m_scheduler;
    }

    /// @brief An instance has stored a row of the inbox. Before everything is
    /// loaded it is passed over: loading or the feed brings it.
    auto row_arrived(const stored_row& row) -> void
    {
        if (m_loaded)
        {
            inbox_changed(row);
            wake();
        }
    }

    /// @brief Another instance has asked a question for this one.
    auto question_answered(std::uint64_t number, approval_response answer) -> void
    {
        const auto request = m_desk.answered(number);
        if (!request)
        {
            return;
        }
        answer.step = request->step;
        answer.asked = request->workers;
        m_scheduler.on_approval_response(answer, present());
        wake();
    }

  private:
    /// How often leases, stops and lost answers are looked at.
    static constexpr milliseconds tick_interval{50};
    /// A decision looks at all workers and steps: those for many events are
    /// made together, so that they take a fifth of the time at most.
    static constexpr int decision_share = 5;
    static constexpr milliseconds least_pause{4};
    static constexpr milliseconds longest_pause{25};
    /// Rows come at once from the instances that stored them; the feed is for
    /// those whose message was lost.
    static constexpr feed_times inbox_times{milliseconds(1'000),
                                            milliseconds(150)};
    /// Workers renew their entries all the time; one that leaves may still be
    /// given work for two seconds.
    static constexpr feed_times worker_times{milliseconds(1'000),
                                             milliseconds(250)};
    /// An asker must have been heard within this time.
    static constexpr milliseconds asker_heard{700};

    static auto present() -> time_point
    {
        return boot_clock::now();
    }

    auto progress_listener() -> typename progress_writer<Platform>::listener
    {
        // The writer is stopped before this role ends.
        return {[this]
                {
                    wake();
                },
                m_around.overtaken,
                [this](const job_id& job, const row_key& at)
                {
                    m_remover->remember_row(job, at);
                }};
    }

    auto roster_listener() -> typename roster_writer<Platform>::listener
    {
        return {[this]
                {
                    wake();
                },
                m_around.overtaken};
    }

    auto loaded_rows(const stored_cell& found) -> void
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
            worker_changed(row);
        }
        for (const auto& row : found.roster)
        {
            if (const auto worker = read_worker(row.value))
            {
                m_scheduler.restore_worker(*worker, row.version, present());
            }
            else
            {
                logging::error("a row of the roster can't be read: it is "
                               "passed over")
                    .with("key", row.at.key);
            }
        }
        m_loaded = true;
        logging::info("cell is loaded")
            .with("epoch", m_scheduler.epoch())
            .with("jobs", m_scheduler.job_count())
            .with("workers", m_scheduler.workers().size());
        follow_inbox(found.version);
        follow_workers(found.version);
        wake();
    }

    auto restore_jobs(const stored_cell& found) -> void
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
                logging::error("a row of progress can't be read: it is passed "
                               "over")
                    .with("key", row.at.key);
            }
        }
        const auto inbox = read_inbox(found.inbox);
        for (const auto& [id, job] : inbox.jobs)
        {
            const auto known = progress.find(id.str());
            take_job(job, known == progress.end() ? nullptr : &known->second);
        }
        for (const auto& job : inbox.cancelled)
        {
            m_scheduler.cancel(job, present());
        }
    }

    auto follow_inbox(std::uint64_t version) -> void
    {
        m_inbox = make_follower(
            inbox_ranges(), inbox_times,
            [this](const stored_row& row)
            {
                inbox_changed(row);
            },
            [](const std::vector<stored_row>&) {});
        m_inbox->follow_from(version);
    }

    auto follow_workers(std::uint64_t version) -> void
    {
        m_workers = make_follower(
            std::vector<row_range>{
                row_range{m_outside.worker_table(), "", "", ""}},
            worker_times,
            [this](const stored_row& row)
            {
                worker_changed(row);
            },
            [this](const std::vector<stored_row>& rows)
            {
                unlist_absent(rows);
            });
        m_workers->follow_from(version);
    }

    template<class Changed, class All>
    auto make_follower(std::vector<row_range> ranges, feed_times times,
                       Changed changed, All all)
        -> std::shared_ptr<table_follower<Platform>>
    {
        typename table_follower<Platform>::listener tell;
        // The follower is stopped before this role ends.
        tell.changed = [this, changed](const stored_row& row)
        {
            changed(row);
            wake();
        };
        tell.all = [this, changed, all](const std::vector<stored_row>& rows)
        {
            all(rows);
            for (const auto& row : rows)
            {
                changed(row);
            }
            wake();
        };
        tell.reached = [this](bool answered)
        {
            m_health.record(answered, present());
        };
        return std::make_shared<table_follower<Platform>>(
            m_outside, m_control, std::move(ranges), times, std::move(tell));
    }

    auto inbox_changed(const stored_row& row) -> void
    {
        // What was there when it was read or followed has been told: unknown
        // now, it has been removed since.
        if (row.removed || row.version <= m_inbox->version())
        {
            return;
        }
        const auto cancelled = cancelled_job(row.at);
        if (!cancelled.empty())
        {
            m_scheduler.cancel(cancelled, present());
            return;
        }
        if (is_part_epoch(row.at))
        {
            later_owner(named_epoch(row));
        }
        else if (const auto job = read_arrived(row))
        {
            take_job(*job, nullptr);
        }
    }

    /// A row of the inbox names an owner: a later one has taken the cell over.
    auto later_owner(std::uint64_t epoch) -> void
    {
        m_overtaken = m_overtaken || epoch > m_scheduler.epoch();
    }

    /// @param askers  number of the instances that can ask questions
    auto authority(std::size_t askers) const -> owner_authority
    {
        return {m_around.may_act(), confirmed_age(), m_desk.free_slow_slots(askers)};
    }

    /// Names of the instances that can ask questions, this one among them.
    [[nodiscard]] auto askers(time_point now) const -> std::vector<std::string>
    {
        std::vector<std::string> out{m_around.self};
        for (const auto& [name, entry] : m_peers.known())
        {
            if (entry.serving && now - entry.heard_at <= asker_heard)
            {
                out.push_back(name);
            }
        }
        return out;
    }

    [[nodiscard]] auto confirmed_age() const -> milliseconds
    {
        return std::chrono::duration_cast<milliseconds>(
            present() - m_around.confirmed_at());
    }

    /// An earlier owner may have begun what was stored while it was in force,
    /// and nothing else: it leaves the jobs of later owners alone.
    /// @param known  stored progress; nullptr: none
    auto take_job(const arrived_job& arrived, const job_progress* known) -> void
    {
        const auto& [job, epoch] = arrived.item;
        later_owner(epoch);
        if (epoch > m_scheduler.epoch() || m_remover->removing(job.id))
        {
            return;
        }
        job_progress none;
        none.id = job.id;
        const auto& progress = known == nullptr ? none : *known;
        const bool inherited = known != nullptr || epoch < m_scheduler.epoch();
        const bool added = inherited
                               ? m_scheduler.restore(job, progress, present())
                               : m_scheduler.accept(job, present());
        if (added && !is_final(progress.state))
        {
            log_arrival(arrived, inherited);
        }
        if (added && m_loaded && inherited)
        {
            logging::error("a job of an earlier owner was not there when the "
                           "cell was loaded")
                .with("job", job.id)
                .with("epoch", epoch);
        }
    }

    auto log_arrival(const arrived_job& arrived, bool inherited) const -> void
    {
        const auto& job = arrived.item.job;
        logging::info("job taken in")
            .with("job", job.id)
            .with("queue", job.queue.name)
            .with("steps", job.steps.size())
            .with("epoch", m_scheduler.epoch())
            .with("inherited", inherited)
            .with("stored_under", arrived.item.epoch)
            .with("row_version", arrived.version);
    }

    auto worker_changed(const stored_row& row) -> void
    {
        if (row.removed)
        {
            m_scheduler.on_worker_unregistered(worker_id(row.at.key));
            return;
        }
        if (const auto entry = m_outside.read_worker(row))
        {
            m_scheduler.on_worker_registered(*entry, present());
        }
        else
        {
            logging::warn("a worker's entry makes no sense: it is passed over")
                .with("key", row.at.key);
        }
    }

    auto unlist_absent(const std::vector<stored_row>& rows) -> void
    {
        std::set<std::string> there;
        for (const auto& row : rows)
        {
            there.insert(row.at.key);
        }
        std::vector<worker_id> gone;
        for (const auto& [id, worker] : m_scheduler.workers())
        {
            if (!there.contains(id.str()))
            {
                gone.push_back(id);
            }
        }
        for (const auto& id : gone)
        {
            m_scheduler.on_worker_unregistered(id);
        }
    }

    auto tick() -> void
    {
        m_tick.expires_after(tick_interval);
        m_tick.async_wait(
            [self = this->shared_from_this()](auto fault)
            {
                if (!fault && !self->m_ended)
                {
                    self->decide();
                    self->tick();
                }
            });
    }

    /// Decides once after all events that are there now, and not more often
    /// than leaves time for the events themselves.
    auto wake() -> void
    {
        if (m_woken || m_ended)
        {
            return;
        }
        m_woken = true;
        m_wake.expires_after(std::max(m_next_decision - present(),
                                      boot_clock::duration::zero()));
        m_wake.async_wait(
            [self = this->shared_from_this()](auto fault)
            {
                self->m_woken = false;
                if (!fault && !self->m_ended)
                {
                    self->decide();
                }
            });
    }

    auto decide() -> void
    {
        if (!m_loaded)
        {
            return;
        }
        const auto began = present();
        decide_now(began);
        const auto took = present() - began;
        m_next_decision =
            began + std::clamp<boot_clock::duration>(
                        decision_share * took, least_pause, longest_pause);
    }

    auto decide_now(time_point now) -> void
    {
        if (m_overtaken || m_scheduler.overtaken())
        {
            m_around.overtaken();
            return;
        }
        const auto asking = askers(now);
        const auto out = m_scheduler.advance(now, m_around.calendar(),
                                             authority(asking.size()));
        carry_out(out);
        tell_counts();
        ask_questions(asking, now);
        m_progress->write();
        m_roster->write(now);
        m_remover->remove_due(now);
    }

    /// Most decisions have met nothing that is counted.
    auto tell_counts() -> void
    {
        const auto counts = m_scheduler.take_counts();
        if (counts != scheduler_counts{})
        {
            m_around.counted(counts);
        }
    }

    auto carry_out(const outbox& out) -> void
    {
        const auto self = this->shared_from_this();
        for (const auto& order : out.stops)
        {
            m_outside.stop(order,
                           [self, order](bool answered)
                           {
                               self->m_scheduler.on_stop_answered(order, answered,
                                                               present());
                               self->wake();
                           });
        }
        for (const auto& order : out.starts)
        {
            m_outside.start(order,
                            [self, order](start_outcome outcome,
                                          std::optional<worker_time> clock)
                            {
                                self->m_scheduler.on_start_answered(
                                    order, outcome, clock, present());
                                self->wake();
                            });
        }
        for (const auto& order : out.heartbeats)
        {
            m_outside.hold(
                order,
                [self, order](const std::optional<run_report>& report,
                              bool fenced)
                {
                    self->held(order, report, fenced);
                });
        }
        for (const auto& order : out.paces)
        {
            m_outside.pace(order);
        }
        for (const auto& request : out.approval_requests)
        {
            m_desk.add(request, present());
        }
    }

    auto held(const heartbeat_order& order, const std::optional<run_report>& report,
              bool fenced) -> void
    {
        if (m_ended)
        {
            return;
        }
        if (fenced)
        {
            m_around.overtaken();
            return;
        }
        m_scheduler.on_heartbeat_answered(order, report, present());
        wake();
    }

    auto ask_questions(const std::vector<std::string>& askers, time_point now)
        -> void
    {
        for (const auto& lost : m_desk.take_timed_out(now))
        {
            approval_response none;
            none.step = lost.step;
            none.asked = lost.workers;
            m_scheduler.on_approval_response(none, now);
        }
        if (m_desk.waiting() == 0)
        {
            return;
        }
        for (auto& item : m_desk.assign(askers, now))
        {
            if (item.instance == m_around.self)
            {
                ask_here(item);
            }
            else
            {
                ask_there(item);
            }
        }
    }

    auto ask_here(const assigned_request& item) -> void
    {
        m_outside.ask(item.request,
                      [self = this->shared_from_this(),
                       number = item.number](approval_response answer)
                      {
                          if (!self->m_ended)
                          {
                              self->question_answered(number,
                                                      std::move(answer));
                          }
                      });
    }

    auto ask_there(const assigned_request& item) -> void
    {
        m_peers.send(m_peers.known().at(item.instance).address,
                     question_message(item.number, item.request));
    }

    Platform& m_outside;
    boost::asio::io_context& m_control;
    peers& m_peers;
    store_health& m_health;
    owner_context m_around;
    /// Version of the takeover: writes of the roster depend on it.
    std::uint64_t m_epoch_version;
    scheduler m_scheduler;
    approval_dispatcher m_desk;
    std::shared_ptr<cell_loader<Platform>> m_loader;
    std::shared_ptr<progress_writer<Platform>> m_progress;
    std::shared_ptr<roster_writer<Platform>> m_roster;
    std::shared_ptr<job_remover<Platform>> m_remover;
    boost::asio::steady_timer m_tick;
    boost::asio::steady_timer m_wake;
    time_point m_next_decision;
    std::shared_ptr<table_follower<Platform>> m_inbox;
    std::shared_ptr<table_follower<Platform>> m_workers;
    bool m_loaded = false;
    /// Whether the inbox has shown a later owner.
    bool m_overtaken = false;
    bool m_woken = false;
    bool m_ended = false;
};

} // namespace pimentoshunt::cell
