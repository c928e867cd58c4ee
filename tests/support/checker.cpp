#include "checker.hpp"

#include <algorithm> // stable_sort
#include <array>     // array
#include <chrono>    // microseconds
#include <map>       // map
#include <utility>   // move

namespace pimentoshunt::testing
{
namespace
{

constexpr int status_ok = 200;
constexpr std::array<const char*, 10> kind_names{
    "over_capacity", "over_connections",    "task_twice",
    "wrong_answer",  "not_run_but_started", "run_but_not_started",
    "started_twice", "unlike_answers",      "started_while_leaving",
    "no_claim"};

using violations = std::vector<violation>;

auto describe_event(const observed_event& event) -> std::string
{
    return "worker " + event.worker + ", attempt " + event.attempt + ", at " +
           std::to_string(event.at_us) + " us";
}

/// Attempts and used resources of one worker during the replay of its events.
struct worker_load
{
    resources capacity;
    resources used;
    std::int64_t connections = 0;
    std::map<std::string, resources> running;
};

auto replay_start(worker_load& load, const observed_event& event,
                  violations& found) -> void
{
    load.used += event.event_resources;
    load.running[event.attempt] = event.event_resources;
    if (!load.used.fits_in(load.capacity))
    {
        found.push_back({violation_kind::over_capacity, describe_event(event)});
    }
    if (static_cast<std::int64_t>(load.running.size()) > load.connections)
    {
        found.push_back(
            {violation_kind::over_connections, describe_event(event)});
    }
}

auto replay(worker_load& load, const observed_event& event, violations& found)
    -> void
{
    if (event.kind == observed_kind::worker_started)
    {
        load = {};
        load.capacity = event.event_resources;
        load.connections = event.connections;
        return;
    }
    if (event.kind == observed_kind::start)
    {
        replay_start(load, event, found);
        return;
    }
    const auto running = load.running.find(event.attempt);
    if (ends_attempt(event.kind) && running != load.running.end())
    {
        load.used -= running->second;
        load.running.erase(running);
    }
}

auto check_capacity(const run_history& history, violations& found) -> void
{
    std::map<std::string, worker_load> loads;
    for (const auto& event : history.events)
    {
        replay(loads[event.worker], event, found);
    }
}

struct task_name
{
    std::string job;
    std::int64_t task = 0;

    friend auto operator<(const task_name& left, const task_name& right) -> bool
    {
        return left.job != right.job ? left.job < right.job
                                     : left.task < right.task;
    }
};

/// One attempt of a task on one worker.
struct task_run
{
    std::int64_t from_us = 0;
    /// Empty if the attempt has no recorded end.
    std::optional<std::int64_t> until_us;
    std::string worker;
    std::string attempt;
};

using task_runs = std::map<task_name, std::vector<task_run>>;

/// Time of the first kill of the attempt's worker after the attempt's start. A
/// killed worker records no end, whether it was restarted or not.
auto first_kill_after(const run_history& history, const task_run& started)
    -> std::optional<std::int64_t>
{
    std::optional<std::int64_t> first;
    for (const auto& killed : history.kills)
    {
        const auto applies =
            killed.worker == started.worker && killed.at_us >= started.from_us;
        if (applies && (!first.has_value() || killed.at_us < *first))
        {
            first = killed.at_us;
        }
    }
    return first;
}

auto collect_task_runs(const run_history& history) -> task_runs
{
    task_runs runs;
    for (const auto& event : history.events)
    {
        if (event.job.empty())
        {
            continue;
        }
        auto& runs_of_task = runs[{event.job, event.task}];
        if (event.kind == observed_kind::start)
        {
            runs_of_task.push_back(
                {event.at_us, {}, event.worker, event.attempt});
        }
        else if (ends_attempt(event.kind))
        {
            for (auto& one : runs_of_task)
            {
                if (one.worker == event.worker && one.attempt == event.attempt)
                {
                    one.until_us = event.at_us;
                }
            }
        }
    }
    return runs;
}

auto check_overlaps(const task_name& name, std::vector<task_run> runs,
                    violations& found) -> void
{
    std::stable_sort(runs.begin(), runs.end(),
                     [](const task_run& left, const task_run& right)
                     {
                         return left.from_us < right.from_us;
                     });
    // The attempt with the latest end so far; no later start may be before its
    // end.
    const task_run* longest = nullptr;
    for (const auto& next : runs)
    {
        if (longest != nullptr && (!longest->until_us.has_value() ||
                                   *longest->until_us > next.from_us))
        {
            found.push_back({violation_kind::task_twice,
                             "job " + name.job + ", task " +
                                 std::to_string(name.task) + ": attempt " +
                                 next.attempt + " started on " + next.worker +
                                 " at " + std::to_string(next.from_us) +
                                 " us while attempt " + longest->attempt +
                                 " ran on " + longest->worker});
        }
        const auto lasts_longer =
            longest == nullptr || (longest->until_us.has_value() &&
                                   (!next.until_us.has_value() ||
                                    *next.until_us > *longest->until_us));
        longest = lasts_longer ? &next : longest;
    }
}

auto check_tasks(const run_history& history, violations& found) -> void
{
    for (auto& [name, runs] : collect_task_runs(history))
    {
        auto ended = runs;
        for (auto& one : ended)
        {
            one.until_us = one.until_us.has_value()
                               ? one.until_us
                               : first_kill_after(history, one);
        }
        check_overlaps(name, std::move(ended), found);
    }
}

/// Number of starts of a request or key, and a description of each start.
struct start_count
{
    std::int64_t starts = 0;
    std::string descriptions;

