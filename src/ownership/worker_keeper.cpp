#include <pimentoshunt/ownership/worker_keeper.hpp>

#include <pimentoshunt/ownership/assignment.hpp>

#include <algorithm> // min, any_of

namespace pimentoshunt::ownership
{

auto worker_keeper::find(const worker_id& id) -> record*
{
    const auto found = m_records.find(id);
    return found == m_records.end() ? nullptr : &found->second;
}

auto worker_keeper::listed(const std::vector<worker::description>& workers)
    -> void
{
    for (const auto& worker : workers)
    {
        auto& item = m_records[worker.id];
        item.worker = worker;
        item.listed_leaving = worker.leaving;
        update_grants(item);
    }
    m_listed_slots = 0;
    for (const auto& [id, item] : m_records)
    {
        m_listed_slots += item.worker.capacity.slots;
    }
}

auto worker_keeper::assign(const claim_view& view) -> void
{
    for (auto& [id, item] : m_records)
    {
        item.wanted = rendezvous_owner(id.str(), view.serving) == m_self.id;
    }
}

auto worker_keeper::tick(const claim_view& view, time_point now,
                         keeper_calls& calls) -> void
{
    for (auto& [id, item] : m_records)
    {
        if (item.state == phase::idle && item.wanted && now >= item.not_before)
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

auto worker_keeper::claim(record& item, const claim_view& view, time_point now,
                          keeper_calls& calls) -> void
{
    // Cut off from most others, silence may be our own fault: a worker whose
    // holder we cannot hear stays with it.
    if (!view.quorate)
    {
        back_off(item, now);
        return;
    }
    item.state = phase::claiming;
    calls.fences.push_back({item.worker, item.epoch + 1});
}

auto worker_keeper::inspect(record& item, time_point now, keeper_calls& calls)
    -> void
{
    item.inspecting = true;
    item.inspect_due = now + m_limits.inspect_interval;
    item.released_meanwhile.clear();
    ++item.inspection;
    calls.inspections.push_back({item.worker, item.inspection});
}

auto worker_keeper::back_off(record& item, time_point now) -> void
{
    constexpr int longest_shift = 10;
    const auto wait =
        m_limits.claim_backoff * (1 << std::min(item.setbacks, longest_shift));
    item.not_before = now + std::min(wait, m_limits.claim_backoff_max);
    ++item.setbacks;
}

auto worker_keeper::fenced(const worker_id& id, worker::epoch_number asked,
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
        item->own_leaving = report.leaving;
        item->inspecting = false;
        item->silent_inspections = 0;
        item->suspended = false;
        item->released_meanwhile.clear();
        item->inspect_due = now + m_limits.inspect_interval;
        m_ledger.open(item->worker, asked, {}, now);
        adopt_running(*item, report, now);
        update_grants(*item);
        return;
    }
    item->state = phase::idle;
    if (answer == fence_answer::unknown)
    {
        back_off(*item, now);
        return;
    }
    const bool news = report.epoch > item->epoch;
    item->epoch = report.epoch;
    // The first refusal only teaches the epoch in force; another one means
    // that somebody else claims it too.
    if (!news || item->setbacks > 0)
    {
        back_off(*item, now);
        return;
    }
    ++item->setbacks;
    item->not_before = now;
}

auto worker_keeper::lose(record& item, const worker::state_report& report,
                         time_point now) -> void
{
    m_ledger.close(item.worker.id);
    item.state = phase::idle;
    item.epoch = report.epoch;
    back_off(item, now);
}

auto worker_keeper::inspected(const worker_id& id, std::uint64_t number,
                              const std::optional<worker::state_report>& report,
                              time_point now, keeper_calls& calls) -> void
{
    auto* const item = find(id);
    // A report older than the present holding would free what runs.
    if (item == nullptr || item->state != phase::held || !item->inspecting ||
        item->inspection != number)
    {
        return;
    }
    item->inspecting = false;
    if (!report)
    {
        ++item->silent_inspections;
        item->suspended =
            item->silent_inspections >= m_limits.inspections_until_suspended;
        update_grants(*item);
        return;
    }
    item->silent_inspections = 0;
    item->suspended = false;
    if (report->epoch > item->epoch)
    {
        lose(*item, *report, now);
        return;
    }
    if (report->epoch < item->epoch)
    {
        // The worker restarted and remembers no fence; until it has ours it
        // refuses all our starts.
        m_ledger.close(id);
        item->state = phase::idle;
        item->not_before = now;
        return;
    }
    item->setbacks = 0;
    item->own_leaving = report->leaving;
    update_grants(*item);
    reconcile(*item, *report, now, calls);
}

auto worker_keeper::reconcile(record& item, const worker::state_report& report,
                              time_point now, keeper_calls& calls) -> void
{
    adopt_running(item, report, now);
    settle_missing(item, report, now, calls);
    item.released_meanwhile.clear();
}

auto worker_keeper::adopt_running(record& item,
                                  const worker::state_report& report,
                                  time_point now) -> void
{
    for (const auto& running : report.running)
    {
        // Its release overtook the report.
        if (item.released_meanwhile.count(running.attempt) != 0 ||
            m_ledger.mark_running(item.worker.id, running.attempt))
        {
            continue;
        }
        // It takes resources whoever granted it: account for it, even when
        // that leaves less than nothing free.
        ledger::holding found;
        found.attempt = running.attempt;
        found.workload = running.workload;
        found.workspace = workspace_of(running.workload);
        found.each = running.each;
        found.granted_at = now;
        found.seen_running = true;
        m_ledger.adopt(item.worker.id, found);
    }
}

auto worker_keeper::workspace_of(const workload_name& name) const
    -> workspace_name
{
    const auto* const workload =
        m_plan == nullptr ? nullptr : m_plan->parsed.find(name);
    return workload == nullptr ? workspace_name() : workload->workspace;
}

auto worker_keeper::settle_missing(record& item,
                                   const worker::state_report& report,
                                   time_point now, keeper_calls& calls) -> void
{
    std::unordered_set<attempt_id> running;
    for (const auto& attempt : report.running)
    {
        running.insert(attempt.attempt);
    }
    std::vector<attempt_id> over;
    for (const auto& [attempt, held] : m_ledger.find(item.worker.id)->holdings)
    {
        if (running.count(attempt) != 0)
        {
            continue;
        }
        if (held.seen_running)
        {
            // An attempt runs once: gone from the report, it has ended.
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

auto worker_keeper::revoked(const worker_id& id, const attempt_id& attempt,
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

auto worker_keeper::released(const worker_id& id, const attempt_id& attempt,
                             attempt_outcome outcome, keeper_calls& calls)
    -> void
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
        // No more grants until the worker has said who holds it.
        item->inspect_due = time_point{};
        item->suspended = true;
        update_grants(*item);
    }
    m_ledger.release(id, attempt);
    if (item->inspecting)
    {
        item->released_meanwhile.insert(attempt);
    }
}

auto worker_keeper::update_grants(record& item) -> void
{
    const bool closed = item.listed_leaving || item.own_leaving ||
                        item.suspended || item.drained;
    m_ledger.set_leaving(item.worker.id, closed);
}

auto worker_keeper::set_drained(const worker_id& id, bool drained) -> void
{
    if (auto* const item = find(id))
    {
        item->drained = drained;
        update_grants(*item);
    }
}

auto worker_keeper::listed_workers() const -> std::vector<worker::description>
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

auto worker_keeper::workers() const -> std::vector<worker::description>
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
