/// @file
/// Simulation of job trackers under faults: successive owners of a job's
/// partition, workers with leases and a store, in virtual time. The seed decides
/// the faults.
#pragma once

#include <pimentoshunt/jobs/job_tracker.hpp>

#include "fake_worker.hpp"

#include <criterion/criterion.h>

#include <algorithm>  // max
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <random>     // mt19937
#include <string>     // string
#include <utility>    // pair
#include <vector>     // vector

namespace pimentoshunt::tests
{

using namespace pimentoshunt::jobs;
using namespace std::chrono_literals;

inline constexpr int worker_count = 4;
inline constexpr milliseconds time_step{50};
inline constexpr worker::epoch_number worker_epoch = 1;
inline const job_id the_job("j1");

/// Limits short enough for many timeouts within 1,000 steps of virtual time.
inline auto quick_limits() -> tracker_limits
{
    tracker_limits out;
    out.lease = 2'000ms;
    out.renew_interval = 500ms;
    out.retry_interval = 200ms;
    out.give_up_after = 1'500ms;
    out.lease_margin = 1'000ms;
    out.hold_timeout = 1'000ms;
    out.max_backoff = 400ms;
    out.max_stopped_attempts = 10'000;
    return out;
}

/// An instance that owns, or believes that it owns, the job's partition.
struct owner
{
    std::uint64_t epoch = 0;
    bool alive = true;
    std::unique_ptr<job_tracker> tracker;
    /// Placements that the tracker has requested and not yet received.
    std::int64_t requested_places = 0;
    /// By worker: whether calls to it fail.
    std::vector<bool> link_down = std::vector<bool>(worker_count, false);
};

/// Runs one job with owners, workers and a store in virtual time. Requests are
/// delayed or lost, and some arrive after their caller has given up; replies get
/// lost; owners continue for a while after a takeover; worker clocks are slow by
/// the allowed drift of 1%.
class job_simulation
{
  public:
    job_simulation(unsigned seed, job_spec spec)
        : m_random(seed), m_spec(std::move(spec))
    {
        for (int i = 0; i < worker_count; ++i)
        {
            cr_assert(m_workers.fence(worker_of(i).url, worker_epoch, "o")
                          .value()
                          .accepted);
        }
        take_over();
    }

    /// Advances by @p steps steps, with new faults before each.
    auto run_with_faults(int steps) -> void
    {
        m_faults = true;
        for (int i = 0; i < steps; ++i)
        {
            inject_faults();
            advance();
        }
    }

    /// Runs without faults and with the last owner only, for at most @p steps
    /// steps.
    /// @return whether the job has ended
    auto run_to_end(int steps) -> bool
    {
        m_faults = false;
        m_store_down = false;
        for (auto& each : m_owners)
        {
            each->alive = each == m_owners.back();
            each->link_down.assign(worker_count, false);
        }
        for (int i = 0; i < steps && m_stored.state == job_state::active; ++i)
        {
            advance();
        }
        return m_stored.state != job_state::active;
    }

    /// The job's progress in the store.
    job_progress m_stored;
    /// The largest number of attempts of one task that ran at the same time.
    int m_max_parallel_attempts = 0;
    /// Number of starts that took effect, by task.
    std::map<std::int64_t, int> m_starts;
    /// Number of attempts that finished with exit code 0, by task.
    std::map<std::int64_t, int> m_successes;

  private:
    /// True with a probability of 1 / @p one_in.
    auto chance(unsigned one_in) -> bool
    {
        return m_random() % one_in == 0;
    }

    auto random_delay(milliseconds longest) -> milliseconds
    {
        return milliseconds(m_random() %
                            static_cast<unsigned>(longest.count()));
    }

    static auto worker_of(int number) -> job_worker
    {
        const auto text = std::to_string(number);
        return {worker_id(text), "w/" + text};
    }

    auto schedule_in(milliseconds time, std::function<void()> action) -> void
    {
        m_scheduled_actions.emplace(m_now + time, std::move(action));
    }

    /// Adds an owner with the next epoch that loads the stored progress. Earlier
    /// owners are not told.
    auto take_over() -> void
    {
        auto next = std::make_unique<owner>();
        next->epoch = m_owners.size() + 1;
        next->tracker = std::make_unique<job_tracker>(
            1, next->epoch, quick_limits(),
            static_cast<std::uint32_t>(m_random()));
        next->tracker->on_loaded({m_spec, m_stored}, m_now);
        next->tracker->on_all_loaded();
        m_owners.push_back(std::move(next));
    }