    auto add(const observed_event& event) -> void
    {
        ++starts;
        descriptions +=
            (descriptions.empty() ? "" : "; ") + describe_event(event);
    }
};

using start_counts = std::map<std::string, start_count>;

auto key_name(const std::string& workload, const std::string& key)
    -> std::string
{
    return "workload " + workload + ", key " + key;
}

/// Starts of callers' requests by request id and by idempotency key. Tasks of
/// jobs are not counted.
struct request_starts
{
    start_counts by_request;
    start_counts by_key;
};

auto count_starts(const run_history& history) -> request_starts
{
    request_starts counts;
    for (const auto& event : history.events)
    {
        if (event.kind != observed_kind::start || !event.job.empty())
        {
            continue;
        }
        counts.by_request[event.request_id].add(event);
        if (!event.idempotency_key.empty())
        {
            counts.by_key[key_name(event.workload, event.idempotency_key)].add(
                event);
        }
    }
    return counts;
}

auto check_ran_header(const call_record& call, const start_count& starts,
                      violations& found) -> void
{
    const auto call_label = "request " + call.request_id + ", status " +
                            std::to_string(call.status);
    if (call.ran == ran_header::absent)
    {
        found.push_back({violation_kind::no_claim, call_label});
    }
    if (call.ran == ran_header::no && starts.starts > 0)
    {
        found.push_back({violation_kind::not_run_but_started,
                         call_label + ": " + starts.descriptions});
    }
    // A request with an idempotency key may get the response of an earlier
    // request with the same key, without a start of its own.
    if (call.ran == ran_header::yes && starts.starts == 0 &&
        call.idempotency_key.empty())
    {
        found.push_back({violation_kind::run_but_not_started, call_label});
    }
}

auto check_body(const call_record& call, violations& found) -> void
{
    const auto echoed = call.status == status_ok && call.ran == ran_header::yes;
    if (echoed && call.sent != call.received)
    {
        found.push_back({violation_kind::wrong_answer,
                         "request " + call.request_id + ": sent " +
                             std::to_string(call.sent.size) + " bytes, got " +
                             std::to_string(call.received.size) +
                             " bytes or other ones"});
    }
}

auto check_calls(const run_history& history, const request_starts& counts,
                 violations& found) -> void
{
    for (const auto& call : history.calls)
    {
        const auto known = counts.by_request.find(call.request_id);
        const auto starts =
            known == counts.by_request.end() ? start_count{} : known->second;
        if (!call.idempotent && starts.starts > 1)
        {
            found.push_back(
                {violation_kind::started_twice,
                 "request " + call.request_id + ": " + starts.descriptions});
        }
        if (call.answered)
        {
            check_ran_header(call, starts, found);
            check_body(call, found);
        }
    }
}

auto check_keys(const run_history& history, const request_starts& counts,
                violations& found) -> void
{
    for (const auto& [name, starts] : counts.by_key)
    {
        if (starts.starts > 1)
        {
            found.push_back({violation_kind::started_twice,
                             name + ": " + starts.descriptions});
        }
    }
    std::map<std::string, const call_record*> first_answers;
    for (const auto& call : history.calls)
    {
        if (call.idempotency_key.empty() || !call.answered ||
            call.ran != ran_header::yes)
        {
            continue;
        }
        const auto name = key_name(call.workload, call.idempotency_key);
        const auto* first = first_answers.emplace(name, &call).first->second;
        if (first->status != call.status || first->received != call.received)
        {
            found.push_back({violation_kind::unlike_answers,
                             name + ": requests " + first->request_id +
                                 " and " + call.request_id});
        }
    }
}

auto check_leaving(const run_history& history, violations& found) -> void
{
    if (!history.leaving_grace_period.has_value())
    {
        return;
    }
    const std::chrono::microseconds bound = *history.leaving_grace_period;
    std::map<std::string, std::int64_t> left_at;
    for (const auto& event : history.events)
    {
        const auto left = left_at.find(event.worker);
        if (event.kind == observed_kind::worker_started)
        {
            left_at.erase(event.worker);
        }
        else if (event.kind == observed_kind::leaving)
        {
            left_at.emplace(event.worker, event.at_us);
        }
        else if (event.kind == observed_kind::start && left != left_at.end() &&
                 event.at_us > left->second + bound.count())
        {
            found.push_back({violation_kind::started_while_leaving,
                             describe_event(event) + ", leaving since " +
                                 std::to_string(left->second) + " us"});
        }
    }
}

} // namespace

auto to_string(violation_kind kind) -> std::string
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

auto find_violations(const run_history& history) -> std::vector<violation>
{
    violations found;
    check_capacity(history, found);
    check_tasks(history, found);
    const auto counts = count_starts(history);
    check_calls(history, counts, found);
    check_keys(history, counts, found);
    check_leaving(history, found);
    return found;
}

auto describe(const std::vector<violation>& violations) -> std::string
{
    std::string text;
    for (const auto& one : violations)
    {
        text += to_string(one.kind) + ": " + one.message + "\n";
    }
    return text;
}

} // namespace pimentoshunt::testing
