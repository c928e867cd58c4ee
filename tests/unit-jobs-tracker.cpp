/// @file
/// job_tracker: the life cycle of batch and gang jobs, event by event.
#include <pimentoshunt/jobs/job_tracker.hpp>

#include <criterion/criterion.h>

#include <string> // string
#include <vector> // vector

using namespace pimentoshunt;
using namespace pimentoshunt::jobs;
using namespace std::chrono_literals;

namespace
{

const job_id id("j1");

auto job_of(std::int64_t tasks, bool gang = false, bool idempotent = true)
    -> job_record
{
    job_record out;
    out.spec.id = id;
    out.spec.tasks = tasks;
    out.spec.gang = gang;
    out.spec.idempotent = idempotent;
    return out;
}

auto worker_of(int number) -> job_worker
{
    const auto text = std::to_string(number);
    return {worker_id("w" + text), "http://127.0.0.1:1/w/" + text};
}

/// A tracker whose effects are recorded, and whose commits end immediately.
class tracker_fixture
{
  public:
    explicit tracker_fixture(const job_record& job, tracker_limits limits = {})
        : m_tracker(5, 2, limits, 1)
    {
        m_tracker.on_loaded(job, m_now);
        m_tracker.on_all_loaded();
        run();
    }

    /// Takes and records the effects; commits succeed while m_store_up is set.
    auto run() -> void
    {
        auto effects = m_tracker.effects();
        while (!effects.empty())
        {
            for (auto& effect : effects)
            {
                m_all.push_back(effect);
                const auto* requested = std::get_if<placement_request>(&effect);
                m_requested =
                    requested != nullptr ? requested->count : m_requested;
                const auto* renewal = std::get_if<renew_leases>(&effect);
                if (renewal != nullptr && m_renewals_fail)
                {
                    m_tracker.on(
                        lease_report{
                            renewal->worker.id, renewal->attempts, false, {}},
                        m_now);
                }
                const auto* commit = std::get_if<persist_progress>(&effect);
                if (commit != nullptr && m_store_up)
                {
                    m_last_progress = commit->progress;
                    m_tracker.on(
                        progress_persisted{commit->job, commit->sequence, true},
                        m_now);
                }
                else if (commit != nullptr)
                {
                    m_tracker.on(progress_persisted{commit->job,
                                                    commit->sequence, false},
                                 m_now);
                }
            }
            effects = m_tracker.effects();
        }
    }

    auto advance_time(milliseconds time) -> void
    {
        for (auto left = time; left > 0ms; left -= 100ms)
        {
            m_now += 100ms;
            m_tracker.tick(m_now);
            run();
        }
    }

    template<class Event>
    auto on(const Event& event) -> void
    {
        m_tracker.on(event, m_now);
        run();
    }

    auto grant(const std::string& attempt, int worker = 1) -> void
    {
        m_requested -= m_requested > 0 ? 1 : 0;
        on(placement_granted{id, attempt_id(attempt), worker_of(worker), 7});
    }

    auto start(const std::string& attempt, int worker = 1,
               start_status answer = start_status::started) -> void
    {
        grant(attempt, worker);
        on(start_result{attempt_id(attempt), answer});
    }

    auto finish(const std::string& attempt, int exit) -> void
    {
        m_tracker.on_finished(attempt_id(attempt), exit, m_now);
        run();
    }

    /// Number of recorded effects of a type.
    template<class Effect>
    [[nodiscard]] auto count() const -> int
    {
        int found = 0;
        for (const auto& effect : m_all)
        {
            found += std::holds_alternative<Effect>(effect) ? 1 : 0;
        }
        return found;
    }

    /// Number of placements requested at present.
    [[nodiscard]] auto requested() const -> std::int64_t
    {
        return m_requested;
    }

    job_tracker m_tracker;
    time_point m_now{std::chrono::hours(1)};
    std::vector<job_effect> m_all;
    job_progress m_last_progress;
    bool m_store_up = true;
    bool m_renewals_fail = false;
    std::int64_t m_requested = 0;
};

} // namespace

Test(jobs_tracker, job_runs_to_its_end)
{
    tracker_fixture b(job_of(2));
    cr_assert(b.requested() == 2);
    b.start("a1");
    b.start("a2", 2);
    b.grant("a3");
    cr_assert(b.count<start_task>() == 2);
    cr_assert(b.count<release_placement>() == 1);
    b.finish("a1", 0);
    b.finish("a2", 0);
    b.advance_time(200ms);
    cr_assert(b.m_last_progress.state == job_state::succeeded);
    cr_assert(b.count<job_ended>() == 1);
    cr_assert(b.m_tracker.attempts() == 0);
}