    auto inject_faults() -> void
    {
        if (chance(60) && m_stored.state == job_state::active)
        {
            take_over();
        }
        if (chance(20))
        {
            m_store_down = !m_store_down;
        }
        for (auto& each : m_owners)
        {
            const bool last = each == m_owners.back();
            each->alive = each->alive && (last || !chance(60));
            const auto link = m_random() % worker_count;
            if (chance(15))
            {
                each->link_down[link] = !each->link_down[link];
            }
        }
    }

    /// Simulates one call: @p act runs at the worker unless the request is lost.
    /// @p done receives whether an answer arrived, and whether the request may
    /// have been sent: if not, the caller knows that it had no effect.
    auto call(owner& from, const job_worker& to, std::function<void()> act,
              const std::function<void(bool answered, bool sent)>& done) -> void
    {
        auto* const caller = &from;
        const auto finish = [this, caller, done](bool answered, bool sent)
        {
            if (caller->alive)
            {
                done(answered, sent);
                perform(*caller);
            }
        };
        if (from.link_down[static_cast<std::size_t>(std::stoi(to.id.str()))])
        {
            const bool sent = chance(2);
            schedule_in(random_delay(300ms),
                        [=]
                        {
                            finish(false, sent);
                        });
            return;
        }
        const auto arrives = random_delay(300ms);
        if (m_faults && chance(8))
        {
            // The caller times out; the request arrives later, or never.
            schedule_in(arrives,
                        [=]
                        {
                            finish(false, true);
                        });
            if (chance(2))
            {
                schedule_in(arrives + random_delay(900ms), std::move(act));
            }
            return;
        }
        schedule_in(arrives, std::move(act));
        const bool lost = m_faults && chance(8);
        schedule_in(arrives + random_delay(300ms),
                    [=]
                    {
                        finish(!lost, true);
                    });
    }

    auto perform(owner& by) -> void
    {
        for (auto& effect : by.tracker->effects())
        {
            std::visit(
                [&](const auto& each)
                {
                    perform(by, each);
                },
                effect);
        }
    }

    auto perform(owner& by, const placement_request& effect) -> void
    {
        by.requested_places = effect.count;
    }

    auto perform(owner& by, const start_task& effect) -> void
    {
        auto answer = std::make_shared<start_status>(start_status::unknown);
        auto* const caller = &by;
        call(
            by, effect.worker,
            [this, effect, answer]
            {
                const auto outcome =
                    m_workers.start_task(effect.worker.url, effect.start)
                        .value();
                *answer = start_status_of(outcome);
                if (!outcome.refused)
                {
                    ++m_starts[effect.start.task];
                    begin(effect.worker, effect.start.attempt,
                          effect.start.task);
                }
            },
            [this, caller, answer, effect](bool answered, bool sent)
            {
                const auto status = answered ? *answer
                                    : sent   ? start_status::unknown
                                             : start_status::not_run;
                caller->tracker->on(start_result{effect.start.attempt, status},
                                    m_now);
            });
    }

    auto perform(owner& by, const renew_leases& effect) -> void
    {
        auto expired = std::make_shared<std::vector<attempt_id>>();
        auto* const caller = &by;
        call(
            by, effect.worker,
            [this, effect, expired]
            {
                *expired =
                    m_workers
                        .renew(effect.worker.url, effect.attempts, effect.lease)
                        .value();
                for (const auto& attempt : effect.attempts)
                {
                    extend_lease(attempt);
                }
            },
            [this, caller, expired, effect](bool answered, bool)
            {
                caller->tracker->on(
                    lease_report{effect.worker.id, effect.attempts, answered,
                                 answered ? *expired
                                          : std::vector<attempt_id>()},
                    m_now);
            });
    }

    auto perform(owner& by, const inspect_attempt& effect) -> void
    {
        auto report = std::make_shared<worker::attempt_report>();
        auto* const caller = &by;
        call(
            by, effect.worker,
            [this, effect, report]
            {
                *report =
                    m_workers.revoke(effect.worker.url, effect.attempt).value();
            },
            [this, caller, report, effect](bool answered, bool)
            {
                attempt_inspected event{effect.attempt, std::nullopt};
                if (answered)
                {
                    event.report = *report;
                }
                caller->tracker->on(event, m_now);
            });
    }

