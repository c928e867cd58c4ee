#include <pimentoshunt/ownership/worker_manager.hpp>

#include <pimentoshunt/ownership/assignment.hpp>

#include <algorithm> // min, any_of

namespace pimentoshunt::ownership
{

auto worker_manager::find(const worker_id& id) -> record*
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

auto worker_manager::update_list(
    const std::vector<worker::description>& workers) -> void
{
    for (const auto& worker : workers)
    {
        auto& item = m_records[worker.id];
        item.worker = worker;
        item.listed_leaving = worker.leaving;
        update_leaving(item);
    }
    m_listed_slots = 0;
    for (const auto& [id, item] : m_records)
    {
        m_listed_slots += item.worker.capacity.slots;
    }
}

auto worker_manager::assign(const membership_view& view) -> void
{
    for (auto& [id, item] : m_records)
    {
        item.is_assigned =
            rendezvous_owner(id.str(), view.serving) == m_self.id;
    }
}

auto worker_manager::tick(const membership_view& view, time_point now,
                          worker_manager_calls& calls) -> void
{
    for (auto& [id, item] : m_records)
    {
        if (item.state == phase::idle && item.is_assigned &&
            now >= item.next_claim_at)
        {
            claim(item, view, now, calls);
        }
        if (item.state == phase::held && !item.inspecting &&
            now >= item.inspect_due)
        {
            inspect(item, now, calls);
        }
    }
}

auto worker_manager::claim(record& item, const membership_view& view,
                           time_point now, worker_manager_calls& calls) -> void
{
    // Without a quorum this instance may be the one that is cut off, so it
    // claims no worker whose holder it cannot reach.
    if (!view.has_quorum)
    {
        back_off(item, now);
        return;
    }
    item.state = phase::claiming;
    calls.fences.push_back({item.worker, item.epoch + 1});
}

auto worker_manager::inspect(record& item, time_point now,
                             worker_manager_calls& calls) -> void
{
    item.inspecting = true;
    item.inspect_due = now + m_limits.inspect_interval;
    item.released_during_inspection.clear();
    ++item.inspection;
    calls.inspections.push_back({item.worker, item.inspection});
}

auto worker_manager::back_off(record& item, time_point now) -> void
{
    constexpr int longest_shift = 10;
    const auto wait = m_limits.claim_backoff *
                      (1 << std::min(item.failed_claims, longest_shift));
    item.next_claim_at = now + std::min(wait, m_limits.claim_backoff_max);
    ++item.failed_claims;
}

auto worker_manager::fenced(const worker_id& id, worker::epoch_number asked,
                            fence_answer answer,
                            const worker::state_report& report, time_point now)
    -> void
{
    auto* const item = find(id);
    if (item == nullptr || item->state != phase::claiming ||
        asked != item->epoch + 1)
    {
        return;
    }
    if (answer == fence_answer::accepted)
    {
        item->state = phase::held;
        item->epoch = asked;
        item->reported_leaving = report.leaving;
        item->inspecting = false;
        item->unanswered_inspections = 0;
        item->suspended = false;
        item->released_during_inspection.clear();
        item->inspect_due = now + m_limits.inspect_interval;
        m_ledger.open(item->worker, asked, {}, now);
        adopt_running(*item, report, now);
        update_leaving(*item);
        return;
    }
    item->state = phase::idle;
    if (answer == fence_answer::unknown)
    {
        back_off(*item, now);
        return;
    }
    const bool is_newer = report.epoch > item->epoch;
    item->epoch = report.epoch;
    // The first refusal only reports the current epoch, so the claim is
    // repeated at once; a further one means that another instance claims the
    // worker too.
    if (!is_newer || item->failed_claims > 0)
    {
        back_off(*item, now);
        return;
    }
    ++item->failed_claims;
    item->next_claim_at = now;
}

auto worker_manager::release_ownership(record& item,
                                       const worker::state_report& report,
                                       time_point now) -> void
{
    m_ledger.close(item.worker.id);
    item.state = phase::idle;
    item.epoch = report.epoch;
    back_off(item, now);
}

auto worker_manager::inspected(
    const worker_id& id, std::uint64_t number,
    const std::optional<worker::state_report>& report, time_point now,
    worker_manager_calls& calls) -> void
{
    auto* const item = find(id);
    // A report from before the current claim would release attempts that run.
    if (item == nullptr || item->state != phase::held || !item->inspecting ||
        item->inspection != number)
    {
        return;
    }
    item->inspecting = false;
    if (!report)
    {
        ++item->unanswered_inspections;
        item->suspended = item->unanswered_inspections >=
                          m_limits.inspections_until_suspended;
        update_leaving(*item);
        return;
    }
    item->unanswered_inspections = 0;
    item->suspended = false;
    if (report->epoch > item->epoch)
    {
        release_ownership(*item, *report, now);
        return;
    }
    if (report->epoch < item->epoch)
    {
        // The worker restarted and lost its fence; it refuses all starts of
        // this instance until it is fenced again.
        m_ledger.close(id);
        item->state = phase::idle;
        item->next_claim_at = now;
        return;
    }
    item->failed_claims = 0;
    item->reported_leaving = report->leaving;
    update_leaving(*item);
    reconcile(*item, *report, now, calls);
}

auto worker_manager::reconcile(record& item, const worker::state_report& report,
                               time_point now, worker_manager_calls& calls)
    -> void
{
    adopt_running(item, report, now);
    resolve_missing(item, report, now, calls);
    item.released_during_inspection.clear();
}

auto worker_manager::adopt_running(record& item,
                                   const worker::state_report& report,
                                   time_point now) -> void
{
    for (const auto& running : report.running)
    {
        // The attempt was released while the report was in flight.
        if (item.released_during_inspection.count(running.attempt) != 0 ||
            m_ledger.mark_running(item.worker.id, running.attempt))
        {
            continue;
        }
        // The attempt uses resources no matter who granted it, so it is
        // accounted for even if the free amount becomes negative.
        ledger::reservation found;
        found.attempt = running.attempt;
        found.workload = running.workload;
        found.workspace = workspace_of(running.workload);
        found.each = running.each;
        found.granted_at = now;
        found.confirmed_running = true;
        m_ledger.adopt(item.worker.id, found);
    }
}

auto worker_manager::workspace_of(const workload_name& name) const
    -> workspace_name
{
    const auto* const workload =
        m_plan == nullptr ? nullptr : m_plan->parsed.find(name);
    return workload == nullptr ? workspace_name() : workload->workspace;
}

auto worker_manager::resolve_missing(record& item,
                                     const worker::state_report& report,
                                     time_point now,
                                     worker_manager_calls& calls) -> void
{
    std::unordered_set<attempt_id> running;
    for (const auto& attempt : report.running)
    {
        running.insert(attempt.attempt);
    }
    std::vector<attempt_id> over;
    for (const auto& [attempt, held] :
         m_ledger.find(item.worker.id)->reservations)
    {
        if (running.count(attempt) != 0)
        {
            continue;
        }
        if (held.confirmed_running)
        {
            // An attempt runs only once; absent from the report, it has ended.
            over.push_back(attempt);
        }
        else if (now - held.granted_at > m_limits.start_timeout)
        {
            calls.revocations.push_back({item.worker, attempt});
        }
    }
    for (const auto& attempt : over)
    {
        m_ledger.release(item.worker.id, attempt);
    }
}

auto worker_manager::revoked(const worker_id& id, const attempt_id& attempt,
                             std::optional<worker::attempt_state> state) -> void
{
    if (!state)
    {
        return;
    }
    if (*state == worker::attempt_state::running)
    {
        m_ledger.mark_running(id, attempt);
        return;
    }
    m_ledger.release(id, attempt);
}

auto worker_manager::released(const worker_id& id, const attempt_id& attempt,
                              attempt_outcome outcome,
                              worker_manager_calls& calls) -> void
{
    auto* const item = find(id);
    if (item == nullptr || item->state != phase::held)
    {
        return;
    }
    if (outcome == attempt_outcome::unknown)
    {
        calls.revocations.push_back({item->worker, attempt});
        return;
    }
    if (outcome == attempt_outcome::fenced)
    {
        // No grants until an inspection shows who holds the worker.
        item->inspect_due = time_point{};
        item->suspended = true;
        update_leaving(*item);
    }
    m_ledger.release(id, attempt);
    if (item->inspecting)
    {
        item->released_during_inspection.insert(attempt);
    }
}

auto worker_manager::update_leaving(record& item) -> void
{
    const bool closed = item.listed_leaving || item.reported_leaving ||
                        item.suspended || item.drained;
    m_ledger.set_leaving(item.worker.id, closed);
}

auto worker_manager::set_drained(const worker_id& id, bool drained) -> void
{
    if (auto* const item = find(id))
    {
        item->drained = drained;
        update_leaving(*item);
    }
}

auto worker_manager::listed_workers() const -> std::vector<worker::description>
{
    std::vector<worker::description> all;
    all.reserve(m_records.size());
    for (const auto& [id, item] : m_records)
    {
        all.push_back(item.worker);
        all.back().leaving = item.listed_leaving || item.drained;
    }
    return all;
}

auto worker_manager::workers() const -> std::vector<worker::description>
{
    std::vector<worker::description> all;
    all.reserve(m_records.size());
    for (const auto& [id, item] : m_records)
    {
        all.push_back(item.worker);
    }
    return all;
}

} // namespace pimentoshunt::ownership
