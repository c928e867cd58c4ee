/// @file
/// job_coordinator: routes events to the trackers of the owned partitions, and
/// merges the trackers' effects.
#include <pimentoshunt/jobs/job_coordinator.hpp>

#include <pimentoshunt/logging.hpp>
#include <pimentoshunt/ownership/assignment.hpp>

#include <algorithm> // find, find_if
#include <utility>   // move, exchange

namespace pimentoshunt::jobs
{
namespace
{

/// Jobs have no deadline. This constant offset from the start of the wait
/// orders them by age.
constexpr std::chrono::hours no_deadline{24 * 365};

/// High, because a task may be checkpointed and stopped many times to free
/// capacity for other work.
constexpr int max_stops_per_task = 1'000;

auto make_limits() -> tracker_limits
{
    tracker_limits limits;
    limits.max_stopped_attempts = max_stops_per_task;
    return limits;
}

auto to_outcome(attempt_outcome outcome) -> ownership::attempt_outcome
{
    switch (outcome)
    {
    case attempt_outcome::not_run:
        return ownership::attempt_outcome::never_started;
    case attempt_outcome::succeeded:
        return ownership::attempt_outcome::finished;
    case attempt_outcome::failed:
        return ownership::attempt_outcome::failed;
    case attempt_outcome::stopped:
        // The worker's owner inspects the attempt at the worker before reusing
        // its capacity.
        return ownership::attempt_outcome::unknown;
    }
    return ownership::attempt_outcome::unknown;
}

} // namespace

auto job_coordinator::assign(const std::vector<instance_id>& serving) -> void
{
    for (int partition = 0; partition < partition_count; ++partition)
    {
        const auto owner = ownership::rendezvous_owner(
            "partition/" + partition_name(partition), serving);
        m_assigned[static_cast<std::size_t>(partition)] = owner == m_self;
    }
}

auto job_coordinator::handle(job_coordinator_event&& event, time_point now)
    -> void
{
    std::visit(
        [&](auto& item)
        {
            on(item, now);
        },
        event);
}

auto job_coordinator::find(int partition, std::uint64_t epoch)
    -> owned_partition*
{
    const auto found = m_owned.find(partition);
    const bool same =
        found != m_owned.end() && found->second.claim.epoch == epoch;
    return same ? &found->second : nullptr;
}

auto job_coordinator::on(worker_call_finished& event, time_point now) -> void
{
    auto* const owned = find(event.partition, event.epoch);
    if (owned == nullptr)
    {
        return;
    }
    std::visit(
        [&](const auto& call_result)
        {
            owned->tracker.on(call_result, now);
        },
        event.call_result);
    dispatch_effects(*owned, now);
}

auto job_coordinator::on(partition_read& event, time_point now) -> void
{
    if (event.claiming)
    {
        add_partition(event, now);
        return;
    }
    const auto found = m_owned.find(event.partition);
    if (found == m_owned.end() || !event.state)
    {
        return;
    }
    if (event.state->epoch > found->second.claim.epoch)
    {
        remove_partition(event.partition);
        return;
    }
    for (const auto& job : event.jobs)
    {
        found->second.tracker.on_loaded(job, now);
    }
    for (const auto& job : event.cancels)
    {
        found->second.tracker.on_cancel(job, now);
    }
    dispatch_effects(found->second, now);
}

auto job_coordinator::add_partition(partition_read& event, time_point now)
    -> void
{
    if (!event.state)
    {
        return;
    }
    remove_partition(event.partition);
    const auto seed = m_seed + static_cast<std::uint32_t>(event.partition);
    owned_partition owned{
        *event.state,
        job_tracker(event.partition, event.state->epoch, make_limits(), seed),
        now + m_intervals.read_interval};
    auto& added =
        m_owned.emplace(event.partition, std::move(owned)).first->second;
    for (const auto& job : event.jobs)
    {
        added.tracker.on_loaded(job, now);
    }
    for (const auto& job : event.cancels)
    {
        added.tracker.on_cancel(job, now);
    }
    added.tracker.on_all_loaded();
    dispatch_effects(added, now);
}

auto job_coordinator::remove_partition(int partition) -> void
{
    if (m_owned.erase(partition) == 0)
    {
        return;
    }
    // Unused grants of the partition's jobs are resolved by the workers' owners.
    for (auto item = m_waiting_jobs.begin(); item != m_waiting_jobs.end();)
    {
        const bool gone = item->second.partition == partition;
        item = gone ? m_waiting_jobs.erase(item) : std::next(item);
    }
    m_demand_changed = true;
}

auto job_coordinator::on(job_found& event, time_point now) -> void
{
    const auto found = m_owned.find(partition_of(event.job.spec.id));
    if (found != m_owned.end())
    {
        found->second.tracker.on_loaded(event.job, now);
        dispatch_effects(found->second, now);
    }
}

auto job_coordinator::on(job_cancel_requested& event, time_point now) -> void
{
    const auto found = m_owned.find(partition_of(event.job));
    if (found != m_owned.end())
    {
        found->second.tracker.on_cancel(event.job, now);
        dispatch_effects(found->second, now);
    }
}

auto job_coordinator::on(commit_finished& event, time_point now) -> void
{
    m_committing = false;
    for (const auto& claim : event.claims)
    {
        if (auto* const owned = find(claim.partition, claim.epoch))
        {
            owned->claim.version = claim.version;
        }
    }
    for (const auto partition : event.lost)
    {
        remove_partition(partition);
    }
    for (const auto& job : event.jobs)
    {
        if (auto* const owned = find(job.partition, job.epoch))
        {
            owned->tracker.on(job.progress, now);
            dispatch_effects(*owned, now);
        }
    }
    issue_commit();
}

auto job_coordinator::dispatch_effects(owned_partition& owned, time_point now)
    -> void
{
    for (auto& effect : owned.tracker.effects())
    {
        dispatch_effect(owned, std::move(effect), now);
    }
    issue_commit();
}

auto job_coordinator::dispatch_effect(owned_partition& owned,
                                      job_effect&& effect, time_point now)
    -> void
{
    const auto partition = owned.claim.partition;
    if (auto* const wanted = std::get_if<placement_request>(&effect))
    {
        update_waiting_job(partition, std::move(*wanted), now);
        return;
    }
    if (auto* const progress = std::get_if<persist_progress>(&effect))
    {
        queue_progress(owned, std::move(*progress));
        return;
    }
    if (const auto* const released = std::get_if<release_placement>(&effect))
    {
        release_grant(*released, now);
        return;
    }
    if (const auto* const ended = std::get_if<job_ended>(&effect))
    {
        m_waiting_jobs.erase(ended->job);
        m_demand_changed = true;
        logging::info("job ended")
            .with("job", ended->job)
            .with("state", to_string(ended->state));
        return;
    }
    std::visit(
        [&](auto& call)
        {
            using call_type = std::decay_t<decltype(call)>;
            if constexpr (std::is_constructible_v<worker_call, call_type>)
            {
                m_effects.calls.push_back(
                    {partition, owned.claim.epoch, std::move(call)});
            }
        },
        effect);
}

auto job_coordinator::update_waiting_job(int partition,
                                         placement_request&& wanted,
                                         time_point now) -> void
{
    m_demand_changed = true;
    if (wanted.count <= 0)
    {
        m_waiting_jobs.erase(wanted.job);
        return;
    }
    auto& item = m_waiting_jobs[wanted.job];
    if (item.since == time_point{})
    {
        item.since = now;
    }
    item.partition = partition;
    item.workload = wanted.workload;
    item.count = wanted.count;
    item.avoid = std::move(wanted.avoid);
}

auto job_coordinator::queue_progress(const owned_partition& owned,
                                     persist_progress&& progress) -> void
{
    auto& updates = m_next_commit.updates;
    const auto partition = owned.claim.partition;
    auto found = std::find_if(updates.begin(), updates.end(),
                              [&](const partition_update& item)
                              {
                                  return item.claim.partition == partition;
                              });
    if (found == updates.end())
    {
        partition_update added;
        added.claim = owned.claim;
        updates.push_back(std::move(added));
        found = std::prev(updates.end());
    }
    found->jobs.push_back({progress.job, std::move(progress.progress)});
    m_next_commit.jobs.push_back({partition,
                                  owned.claim.epoch,
                                  {progress.job, progress.sequence, false}});
}

auto job_coordinator::issue_commit() -> void
{
    // Commits are sequential, because each advances the row versions that the
    // next one expects.
    if (m_committing || m_next_commit.updates.empty())
    {
        return;
    }
    auto commit = std::exchange(m_next_commit, commit_request{});
    for (auto& update : commit.updates)
    {
        const auto owned = m_owned.find(update.claim.partition);
        const bool same = owned != m_owned.end() &&
                          owned->second.claim.epoch == update.claim.epoch;
        if (same)
        {
            update.claim.version = owned->second.claim.version;
        }
    }
    m_committing = true;
    m_effects.commit = std::move(commit);
}

auto job_coordinator::release_grant(const release_placement& released,
                                    time_point now) -> void
{
    const auto found = m_grants.find(released.attempt);
    if (found == m_grants.end())
    {
        // The placement was granted to an earlier owner of the partition. The
        // worker's owner learns of its end from the worker's report.
        return;
    }
    const auto run_time = std::chrono::duration_cast<std::chrono::microseconds>(
        now - found->second.granted_at);
    m_effects.ended.push_back({std::move(found->second.item),
                               to_outcome(released.outcome), run_time});
    m_grants.erase(found);
}

auto job_coordinator::choose_waiting_job(const entry::grant& item)
    -> std::map<job_id, waiting_job>::iterator
{
    auto best = m_waiting_jobs.end();
    bool best_avoids = true;
    for (auto at = m_waiting_jobs.begin(); at != m_waiting_jobs.end(); ++at)
    {
        const auto& candidate = at->second;
        if (candidate.workload != item.workload || candidate.count <= 0)
        {
            continue;
        }
        const bool avoids =
            std::find(candidate.avoid.begin(), candidate.avoid.end(),
                      item.worker) != candidate.avoid.end();
        const bool better =
            best == m_waiting_jobs.end() || avoids < best_avoids ||
            (avoids == best_avoids && candidate.since < best->second.since);
        if (better)
        {
            best = at;
            best_avoids = avoids;
        }
    }
    return best;
}

auto job_coordinator::bind(const entry::grant& item, time_point now) -> bool
{
    const auto chosen = choose_waiting_job(item);
    if (chosen == m_waiting_jobs.end())
    {
        return false;
    }
    const auto job = chosen->first;
    const auto owned = m_owned.find(chosen->second.partition);
    if (owned == m_owned.end())
    {
        return false;
    }
    if (--chosen->second.count == 0)
    {
        m_waiting_jobs.erase(chosen);
    }
    m_demand_changed = true;
    m_grants.emplace(item.attempt, held_grant{item, now});
    owned->second.tracker.on(
        placement_granted{
            job, item.attempt, {item.worker, item.base_url}, item.epoch},
        now);
    dispatch_effects(owned->second, now);
    return true;
}

auto job_coordinator::tick(time_point now) -> void
{
    if (now < m_next_tick)
    {
        return;
    }
    m_next_tick = now + m_intervals.tick_interval;
    for (auto& [partition, owned] : m_owned)
    {
        owned.tracker.tick(now);
        dispatch_effects(owned, now);
        if (now >= owned.next_read)
        {
            owned.next_read = now + m_intervals.read_interval;
            m_effects.reads.push_back({partition, false});
        }
    }
    for (int partition = 0; partition < partition_count; ++partition)
    {
        auto& next = m_claiming[partition];
        const bool wanted = m_assigned[static_cast<std::size_t>(partition)];
        if (wanted && m_owned.count(partition) == 0 && now >= next)
        {
            next = now + m_intervals.claim_interval;
            m_effects.reads.push_back({partition, true});
        }
    }
}

auto job_coordinator::demand() const -> std::vector<entry::workload_demand>
{
    std::map<workload_name, entry::workload_demand> lines;
    for (const auto& [job, item] : m_waiting_jobs)
    {
        auto& line = lines[item.workload];
        const bool first = line.count == 0;
        line.workload = item.workload;
        line.count += item.count;
        line.waiting_since =
            first ? item.since : std::min(line.waiting_since, item.since);
        line.deadline = line.waiting_since + no_deadline;
    }
    std::vector<entry::workload_demand> all;
    all.reserve(lines.size());
    for (auto& [name, line] : lines)
    {
        all.push_back(std::move(line));
    }
    return all;
}

auto job_coordinator::take_demand_changed() -> bool
{
    return std::exchange(m_demand_changed, false);
}

auto job_coordinator::take_effects() -> job_coordinator_effects
{
    return std::exchange(m_effects, job_coordinator_effects{});
}

} // namespace pimentoshunt::jobs