Test(jobs_tracker, worker_is_recorded_before_the_first_start_there)
{
    tracker_fixture b(job_of(9));
    b.m_store_up = false;
    b.grant("a1");
    cr_assert(b.count<start_task>() == 0);
    b.m_store_up = true;
    b.advance_time(1'500ms);
    cr_assert(b.count<start_task>() == 1);
    cr_assert(b.m_last_progress.workers.size() == 1);
    // Further starts on this worker need no commit, also while the store is
    // unavailable.
    b.m_store_up = false;
    b.grant("a2");
    cr_assert(b.count<start_task>() == 2);
}

Test(jobs_tracker, task_of_a_silent_worker_waits_until_the_lease_has_expired)
{
    const tracker_limits limits;
    tracker_fixture b(job_of(1));
    b.start("a1");
    b.advance_time(3'000ms);
    const auto renewals = b.count<renew_leases>();
    cr_assert(renewals >= 1);
    // The renewal has no result yet, and may extend the lease however late.
    b.advance_time(120s);
    cr_assert(b.requested() == 0);
    b.on(lease_report{worker_of(1).id, {attempt_id("a1")}, false, {}});
    const auto wait = limits.lease + limits.lease / 100 + limits.lease_margin;
    b.advance_time(wait - 200ms);
    cr_assert(b.requested() == 0);
    b.advance_time(limits.max_backoff + 400ms);
    cr_assert(b.requested() == 1);
    cr_assert(b.count<renew_leases>() == renewals);
}

Test(jobs_tracker, start_of_unknown_outcome_is_inspected_first)
{
    tracker_fixture b(job_of(1));
    b.start("a1", 1, start_status::unknown);
    b.advance_time(1'000ms);
    cr_assert(b.requested() == 0);
    cr_assert(b.count<inspect_attempt>() >= 1);
    b.on(attempt_inspected{
        attempt_id("a1"),
        worker::attempt_report{worker::attempt_state::revoked, std::nullopt}});
    b.advance_time(1'000ms);
    cr_assert(b.requested() == 1);
}

Test(jobs_tracker, failures_on_three_workers_are_attributed_to_the_job)
{
    auto job = job_of(1);
    job.spec.max_attempts = 9;
    tracker_fixture b(job);
    for (int i = 1; i <= 3; ++i)
    {
        b.advance_time(10s);
        b.start("a" + std::to_string(i), i);
        b.finish("a" + std::to_string(i), 1);
    }
    cr_assert(b.m_last_progress.state == job_state::failed);
    cr_assert(b.m_last_progress.fault == job_fault::job);
}

Test(jobs_tracker, failures_on_one_worker_are_not_attributed_to_the_job)
{
    tracker_fixture b(job_of(1));
    for (int i = 1; i <= 3; ++i)
    {
        b.advance_time(10s);
        b.start("a" + std::to_string(i));
        b.finish("a" + std::to_string(i), 1);
    }
    cr_assert(b.m_last_progress.state == job_state::failed);
    cr_assert(b.m_last_progress.fault == job_fault::attempts_used);
}

Test(jobs_tracker, task_that_is_not_idempotent_never_runs_again)
{
    tracker_fixture b(job_of(1, false, false));
    b.start("a1");
    b.on(attempt_inspected{
        attempt_id("a1"),
        worker::attempt_report{worker::attempt_state::stopped, std::nullopt}});
    cr_assert(b.m_last_progress.state == job_state::failed);
    cr_assert(b.m_last_progress.fault == job_fault::outcome_unknown);
    // A later owner decides by the recorded starts alone.
    auto found = job_of(3, false, false);
    found.progress.started.insert(1);
    found.progress.workers.push_back(worker_of(1));
    tracker_fixture later(found);
    later.advance_time(100ms);
    cr_assert(later.count<fence_worker>() == 1);
    later.on(worker_fenced{worker_of(1), true, {}});
    cr_assert(later.m_last_progress.fault == job_fault::outcome_unknown);
}

Test(jobs_tracker, gang_starts_completely_or_releases_all_placements)
{
    tracker_fixture b(job_of(3, true));
    b.grant("a1");
    b.grant("a2", 2);
    cr_assert(b.count<start_task>() == 0);
    b.advance_time(2'100ms);
    cr_assert(b.count<release_placement>() == 2);
    b.advance_time(1'000ms);
    cr_assert(b.requested() == 3);
    b.grant("a4");
    b.grant("a5", 2);
    b.grant("a6", 3);
    cr_assert(b.count<start_task>() == 3);
    b.on(start_result{attempt_id("a4"), start_status::started});
    b.on(start_result{attempt_id("a5"), start_status::not_run});
    b.on(start_result{attempt_id("a6"), start_status::started});
    b.advance_time(1'000ms);
    cr_assert(b.count<stop_task>() >= 2);
    cr_assert(b.requested() == 0);
    b.on(stop_result{attempt_id("a4"), true});
    b.on(stop_result{attempt_id("a6"), true});
    b.advance_time(2'000ms);
    cr_assert(b.requested() == 3);
}

Test(jobs_tracker, cancelled_job_ends_once_its_tasks_have_stopped)
{
    tracker_fixture b(job_of(5));
    b.start("a1");
    cr_assert(b.m_tracker.on_cancel(id, b.m_now));
    b.advance_time(1'000ms);
    cr_assert(b.requested() == 0);
    cr_assert(b.m_last_progress.state == job_state::active);
    b.on(stop_result{attempt_id("a1"), true});
    cr_assert(b.m_last_progress.state == job_state::cancelled);
}

Test(jobs_tracker, later_owner_adopts_running_tasks_and_starts_the_rest)
{
    auto found = job_of(4);
    found.progress.done.insert(0);
    found.progress.workers = {worker_of(1), worker_of(2)};
    tracker_fixture b(found);
    b.advance_time(100ms);
    b.on(worker_fenced{
        worker_of(1), true, {{attempt_id("old"), id, 2, {}, {}}}});
    cr_assert(b.requested() == 0);
    b.on(worker_fenced{worker_of(2), true, {}});
    cr_assert(b.requested() == 2);
    b.start("a1");
    b.start("a2");
    for (const auto* name : {"a1", "a2", "old"})
    {
        b.finish(name, 0);
    }
    cr_assert(b.m_last_progress.state == job_state::succeeded);
}

Test(jobs_tracker, no_elapsed_time_ends_what_an_earlier_owner_may_still_renew)
{
    const auto adopt = [](tracker_fixture& b)
    {
        b.advance_time(100ms);
        b.on(worker_fenced{
            worker_of(1), true, {{attempt_id("old"), id, 0, {}, {}}}});
        b.m_renewals_fail = true;
        b.advance_time(60s);
    };
    auto found = job_of(1);
    found.progress.workers = {worker_of(1)};
    tracker_fixture b(found);
    adopt(b);
    cr_assert(b.m_tracker.attempts() == 1);
    cr_assert(b.requested() == 0);
    // Once the machine is lost and the longest lease has expired, the attempt
    // has ended.
    b.m_tracker.on_worker_lost(worker_of(1).id, b.m_now);
    b.advance_time(14s);
    cr_assert(b.m_tracker.attempts() == 1);
    b.advance_time(10s);
    cr_assert(b.requested() == 1);
    // If workers refuse an earlier owner's renewals, the elapsed time is enough.
    tracker_limits fenced;
    fenced.renewals_are_fenced = true;
    tracker_fixture c(found, fenced);
    adopt(c);
    cr_assert(c.requested() == 1);
}

Test(jobs_tracker, expired_lease_is_inspected_and_preemption_is_not_counted)
{
    tracker_fixture b(job_of(1, false, false));
    b.start("a1");
    b.m_tracker.on_preempted(attempt_id("a1"), b.m_now);
    b.advance_time(1'000ms);
    cr_assert(b.requested() == 1);
    b.start("a2");
    b.on(lease_report{
        worker_of(1).id, {attempt_id("a2")}, true, {attempt_id("a2")}});
    cr_assert(b.count<inspect_attempt>() == 1);
    b.on(attempt_inspected{
        attempt_id("a2"),
        worker::attempt_report{worker::attempt_state::finished, 0}});
    cr_assert(b.m_last_progress.state == job_state::succeeded);
}

Test(jobs_tracker, cost_of_each_task_does_not_grow_with_the_job)
{
    constexpr int tasks = 20'000;
    tracker_fixture b(job_of(tasks));
    for (int i = 0; i < tasks; ++i)
    {
        b.start("a" + std::to_string(i), i % 8);
        b.m_all.clear();
    }
    cr_assert(b.m_tracker.attempts() == tasks);
    for (int i = 0; i < tasks; ++i)
    {
        b.finish("a" + std::to_string(i), 0);
    }
    cr_assert(b.m_last_progress.state == job_state::succeeded);
}

// A partition is read periodically while commits are in flight, so a read from
// before the commit of a job's end may be reported after that commit.
Test(jobs_tracker, a_late_read_does_not_revive_a_job_that_has_ended)
{
    tracker_fixture b(job_of(1, false, false));
    b.start("a1");
    job_record read_before = job_of(1, false, false);
    read_before.progress = b.m_last_progress;
    cr_assert(read_before.progress.state == job_state::active);
    b.finish("a1", 0);
    b.advance_time(200ms);
    cr_assert(b.m_last_progress.state == job_state::succeeded);
    cr_assert(b.count<job_ended>() == 1);
    cr_assert(!b.m_tracker.on_loaded(read_before, b.m_now));
    b.run();
    b.on(worker_fenced{worker_of(1), true, {}});
    b.advance_time(1'000ms);
    cr_assert(b.m_last_progress.state == job_state::succeeded);
    cr_assert(b.requested() == 0);
}
