// Approvals: requests permission of a queue's approval service to run a step on
// some workers, and records the answers.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/cell/policy/expected_places.hpp>
#include <pimentoshunt/cell/policy/worker_choice.hpp>
#include <pimentoshunt/logging.hpp>

#include <algorithm> // max, min

namespace pimentoshunt::cell
{
namespace
{

/// Workers requested beyond the needed ones: some fill up before the answer
/// arrives.
constexpr std::size_t spare_workers = 2;
/// Share of workers that a queue is assumed to approve until answers are known,
/// and lower bound of the estimate.
constexpr double initial_rate = 0.5;
constexpr double min_rate = 0.1;
/// Weight of a new answer in the moving average.
constexpr double rate_weight = 0.1;

} // namespace

auto scheduler::approval_rate(const queue_name& queue) const -> double
{
    const auto found = m_approval_rates.find(queue);
    return found == m_approval_rates.end() ? initial_rate
                                           : std::max(found->second, min_rate);
}

/// Whether the step will probably be ready within a ticket's lifetime.
auto scheduler::is_ready_soon(const round_record& round,
                              const step_record& step) const -> bool
{
    if (step.ready || step.waiting.empty() || step.spec->after.empty())
    {
        return false;
    }
    for (const auto number : step.spec->after)
    {
        const auto& before = round.steps[number];
        const bool started = before.ready && before.waiting.empty();
        // Tasks of a step take about equally long: after one end the others
        // follow soon.
        const bool soon =
            before.spec->estimate <= m_options.early_request_window ||
            before.done_count > 0;
        if (!started || !soon)
        {
            return false;
        }
    }
    return true;
}

auto scheduler::request_early_approvals(time_point now) -> void
{
    for (auto& [arrival, job] : m_active)
    {
        if (!job->spec->queue.approval.required)
        {
            continue;
        }
        for (auto& round : job->rounds)
        {
            for (auto& step : round.steps)
            {
                if (round.released && step.approvals.approved.empty() &&
                    is_ready_soon(round, step))
                {
                    policy::waiting_step item;
                    item.job = job;
                    item.round = &round;
                    item.step = &step;
                    request_approval(item, true, now);
                }
            }
        }
    }
}

/// Workers with room for the step that may run it, but whose ticket can't be used
/// any more.
auto scheduler::workers_with_expired_ticket(const policy::waiting_step& item,
                                            time_point now)
    -> std::vector<worker_record*>
{
    const auto& step = *item.step;
    std::vector<worker_record*> out;
    for (const auto& [worker, ticket] : step.approvals.approved)
    {
        if (!is_ticket_valid(ticket, *worker, now) &&
            !step.approvals.refused.contains(worker) && fits(*worker, step) &&
            is_usable(*worker, *item.job, step, now))
        {
            out.push_back(worker);
        }
    }
    policy::sort_by_id(out);
    return out;
}

auto scheduler::workers_to_ask(const policy::waiting_step& item,
                               std::uint32_t most, time_point now)
    -> std::vector<worker_record*>
{
    if (item.step->spec->gang)
    {
        return gang_workers_to_ask(item, now);
    }
    const auto& step = *item.step;
    const auto preference = preference_of(item, now);
    const auto one = policy::resources_for(*step.spec, 1).millicpus;
    auto expired_tickets = workers_with_expired_ticket(item, now);
    policy::sort_by_unclaimed_cpu(expired_tickets);
    policy::sort_by_speed(expired_tickets, preference, one);
    // Approvals are permanent: a new ticket for an approved worker is certain.
    auto out = expired_tickets;
    std::int64_t room = 0;
    const auto each = std::max<std::int64_t>(step.spec->need.millicpus, 1);
    for (const auto* worker : expired_tickets)
    {
        room += step.spec->filler ? 1 : worker->room().millicpus / each;
    }
    const std::size_t waiting = most;
    const auto rate = approval_rate(item.job->spec->queue.name);
    policy::expected_places expected(m_options.request_deviations);
    std::size_t count = 0;
    const auto is_enough = [&]
    {
        return count >= m_options.max_workers_per_request ||
               (expected.covers(waiting) && count >= waiting + spare_workers);
    };
    while (count < out.size() && !is_enough())
    {
        expected.add(1, 1);
        ++count;
    }
    out.resize(count);
    if (room >= static_cast<std::int64_t>(waiting))
    {
        return out;
    }
    auto ranking = m_pool.rank(item.job->spec->queue.service, one, preference);
    while (!is_enough())
    {
        auto* const worker = ranking.next();
        if (worker == nullptr)
        {
            break;
        }
        const bool is_asked = step.approvals.approved.contains(worker) ||
                              step.approvals.refused.contains(worker);
        if (!is_asked && fits(*worker, step) &&
            is_usable(*worker, *item.job, step, now))
        {
            out.push_back(worker);
            expected.add(1, rate);
            ++count;
        }
    }
    return out;
}

/// Claims the room that the step will probably take on the requested workers,
/// so that other steps prefer different ones until the answer arrives.
/// @param tasks  number of tasks that the request is for
auto scheduler::claim_room(const policy::waiting_step& item,
                           std::uint32_t tasks,
                           const std::vector<worker_record*>& asked) -> void
{
    auto& step = *item.step;
    const auto& approved = step.approvals.approved;
    const auto rate = approval_rate(item.job->spec->queue.name);
    std::vector<double> expected_tasks;
    double sum = 0;
    for (auto* const worker : asked)
    {
        const auto places = policy::places_on(*worker, *step.spec);
        expected_tasks.push_back(places *
                                 (approved.contains(worker) ? 1.0 : rate));
        sum += expected_tasks.back();
    }
    const auto waiting = static_cast<double>(tasks);
    const auto scale = sum > waiting ? waiting / sum : 1.0;
    const auto each = policy::resources_for(*step.spec, 1).millicpus;
    for (std::size_t i = 0; i < asked.size(); ++i)
    {
        const auto claim = static_cast<std::int64_t>(expected_tasks[i] * scale *
                                                     static_cast<double>(each));
        asked[i]->claimed_millicpus += claim;
        m_pool.update_room(*asked[i]);
        step.approvals.claims.emplace_back(asked[i], claim);
    }
}

auto scheduler::release_claims(step_record& step) -> void
{
    for (const auto& [worker, claim] : step.approvals.claims)
    {
        worker->claimed_millicpus -= claim;
        m_pool.update_room(*worker);
    }
    step.approvals.claims.clear();
}

auto scheduler::request_approval(const policy::waiting_step& item, bool early,
                                 time_point now) -> void
{
    auto& state = item.step->approvals;
    const auto& terms = item.job->spec->queue.approval;
    const bool has_reservation = item.step->reservation.complete;
    // Requests for ready steps precede those for later steps, and requests with
    // reserved room precede both.
    const auto queue_priority = 2 * item.job->spec->queue.priority;
    const auto priority = has_reservation ? std::max(queue_priority, 1u) - 1
                                          : queue_priority + (early ? 1 : 0);
    // A request in flight may still wait for an instance.
    const bool raised = state.in_flight && priority < state.requested_priority;
    const bool may_be_slow =
        m_slow_request_slots_left > 0 || has_reservation || raised;
    if ((state.in_flight && !raised) || now < state.next_request_at ||
        (!may_be_slow && terms.time_per_call >= slow_approval_threshold))
    {
        return;
    }
    const auto tasks = requestable_tasks(item, early);
    if (tasks == 0)
    {
        return;
    }
    const auto list = workers_to_ask(item, tasks, now);
    if (list.empty())
    {
        return;
    }
    approval_request request;
    request.step = {item.job->spec->id, item.round->number, item.step->number};
    request.priority = priority;
    request.unanswered = state.unanswered;
    for (const auto* worker : list)
    {
        request.workers.push_back(worker->entry.id);
    }
    const auto expected =
        terms.time_per_call +
        terms.time_per_worker * static_cast<double>(list.size());
    request.expected = std::chrono::ceil<milliseconds>(expected);
    if (request.expected >= slow_approval_threshold)
    {
        if (!may_be_slow)
        {
            return;
        }
        m_slow_request_slots_left -=
            std::min<std::size_t>(m_slow_request_slots_left, raised ? 0 : 1);
    }
    release_claims(*item.step);
    claim_room(item, tasks, list);
    state.requested_at = raised ? state.requested_at : now;
    state.in_flight = true;
    state.requested_priority = priority;
    m_outbox.approval_requests.push_back(std::move(request));
}

auto scheduler::on_approval_response(const approval_response& answer,
                                     time_point now) -> void
{
    const auto location = find({answer.step, 0});
    if (location.step == nullptr)
    {
        return;
    }
    auto& state = location.step->approvals;
    if (!answer.late)
    {
        release_claims(*location.step);
        state.in_flight = false;
        state.next_request_at = now + m_options.request_pause;
        state.unanswered = answer.approved ? 0 : state.unanswered + 1;
    }
    if (!answer.approved)
    {
        return;
    }
    std::size_t first_asked = 0;
    std::size_t first_approved = 0;
    for (const auto& id : answer.asked)
    {
        const auto worker = m_workers.find(id);
        if (worker != m_workers.end() &&
            !state.approved.contains(&worker->second))
        {
            state.refused.insert(&worker->second);
            ++first_asked;
        }
    }
    const auto valid_until = now + answer.ticket_lifetime - answer.age;
    for (const auto& item : *answer.approved)
    {
        const auto worker = m_workers.find(item.worker);
        if (worker == m_workers.end())
        {
            continue;
        }
        first_approved += state.refused.erase(&worker->second);
        const auto& incarnation = worker->second.entry.incarnation;
        auto& known = state.approved[&worker->second];
        const bool is_newer =
            known.incarnation != incarnation || known.valid_until < valid_until;
        if (is_newer)
        {
            known = {item.ticket, valid_until, incarnation};
        }
    }
    // A new ticket for an approved worker is certain and tells nothing about
    // the others.
    if (first_asked > 0)
    {
        const auto& queue = location.job->spec->queue.name;
        const auto share = static_cast<double>(first_approved) /
                           static_cast<double>(first_asked);
        const auto rate = approval_rate(queue);
        m_approval_rates[queue] = rate + rate_weight * (share - rate);
    }
    logging::info("approval request answered")
        .with("job", answer.step.job)
        .with("step", answer.step.step)
        .with("asked", answer.asked.size())
        .with("approved", answer.approved->size())
        .with("age", answer.age)
        .with("late", answer.late);
}

} // namespace pimentoshunt::cell
