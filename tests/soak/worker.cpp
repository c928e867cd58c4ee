#include "worker.hpp"

#include <algorithm> // any_of, max, min
#include <cstdio>    // sscanf
#include <utility>   // move

namespace pimentoshunt::soak
{
namespace
{

constexpr milliseconds max_lease{6'000};
constexpr std::size_t max_listed_ends = 500;
constexpr int conflict = 409;
/// A stop takes 40 to 340 ms, depending on the task's ID; 400 ms are allowed.
constexpr milliseconds min_stop_time{40};
constexpr std::size_t stop_spread_ms = 300;

auto hash_of(const std::string& text) -> std::size_t
{
    return std::hash<std::string>()(text);
}

/// The step ID JOB.K.STEP of the task ID JOB.K.STEP.INDEX.
auto step_of(const std::string& task) -> std::string
{
    return task.substr(0, task.rfind('.'));
}

/// The resources of a task. The payload lists them for each step, so that a
/// worker does not have to know the job.
auto need_of(const worker_order& order) -> resources
{
    const auto step = step_of(order.task);
    const auto number = std::stoul(step.substr(step.rfind('.') + 1));
    auto at = std::string::size_type{0};
    for (std::size_t i = 0; i <= number && at != std::string::npos; ++i)
    {
        at = order.payload.find("need", at + (i > 0 ? 1 : 0));
    }
    resources out;
    if (at != std::string::npos)
    {
        std::sscanf(order.payload.c_str() + at, "need %ld %ld", &out.millicpus,
                    &out.memory_mb);
    }
    return out;
}

} // namespace

auto plan_of(const worker_order& order) -> task_plan
{
    long base = 0;
    std::sscanf(order.payload.c_str(), "ms %ld", &base);
    // 50 to 149 % of the base duration; one run in 33 fails.
    const auto task_hash = hash_of(order.task);
    const auto run_time =
        base / 2 + base * static_cast<long>(task_hash % 100) / 100;
    const auto run_hash = hash_of(order.task + std::to_string(order.run));
    return {milliseconds(run_time), run_hash % 33 == 0};
}

worker::worker(worker_facts facts, double clock_rate, time_point now,
               std::vector<run_record>& record)
    : m_facts(std::move(facts)), m_clock_rate(clock_rate), m_born(now),
      m_record(record)
{
}

auto worker::clock(time_point now) const -> milliseconds
{
    const std::chrono::duration<double, std::milli> age = now - m_born;
    return milliseconds(static_cast<std::int64_t>(age.count() * m_clock_rate));
}

auto worker::require_tickets(std::string prefix) -> void
{
    m_ticket_prefix = std::move(prefix);
}

auto worker::add_ticket(const std::string& step, const std::string& ticket,
                        time_point now) -> void
{
    m_tickets[{step, ticket}] = now + ticket_lifetime;
}

auto worker::handle_order(const worker_order& order, bool delayed,
                          time_point now, responder answer) -> void
{
    auto out = make_answer(now);
    if (is_fenced(order.epoch))
    {
        out.status = conflict;
        out.reason = "fence";
    }
    else if (order.kind == order_kind::heartbeat)
    {
        heartbeat(order, now, std::move(answer));
        return;
    }
    else if (order.kind == order_kind::stop)
    {
        stop(order, now);
    }
    else
    {
        out.reason = refusal_reason(order, now);
        out.status = out.reason.empty() ? 200 : conflict;
        if (out.reason.empty())
        {
            start(order, delayed, now);
        }
    }
    answer(std::move(out));
}

auto worker::is_fenced(std::uint64_t epoch) -> bool
{
    const bool lower = epoch < m_epoch;
    m_epoch = std::max(m_epoch, epoch);
    return lower;
}

auto worker::extend_lease(milliseconds lease_end, time_point now) -> void
{
    m_lease_end =
        std::max(m_lease_end, std::min(lease_end, clock(now) + max_lease));
}

auto worker::has_ticket(const worker_order& order, time_point now) const -> bool
{
    const auto found = m_tickets.find({step_of(order.task), order.ticket});
    return order.payload.find(m_ticket_prefix) == std::string::npos ||
           (found != m_tickets.end() && now <= found->second);
}

auto worker::refusal_reason(const worker_order& order, time_point now)
    -> std::string
{
    const auto highest = m_highest_ended_run.find(order.task);
    if (m_running.count({order.task, order.run}) > 0)
    {
        extend_lease(order.lease_end, now);
        return "";
    }
    if (highest != m_highest_ended_run.end() && order.run <= highest->second)
    {
        extend_lease(order.lease_end, now);
        return "old";
    }
    if (order.lease_end <= clock(now))
    {
        return "late";
    }
    if (!has_ticket(order, now))
    {
        return "ticket";
    }
    extend_lease(order.lease_end, now);
    return "";
}

auto worker::start(const worker_order& order, bool delayed, time_point now)
    -> void
{
    if (m_running.count({order.task, order.run}) > 0)
    {
        return;
    }
    const auto plan = plan_of(order);
    running_task entry;
    entry.record_index = m_record.size();
    entry.need = need_of(order);
    entry.ends_at = now + plan.run_time;
    entry.outcome = plan.fails ? "failed" : "done";
    m_running[{order.task, order.run}] = entry;
    run_record seen;
    seen.task = order.task;
    seen.run = order.run;
    seen.worker = m_facts.id;
    seen.epoch = order.epoch;
    seen.delayed = delayed;
    seen.started = now;
    seen.used = used();
    seen.capacity = m_facts.capacity;
    m_record.push_back(std::move(seen));
}

auto worker::stop(const worker_order& order, time_point now) -> void
{
    auto& highest = m_highest_ended_run[order.task];
    highest = std::max(highest, order.run);
    const auto found = m_running.find({order.task, order.run});
    if (found != m_running.end() && !found->second.stopping)
    {
        found->second.stopping = true;
        found->second.outcome = "stopped";
        found->second.ends_at =
            now + min_stop_time +
            milliseconds(hash_of(order.task) % stop_spread_ms);
    }
}

auto worker::heartbeat(const worker_order& order, time_point now,
                       responder answer) -> void
{
    extend_lease(order.lease_end, now);
    remove_durable_ends(order.ends_durable, now);
    if (!m_ended.empty() || order.wait.count() == 0)
    {
        answer(make_answer_with_lists(now));
        return;
    }
    m_waiting.push_back({std::move(answer), now + order.wait});
}

auto worker::remove_durable_ends(std::uint64_t up_to, time_point now) -> void
{
    while (!m_ended.empty() && m_ended.front().listed.number <= up_to)
    {
        auto& run = m_record[m_ended.front().record_index];
        run.end_durable = !m_ended.front().lease_expired_since;
        run.end_durable_at = now;
        m_ended.pop_front();
    }
}

auto worker::tick(time_point now) -> void
{
    if (m_lease_end.count() > 0 && clock(now) > m_lease_end)
    {
        expire_lease(now);
    }
    for (auto entry = m_running.begin(); entry != m_running.end();)
    {
        const auto next = std::next(entry);
        if (entry->second.ends_at <= now)
        {
            end(entry, entry->second.outcome, now);
        }
        entry = next;
    }
    std::vector<waiting_heartbeat> kept;
    for (auto& item : m_waiting)
    {
        if (m_ended.empty() && now < item.until)
        {
            kept.push_back(std::move(item));
            continue;
        }
        item.answer(make_answer_with_lists(now));
    }
    m_waiting = std::move(kept);
}

auto worker::expire_lease(time_point now) -> void
{
    for (auto& item : m_ended)
    {
        item.lease_expired_since = true;
    }
    while (!m_running.empty())
    {
        end(m_running.begin(), "lapsed", now);
    }
}

auto worker::end(std::map<run_key, running_task>::iterator entry,
                 const std::string& outcome, time_point now) -> void
{
    const auto& [task, run] = entry->first;
    auto& highest = m_highest_ended_run[task];
    highest = std::max(highest, run);
    auto& seen = m_record[entry->second.record_index];
    seen.outcome = outcome;
    seen.ended = now;
    m_ended.push_back({{++m_end_number, task, run, outcome},
                       entry->second.record_index,
                       false});
    m_running.erase(entry);
}

auto worker::make_answer(time_point now) const -> worker_answer
{
    worker_answer out;
    out.clock = clock(now);
    out.born_ms = m_facts.born_ms;
    return out;
}

auto worker::make_answer_with_lists(time_point now) const -> worker_answer
{
    auto out = make_answer(now);
    out.with_lists = true;
    for (const auto& item : m_running)
    {
        out.running.push_back(item.first);
    }
    for (const auto& item : m_ended)
    {
        if (out.ended.size() < max_listed_ends)
        {
            out.ended.push_back(item.listed);
        }
    }
    return out;
}

auto worker::used() const -> resources
{
    resources out;
    for (const auto& item : m_running)
    {
        out += item.second.need;
    }
    return out;
}

} // namespace pimentoshunt::soak
