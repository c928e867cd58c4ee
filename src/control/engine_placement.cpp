/// @file
/// Demand, grants and releases: the exchange between entries, which hold
/// waiting requests, and owners, which grant slots of their workers.
#include <pimentoshunt/control/engine.hpp>

#include <pimentoshunt/logging.hpp>
#include <pimentoshunt/transport/wire_codec.hpp>

#include <algorithm> // move
#include <iterator>  // back_inserter
#include <utility>   // move

namespace pimentoshunt::control
{
namespace
{

/// Interval at which unchanged demand is repeated.
constexpr milliseconds demand_repeat{100};
/// Interval between searches for batch attempts to checkpoint.
constexpr milliseconds checkpoint_interval{50};
/// Quantile of the learned run times that the request desk reserves for a run
/// before its deadline.
constexpr double run_quantile = 0.95;

} // namespace

auto engine::on_demand(const wire::envelope& message, time_point now) -> void
{
    std::vector<entry::workload_demand> lines;
    lines.reserve(message.wanted().lines_size());
    for (const auto& line : message.wanted().lines())
    {
        lines.push_back(transport::from_wire(line, now));
    }
    m_demand_tracker.set_demand(instance_id(message.from()), std::move(lines),
                                message.wanted().grants_seen());
    m_capacity_changed = true;
}

auto engine::on_grants(const wire::envelope& message, time_point now) -> void
{
    const instance_id owner(message.from());
    const auto link = m_links.find(owner);
    if (link != m_links.end())
    {
        auto& known = link->second;
        known.incarnation = message.incarnation();
        known.grants_seen = message.granted().sequence();
        known.last_at = time_point{};
        m_desk.update_owner(owner, message.granted().free_slots());
    }
    for (const auto& item : message.granted().items())
    {
        auto granted = transport::from_wire(item);
        granted.owner = owner;
        granted.owner_incarnation = message.incarnation();
        if (!bind(granted, now))
        {
            release_grant(granted, ownership::attempt_outcome::never_started,
                          {}, now);
        }
    }
    m_demand_changed = true;
}

auto engine::on_releases(const wire::releases& message, time_point now) -> void
{
    constexpr std::uint32_t last_outcome = 5;
    for (const auto& item : message.items())
    {
        const auto outcome =
            item.outcome() <= last_outcome
                ? static_cast<ownership::attempt_outcome>(item.outcome())
                : ownership::attempt_outcome::unknown;
        entry::grant ended;
        ended.attempt = attempt_id(item.attempt());
        ended.worker = worker_id(item.worker());
        ended.workload = workload_name(item.workload());
        release_locally(ended, outcome,
                        std::chrono::microseconds(item.run_us()), now);
    }
}

auto engine::release_locally(const entry::grant& item,
                             ownership::attempt_outcome outcome,
                             std::chrono::microseconds run_time, time_point now)
    -> void
{
    record_outcome(item, outcome, run_time, now);
    m_worker_manager.released(item.worker, item.attempt, outcome,
                              m_effects.calls);
    m_capacity_changed = true;
}

auto engine::record_outcome(const entry::grant& item,
                            ownership::attempt_outcome outcome,
                            std::chrono::microseconds run_time, time_point now)
    -> void
{
    using ownership::attempt_outcome;
    const bool good = outcome == attempt_outcome::finished;
    const bool bad = outcome == attempt_outcome::failed ||
                     outcome == attempt_outcome::unreachable;
    if (!good && !bad)
    {
        m_health.record_inconclusive(item.worker, now);
        return;
    }
    const auto* const workload = m_plan->parsed.find(item.workload);
    if (good && workload != nullptr)
    {
        m_scheduler.observe(*workload, run_time);
        set_expected_run_time(*workload);
    }
    m_health.add(item.worker);
    const auto change = m_health.record(item.worker, item.workload,
                                        good ? policy::attempt_outcome::success
                                             : policy::attempt_outcome::failure,
                                        now);
    if (change == policy::health_change::ejected)
    {
        m_worker_manager.ledger().set_grant_mode(item.worker,
                                                 ledger::grant_mode::closed);
        logging::warn("worker ejected").with("worker", item.worker);
    }
    if (change == policy::health_change::readmitted)
    {
        m_worker_manager.ledger().set_grant_mode(item.worker,
                                                 ledger::grant_mode::open);
        logging::info("worker readmitted").with("worker", item.worker);
    }
}

auto engine::set_expected_run_time(const plan::workload& workload) -> void
{
    const auto& times = m_scheduler.run_times();
    if (!times.is_learned(workload.name))
    {
        // Declared run times may be far off, so they cause no refusal.
        return;
    }
    m_desk.set_expected_run_time(workload.name,
                                 std::chrono::duration_cast<milliseconds>(
                                     times.quantile(workload, run_quantile)));
}

auto engine::release_grant(const entry::grant& item,
                           ownership::attempt_outcome outcome,
                           std::chrono::microseconds run_time, time_point now)
    -> void
{
    if (item.owner == self_id())
    {
        release_locally(item, outcome, run_time, now);
        return;
    }
    wire::release message;
    message.set_attempt(item.attempt.str());
    message.set_worker(item.worker.str());
    message.set_outcome(static_cast<std::uint32_t>(outcome));
    message.set_workload(item.workload.str());
    message.set_run_us(run_time.count());
    m_pending_releases[item.owner].push_back(std::move(message));
}

auto engine::bind(const entry::grant& item, time_point now) -> bool
{
    return m_desk.bind(item) || m_jobs.bind(item, now);
}

auto engine::collect_job_effects(time_point now) -> void
{
    auto wanted = m_jobs.take_effects();
    for (const auto& item : wanted.ended)
    {
        release_grant(item.item, item.outcome, item.run_time, now);
    }
    auto& all = m_effects.jobs;
    std::move(wanted.calls.begin(), wanted.calls.end(),
              std::back_inserter(all.calls));
    std::move(wanted.reads.begin(), wanted.reads.end(),
              std::back_inserter(all.reads));
    if (wanted.commit)
    {
        all.commit = std::move(wanted.commit);
    }
    m_demand_changed |= m_jobs.take_demand_changed();
}

auto engine::is_restartable(const ledger::worker_account& account,
                            const attempt_id& attempt) const -> bool
{
    const auto held = account.reservations.find(attempt);
    if (held == account.reservations.end())
    {
        return false;
    }
    // Work that may run only once is not stopped in favour of other work.
    const auto* const workload = m_plan->parsed.find(held->second.workload);
    return workload != nullptr && workload->idempotent;
}

auto engine::request_checkpoints(time_point now) -> void
{
    if (now < m_next_checkpoint)
    {
        return;
    }
    m_next_checkpoint = now + checkpoint_interval;
    const auto lines = m_demand_tracker.lines(m_plan->parsed, now);
    const auto chosen = m_scheduler.checkpoint_candidates(
        m_worker_manager.ledger(), lines, now);
    for (const auto& item : chosen)
    {
        const auto* const account = m_worker_manager.ledger().find(item.worker);
        if (account != nullptr && is_restartable(*account, item.attempt))
        {
            m_worker_manager.ledger().mark_checkpoint_requested(item.worker,
                                                                item.attempt);
            m_effects.checkpoints.push_back({account->worker, item.attempt});
        }
    }
}

auto engine::send_demand(time_point now) -> void
{
    const auto of_jobs = m_jobs.demand();
    for (auto& [id, link] : m_links)
    {
        sent_demand next{m_desk.demand_for(id), link.grants_seen};
        next.lines.insert(next.lines.end(), of_jobs.begin(), of_jobs.end());
        if (id == self_id())
        {
            m_demand_tracker.set_demand(id, std::move(next.lines),
                                        link.grants_seen);
            m_capacity_changed = true;
            continue;
        }
        const bool repeat =
            !next.lines.empty() && now - link.last_at >= demand_repeat;
        if (next == link.last && !repeat)
        {
            continue;
        }
        wire::envelope message;
        auto* const body = message.mutable_wanted();
        body->set_grants_seen(next.grants_seen);
        for (const auto& line : next.lines)
        {
            *body->add_lines() = transport::to_wire(line, now);
        }
        link.last = std::move(next);
        link.last_at = now;
        send_to(id, std::move(message));
    }
}

auto engine::place_waiting_work(time_point now) -> void
{
    const auto lines = m_demand_tracker.lines(m_plan->parsed, now);
    if (lines.empty())
    {
        return;
    }
    std::map<instance_id, std::vector<entry::grant>> by_entry;
    const auto try_reserve = [&](const policy::placement& choice)
    {
        const auto& line = lines[choice.line];
        ledger::reservation item;
        item.attempt = next_attempt();
        item.workload = line.workload->name;
        item.workspace = line.workload->workspace;
        item.each = line.workload->each;
        item.granted_at = now;
        item.entry = line.entry;
        if (!m_worker_manager.ledger().try_reserve(choice.worker, item))
        {
            return false;
        }
        const auto& account = *m_worker_manager.ledger().find(choice.worker);
        by_entry[line.entry].push_back({item.attempt, item.workload,
                                        choice.worker, account.worker.base_url,
                                        account.epoch, self_id(),
                                        m_config.self.incarnation});
        return true;
    };
    m_scheduler.pick(m_worker_manager.ledger(), lines, try_reserve, now);
    for (const auto& [entry, grants] : by_entry)
    {
        send_grants(entry, grants, now);
    }
    request_checkpoints(now);
}

auto engine::send_grants(const instance_id& entry,
                         const std::vector<entry::grant>& grants,
                         time_point now) -> void
{
    if (entry == self_id())
    {
        for (const auto& item : grants)
        {
            if (!bind(item, now))
            {
                release_grant(item, ownership::attempt_outcome::never_started,
                              {}, now);
            }
        }
        m_demand_changed = true;
        return;
    }
    std::vector<workload_name> names;
    wire::envelope message;
    auto* const body = message.mutable_granted();
    for (const auto& item : grants)
    {
        names.push_back(item.workload);
        *body->add_items() = transport::to_wire(item);
    }
    body->set_sequence(m_demand_tracker.granted(entry, names, now));
    body->set_free_slots(m_worker_manager.ledger().free_total().slots);
    send_to(entry, std::move(message));
}

auto engine::next_attempt() -> attempt_id
{
    ++m_attempts;
    return attempt_id(self_id().str() + "-" +
                      std::to_string(m_config.self.incarnation) + "-" +
                      std::to_string(m_attempts));
}

} // namespace pimentoshunt::control
