// Copies of stragglers: looks for runs that last much longer than expected, and
// starts a second run of their tasks on another worker.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/cell/policy/straggler_copies.hpp>
#include <pimentoshunt/cell/policy/worker_choice.hpp>
#include <pimentoshunt/logging.hpp>

#include <algorithm> // min
#include <chrono>    // ceil, duration_cast
#include <map>       // map
#include <optional>  // optional
#include <utility>   // pair
#include <vector>    // vector

namespace pimentoshunt::cell
{
namespace
{

/// Interval at which runs are examined.
constexpr milliseconds copies_interval{100};

} // namespace

/// Run time of the step's tasks on the worker, by those that have ended.
auto scheduler::expected_time(const policy::waiting_step& item,
                              const worker_record& worker) const -> milliseconds
{
    const auto by_others = item.step->times.median(1);
    const auto whole =
        by_others ? std::chrono::duration<double, std::milli>(*by_others)
                  : std::chrono::duration<double, std::milli>(
                        item.step->spec->estimate) *
                        time_factor(item);
    return std::chrono::ceil<milliseconds>(whole / worker.speed);
}

/// Processors of each service, and what gangs that wait could use of them.
auto scheduler::rooms_for_copies(
    const std::vector<policy::waiting_step>& waiting) const
    -> std::map<service_name, policy::copy_room>
{
    std::map<service_name, policy::copy_room> out;
    for (const auto& [id, worker] : m_workers)
    {
        if (!worker.registered || worker.ended || worker.entry.draining)
        {
            continue;
        }
        auto& room = out[worker.entry.service];
        room.capacity += worker.entry.capacity.millicpus;
        room.used += worker.used.millicpus;
        for (const auto& [ref, run] : worker.runs)
        {
            room.copies += run.is_copy ? run.taken.millicpus : 0;
        }
    }
    for (const auto& item : waiting)
    {
        if (item.step->spec->gang && !item.step->waiting.empty())
        {
            auto& first = out[item.job->spec->queue.service].waiting_gang;
            first = std::min(first, item.job->spec->queue.priority);
        }
    }
    return out;
}

/// The task of a run that should get a copy; nothing if it should not.
auto scheduler::find_straggler(const worker_record& worker,
                               const run_record& run, time_point now)
    -> std::optional<policy::waiting_step>
{
    if (run.phase != detail::run_phase::running || !run.may_be_copied ||
        !run.first_seen_at ||
        now - *run.first_seen_at < policy::straggler_excess)
    {
        return std::nullopt;
    }
    const auto location = find(run.run.task);
    if (location.task == nullptr || location.task->done ||
        location.task->is_copied || location.task->runs.size() != 1 ||
        location.step->suspected || is_final(location.job->state) ||
        !policy::allows_copies(*location.step->spec) ||
        location.step->waiting.contains(run.run.task.index))
    {
        return std::nullopt;
    }
    policy::waiting_step item;
    item.job = location.job;
    item.round = location.round;
    item.step = location.step;
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(now - *run.first_seen_at);
    if (!policy::is_straggler(elapsed, expected_time(item, worker),
                              location.step->tasks.size() - 1,
                              location.step->done_count))
    {
        return std::nullopt;
    }
    policy::compute_deadlines(item, now, time_factor(item));
    return item;
}

/// Called after all waiting steps have been offered what is free.
auto scheduler::place_copies(const std::vector<policy::waiting_step>& waiting,
                             time_point now) -> void
{
    if (now - m_copies_checked_at < copies_interval)
    {
        return;
    }
    m_copies_checked_at = now;
    // Both visit all workers, and are computed only if there is a straggler.
    std::optional<std::map<service_name, policy::copy_room>> rooms;
    std::optional<bool> blocked;
    for (auto& [id, worker] : m_workers)
    {
        std::vector<std::pair<run_ref, policy::waiting_step>> stragglers;
        for (const auto& [ref, run] : worker.runs)
        {
            if (const auto item = find_straggler(worker, run, now))
            {
                stragglers.emplace_back(ref, *item);
            }
        }
        for (const auto& [ref, item] : stragglers)
        {
            if (!rooms)
            {
                rooms = rooms_for_copies(waiting);
                blocked = earlier_runs_possible(now);
            }
            const auto& queue = item.job->spec->queue;
            auto& room = (*rooms)[queue.service];
            const auto need =
                policy::resources_for(*item.step->spec, 1).millicpus;
            if (!(item.job->inherited && *blocked) &&
                policy::has_room_for_copy(room, need, queue.priority) &&
                start_copy(item, ref.task.index, worker, now))
            {
                room.used += need;
                room.copies += need;
            }
        }
    }
}

/// Starts a copy, or requests approval where no suitable worker has a ticket.
/// @return whether it was started
auto scheduler::start_copy(const policy::waiting_step& item,
                           std::uint32_t index, const worker_record& original,
                           time_point now) -> bool
{
    auto& task = item.step->tasks[index];
    const auto& spec = *item.step->spec;
    // The copy counts for the workspace besides the run that it copies.
    if (policy::startable(item.job->account, policy::charge_for(spec), 1) == 0)
    {
        return false;
    }
    const auto need = policy::resources_for(spec, 1).millicpus;
    auto* const worker = policy::cheapest(
        candidates(item, now),
        [&](const worker_record& at)
        {
            return policy::suits_copy(at, original, need);
        },
        [&](const worker_record& at)
        {
            return policy::copy_cost(at, original, spec);
        });
    if (worker == nullptr)
    {
        if (item.job->spec->queue.approval.required &&
            item.step->waiting.empty() && !item.step->approvals.in_flight &&
            task.copy_requests < policy::most_copy_requests)
        {
            ++task.copy_requests;
            request_approval(item, false, now);
        }
        return false;
    }
    task.is_copied = true;
    const auto number = next_number(task);
    start(item, index, *worker, number, now);
    auto& run = worker->runs.at(
        {{{item.job->spec->id, item.round->number, item.step->number}, index},
         number});
    run.is_copy = true;
    ++m_counts.copies;
    logging::info("copy of a straggler is started")
        .with("run", to_string(run.run.task))
        .with("number", number)
        .with("original", original.entry.id)
        .with("worker", worker->entry.id)
        .with("original_speed", original.speed)
        .with("speed", worker->speed)
        .with("expected", expected_time(item, original))
        .with("done", item.step->done_count);
    return true;
}

auto scheduler::note_copy_end(const run_record& run,
                              const task_location& location) -> void
{
    if (!run.is_copy || location.task == nullptr || location.task->done)
    {
        return;
    }
    ++m_counts.copies_first;
    logging::info("copy ended before the run that it copied")
        .with("run", to_string(run.run.task))
        .with("number", run.run.number);
}

} // namespace pimentoshunt::cell
