// Gangs: all tasks of a step start at the same time, so that room for all of
// them is needed at one time, with tickets that are valid then. In a full cell
// other tasks take such room before the tickets arrive; a gang therefore
// reserves it for a bounded time.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/cell/policy/expected_places.hpp>
#include <pimentoshunt/cell/policy/worker_choice.hpp>
#include <pimentoshunt/logging.hpp>

#include <algorithm> // any_of, max, min, stable_partition
#include <chrono>    // ceil
#include <utility>   // exchange

namespace pimentoshunt::cell
{
namespace
{

/// Whether the workers could hold all tasks of the step if they were empty.
auto can_hold_all(const std::vector<detail::worker_record*>& candidate_workers,
                  const step_spec& step) -> bool
{
    std::size_t places = 0;
    for (const auto* worker : candidate_workers)
    {
        places += policy::places_when_empty(*worker, step);
    }
    return places >= step.count;
}

} // namespace

auto scheduler::place_gang(const policy::waiting_step& item, time_point now)
    -> void
{
    auto& step = *item.step;
    step.reservation.visited_at = now;
    // All members start together: none may have a run that is still being
    // stopped.
    if (step.waiting.size() < step.spec->count)
    {
        release_reservation(step);
        step.reservation = {};
        return;
    }
    if (step.suspected && item.job->has_unsaved_crash)
    {
        return;
    }
    const auto chosen_before = release_reservation(step);
    if (is_gang_held_back(item, now))
    {
        step.reservation = {};
        return;
    }
    const auto candidate_workers = candidates(item, now);
    const auto places = policy::choose_gang_places(
        candidate_workers, *step.spec, preference_of(item, now));
    if (places.size() == step.spec->count)
    {
        step.reservation = {};
        start_gang(item, places, now);
        return;
    }
    reserve_room(item, chosen_before, now);
}

auto scheduler::start_gang(const policy::waiting_step& item,
                           const std::vector<worker_record*>& places,
                           time_point now) -> void
{
    auto& step = *item.step;
    const bool suspected = step.has_suspects();
    std::uint64_t number = 0;
    std::string checkpoint;
    for (const auto& task : step.tasks)
    {
        number = std::max(number, next_number(task));
        if (!task.checkpoint.empty())
        {
            checkpoint = task.checkpoint;
        }
    }
    for (std::uint32_t i = 0; i < step.spec->count; ++i)
    {
        step.tasks[i].checkpoint = checkpoint;
        start(item, i, *places[i], number, now);
        // With a suspect among them all members are on trial: they end together.
        if (suspected)
        {
            begin_trial(*places[i], item, i);
        }
    }
}

/// Whether reservations of the gang are paused after one that reached its time
/// limit without a start.
auto scheduler::is_reservation_paused(const policy::waiting_step& item,
                                      std::size_t workers_kept, time_point now)
    -> bool
{
    auto& state = item.step->reservation;
    if (state.since && now - *state.since >= m_options.reservation_limit)
    {
        logging::info("gang reservation ended without a start; pausing")
            .with("job", item.job->spec->id)
            .with("step", item.step->number)
            .with("tasks", item.step->spec->count)
            .with("workers_kept", workers_kept)
            .with("approved_workers", item.step->approvals.approved.size());
        state.paused_until = now + m_options.reservation_pause;
    }
    return now < state.paused_until;
}

/// Whether the gang may reserve less than it needs: only after a long wait, and
/// one gang of a service in each pass, in dispatch order.
auto scheduler::may_reserve_partially(const policy::waiting_step& item,
                                      time_point now) -> bool
{
    const auto waited = now - item.step->ready_since;
    return waited >= m_options.partial_reservation_after &&
           m_partially_reserving.insert(item.job->spec->queue.service).second;
}

/// Reserves places for the gang on workers that may run it.
/// @param extra_places  places to reserve on each worker beyond the free ones;
///                      the next resources that become free there go to this
///                      gang
/// @return number of tasks without a free place
auto scheduler::reserve_places(
    step_record& step, const std::vector<worker_record*>& candidate_workers,
    std::uint32_t extra_places) -> std::uint32_t
{
    const auto count = step.spec->count;
    std::uint32_t free_places = 0;
    std::uint32_t reserved = 0;
    for (auto* const worker : candidate_workers)
    {
        const auto places = policy::places_on(*worker, *step.spec);
        const auto limit = policy::places_when_empty(*worker, *step.spec);
        const auto wanted =
            std::min({places + extra_places, limit, count - reserved});
        if (wanted > 0)
        {
            const auto taken = policy::resources_for(*step.spec, wanted);
            worker->reserved += taken;
            m_pool.update_room(*worker);
            step.reservation.reserved.emplace_back(worker, taken);
            free_places += std::min(places, wanted);
            reserved += wanted;
        }
    }
    m_reserving_steps.insert(&step);
    return count - free_places;
}

/// Reserves room for all tasks while tickets are requested or, after a long
/// wait, the room that is free. Workers of the previous reservation come first
/// since their tickets may be on the way.
auto scheduler::reserve_room(const policy::waiting_step& item,
                             const reserved_places& before, time_point now)
    -> void
{
    auto& step = *item.step;
    auto& state = step.reservation;
    if (is_reservation_paused(item, before.size(), now))
    {
        state.since.reset();
        return;
    }
    const auto chosen_before = [&](const worker_record* worker)
    {
        return std::any_of(before.begin(), before.end(),
                           [&](const auto& reserved)
                           {
                               return reserved.first == worker;
                           });
    };
    auto candidate_workers = permitted_workers(item, now);
    if (!can_hold_all(candidate_workers, *step.spec))
    {
        // A reservation would lie idle: more workers must be approved first.
        state.since.reset();
        return;
    }
    policy::sort_by_free_cpu(candidate_workers);
    const auto one = policy::resources_for(*step.spec, 1).millicpus;
    policy::sort_by_speed(candidate_workers, preference_of(item, now), one);
    std::stable_partition(candidate_workers.begin(), candidate_workers.end(),
                          chosen_before);
    auto missing = reserve_places(step, candidate_workers, 0);
    if (missing > 0)
    {
        release_reservation(step);
        if (!may_reserve_partially(item, now))
        {
            state.since.reset();
            return;
        }
        missing = reserve_places(step, candidate_workers, 1);
    }
    state.complete = missing == 0;
    state.since = state.since.value_or(now);
}

auto scheduler::release_reservation(step_record& step) -> reserved_places
{
    for (const auto& [worker, reserved] : step.reservation.reserved)
    {
        worker->reserved -= reserved;
        m_pool.update_room(*worker);
    }
    step.reservation.complete = false;
    m_reserving_steps.erase(&step);
    return std::exchange(step.reservation.reserved, {});
}

/// A step that no longer waits, or that may not start now, keeps no
/// reservation.
auto scheduler::release_unvisited_reservations(time_point now) -> void
{
    const auto gathering = m_reserving_steps;
    for (auto* const step : gathering)
    {
        if (step->reservation.visited_at != now)
        {
            release_reservation(*step);
            step->reservation = {};
        }
    }
}

/// Reserved workers without a ticket that would still be valid when an answer
/// to a request arrives.
auto scheduler::reserved_without_ticket(const policy::waiting_step& item,
                                        time_point now) const
    -> std::vector<worker_record*>
{
    const auto& step = *item.step;
    const auto& terms = item.job->spec->queue.approval;
    const auto answer_takes =
        std::chrono::ceil<milliseconds>(
            terms.time_per_call +
            terms.time_per_worker *
                static_cast<double>(step.reservation.reserved.size())) +
        m_options.ticket_margin;
    std::vector<worker_record*> out;
    for (const auto& [worker, reserved] : step.reservation.reserved)
    {
        const auto ticket = step.approvals.approved.find(worker);
        const bool stays_valid =
            ticket != step.approvals.approved.end() &&
            ticket->second.valid_until > now + answer_takes;
        if (!stays_valid)
        {
            out.push_back(worker);
        }
    }
    if (out.size() > m_options.max_workers_per_gang_request)
    {
        out.resize(m_options.max_workers_per_gang_request);
    }
    return out;
}

/// With a complete reservation, requests new tickets for exactly the reserved
/// workers; before that, looks for further workers that may run the gang, as
/// many at once as it needs: tickets of several requests are rarely valid at
/// the same time.
auto scheduler::gang_workers_to_ask(const policy::waiting_step& item,
                                    time_point now)
    -> std::vector<worker_record*>
{
    const auto& step = *item.step;
    if (step.reservation.complete)
    {
        return reserved_without_ticket(item, now);
    }
    double approved_places = 0;
    for (const auto* worker : permitted_workers(item, now))
    {
        approved_places += policy::places_when_empty(*worker, *step.spec);
    }
    const bool enough =
        approved_places >=
        m_options.gang_place_surplus * static_cast<double>(step.spec->count);
    const auto rate = approval_rate(item.job->spec->queue.name);
    policy::expected_places expected(m_options.request_deviations);
    std::vector<worker_record*> out;
    const auto one = policy::resources_for(*step.spec, 1).millicpus;
    auto ranking = m_pool.rank(item.job->spec->queue.service, one,
                               preference_of(item, now),
                               policy::worker_pool::content::all);
    while (auto* const worker = ranking.next())
    {
        if (expected.covers(step.spec->count) ||
            out.size() >= m_options.max_workers_per_gang_request)
        {
            break;
        }
        // A ticket for an earlier incarnation permits nothing.
        const auto ticket = step.approvals.approved.find(worker);
        const bool approved =
            ticket != step.approvals.approved.end() &&
            ticket->second.incarnation == worker->entry.incarnation;
        if (approved || step.approvals.refused.contains(worker) ||
            !is_usable(*worker, *item.job, step, now) ||
            policy::places_when_empty(*worker, *step.spec) == 0)
        {
            continue;
        }
        const auto places = policy::places_on(*worker, *step.spec);
        if (places == 0 && enough)
        {
            continue;
        }
        // A full worker counts as one place.
        expected.add(std::max(places, 1u), rate);
        out.push_back(worker);
    }
    return out;
}

} // namespace pimentoshunt::cell