    auto perform(owner& by, const stop_task& effect) -> void
    {
        auto* const caller = &by;
        call(
            by, effect.worker,
            [this, effect]
            {
                (void)m_workers.stop(effect.worker.url, effect.attempt);
            },
            [this, caller, effect](bool answered, bool)
            {
                caller->tracker->on(stop_result{effect.attempt, answered},
                                    m_now);
            });
    }

    auto perform(owner& by, const fence_worker& effect) -> void
    {
        auto outcome = std::make_shared<worker::partition_fence_outcome>();
        auto* const caller = &by;
        call(
            by, effect.worker,
            [this, effect, outcome]
            {
                *outcome = m_workers
                               .partition_fence(effect.worker.url,
                                                effect.partition, effect.epoch)
                               .value();
            },
            [this, caller, outcome, effect](bool answered, bool)
            {
                caller->tracker->on(worker_fenced{effect.worker,
                                                  answered && outcome->accepted,
                                                  outcome->running},
                                    m_now);
            });
    }

    auto perform(owner& by, const persist_progress& effect) -> void
    {
        auto* const caller = &by;
        const bool owns = by.epoch == m_owners.size();
        const bool committed = owns && !m_store_down;
        if (committed)
        {
            m_stored = effect.progress;
        }
        const bool is_confirmed = committed && !(m_faults && chance(8));
        schedule_in(random_delay(100ms),
                    [this, caller, effect, is_confirmed]
                    {
                        if (caller->alive)
                        {
                            caller->tracker->on(
                                progress_persisted{effect.job, effect.sequence,
                                                   is_confirmed},
                                m_now);
                            perform(*caller);
                        }
                    });
    }

    auto perform(owner&, const release_placement&) -> void
    {
    }

    auto perform(owner&, const job_ended&) -> void
    {
    }

    auto begin(const job_worker& at, const attempt_id& attempt,
               std::int64_t task) -> void
    {
        m_leases[attempt] = {at.url, task, m_now + random_delay(3'000ms),
                             m_now};
        extend_lease(attempt);
        m_max_parallel_attempts = std::max(
            m_max_parallel_attempts, m_workers.count_running(the_job, task));
    }

    auto extend_lease(const attempt_id& attempt) -> void
    {
        const auto found = m_leases.find(attempt);
        if (found != m_leases.end())
        {
            const auto lease = quick_limits().lease;
            found->second.expires_at = m_now + lease + lease / 100;
        }
    }

    auto run_tasks() -> void
    {
        for (auto at = m_leases.begin(); at != m_leases.end();)
        {
            const auto& [attempt, item] = *at;
            const bool ended = m_now >= item.finishes_at;
            const bool expired = m_now >= item.expires_at;
            if (!ended && !expired)
            {
                ++at;
                continue;
            }
            if (ended)
            {
                ++m_successes[item.task];
                m_workers.finish(item.url, attempt, 0);
            }
            else
            {
                m_workers.expire_lease(item.url, attempt);
            }
            at = m_leases.erase(at);
        }
    }

    auto advance() -> void
    {
        m_now += time_step;
        run_tasks();
        while (!m_scheduled_actions.empty() &&
               m_scheduled_actions.begin()->first <= m_now)
        {
            const auto action = std::move(m_scheduled_actions.begin()->second);
            m_scheduled_actions.erase(m_scheduled_actions.begin());
            action();
        }
        for (auto& each : m_owners)
        {
            if (!each->alive)
            {
                continue;
            }
            each->tracker->tick(m_now);
            perform(*each);
            for (; each->requested_places > 0 && !chance(4);
                 --each->requested_places)
            {
                const auto attempt =
                    attempt_id("a" + std::to_string(++m_attempts));
                const auto target_worker =
                    worker_of(static_cast<int>(m_random() % worker_count));
                each->tracker->on(placement_granted{the_job, attempt,
                                                    target_worker,
                                                    worker_epoch},
                                  m_now);
            }
            perform(*each);
        }
    }

    struct task_lease
    {
        std::string url;
        std::int64_t task = 0;
        time_point finishes_at;
        time_point expires_at;
    };

    std::mt19937 m_random;
    const job_spec m_spec;
    time_point m_now{std::chrono::hours(1)};
    fake_worker m_workers;
    std::vector<std::unique_ptr<owner>> m_owners;
    std::multimap<time_point, std::function<void()>> m_scheduled_actions;
    std::unordered_map<attempt_id, task_lease> m_leases;
    bool m_faults = false;
    bool m_store_down = false;
    int m_attempts = 0;
};

} // namespace pimentoshunt::tests
