#include "worker.hpp"

#include <algorithm> // any_of, max, min
#include <cstdio>    // sscanf
#include <utility>   // move

namespace pimentoshunt::soak
{
namespace
{

constexpr milliseconds longest_lease{6'000};
constexpr std::size_t most_listed = 500;
constexpr int conflict = 409;
/// A stop takes from 40 to 340 ms by the task's name; 400 are allowed.
constexpr milliseconds shortest_stop{40};
constexpr std::size_t stop_spread_ms = 300;

auto hash_of(const std::string& text) -> std::size_t
{
    return std::hash<std::string>()(text);
}

/// ID.K.STEP of ID.K.STEP.INDEX.
auto step_of(const std::string& task) -> std::string
{
    return task.substr(0, task.rfind('.'));
}

/// The needs stand in the payload, a row for each step, so that a worker need
/// not know the job.
auto need_of(const worker_order& call) -> resources
{
    const auto step = step_of(call.task);
    const auto number = std::stoul(step.substr(step.rfind('.') + 1));
    auto at = std::string::size_type{0};
    for (std::size_t i = 0; i <= number && at != std::string::npos; ++i)
    {
        at = call.payload.find("need", at + (i > 0 ? 1 : 0));
    }
    resources out;
    if (at != std::string::npos)
    {
        std::sscanf(call.payload.c_str() + at, "need %ld %ld", &out.millicpus,
                    &out.memory_mb);
    }
    return out;
}

} // namespace

auto plan_of(const worker_order& call) -> task_plan
{
    long base = 0;
    std::sscanf(call.payload.c_str(), "ms %ld", &base);
    // From half to one and a half of the base; one run in 33 fails.
    const auto dice = hash_of(call.task);
    const auto lasts = base / 2 + base * static_cast<long>(dice % 100) / 100;
    const auto fate = hash_of(call.task + std::to_string(call.run));
    return {milliseconds(lasts), fate % 33 == 0};
}

worker::worker(worker_facts facts, double clock_rate, time_point now,
               std::vector<run_record>& record)
    : m_facts(std::move(facts)), m_rate(clock_rate), m_born(now),
      m_record(record)
{
}

auto worker::clock(time_point now) const -> milliseconds
{
    const std::chrono::duration<double, std::milli> age = now - m_born;
    return milliseconds(static_cast<std::int64_t>(age.count() * m_rate));
}

auto worker::ask_tickets(std::string prefix) -> void
{
    m_ticket_prefix = std::move(prefix);
}

auto worker::admit(const std::string& step, const std::string& ticket,
                   time_point now) -> void
{
    m_tickets[{step, ticket}] = now + ticket_life;
}

auto worker::obey(const worker_order& call, bool late, time_point now,
                  responder answer) -> void
{
    auto out = plain(now);
    if (fenced(call.epoch))
    {
        out.status = conflict;
        out.reason = "fence";
    }
    else if (call.kind == order_kind::hold)
    {
        hold(call, now, std::move(answer));
        return;
    }
    else if (call.kind == order_kind::stop)
    {
        stop(call, now);
    }
    else
    {
        out.reason = refusal(call, now);
        out.status = out.reason.empty() ? 200 : conflict;
        if (out.reason.empty())
        {
            start(call, late, now);
        }
    }
    answer(std::move(out));
}

auto worker::fenced(std::uint64_t epoch) -> bool
{
    const bool lower = epoch < m_epoch;
    m_epoch = std::max(m_epoch, epoch);
    return lower;
}

auto worker::extend(milliseconds lease_end, time_point now) -> void
{
    m_lease_end =
        std::max(m_lease_end, std::min(lease_end, clock(now) + longest_lease));
}

auto worker::has_ticket(const worker_order& call, time_point now) const -> bool
{
    const auto found = m_tickets.find({step_of(call.task), call.ticket});
    return call.payload.find(m_ticket_prefix) == std::string::npos ||
           (found != m_tickets.end() && now <= found->second);
}

auto worker::refusal(const worker_order& call, time_point now) -> std::string
{
    const auto highest = m_highest.find(call.task);
    if (m_running.count({call.task, call.run}) > 0)
    {
        extend(call.lease_end, now);
        return "";
    }
    if (highest != m_highest.end() && call.run <= highest->second)
    {
        extend(call.lease_end, now);
        return "old";
    }
    if (call.lease_end <= clock(now))
    {
        return "late";
    }
    if (!has_ticket(call, now))
    {
        return "ticket";
    }
    extend(call.lease_end, now);
    return "";
}

auto worker::start(const worker_order& call, bool late, time_point now) -> void
{
    if (m_running.count({call.task, call.run}) > 0)
    {
        return;
    }
    const auto plan = plan_of(call);
    running entry;
    entry.place = m_record.size();
    entry.need = need_of(call);
    entry.due = now + plan.lasts;
    entry.how = plan.fails ? "failed" : "done";
    m_running[{call.task, call.run}] = entry;
    run_record seen;
    seen.task = call.task;
    seen.run = call.run;
    seen.worker = m_facts.id;
    seen.epoch = call.epoch;
    seen.late = late;
    seen.started = now;
    seen.used = used();
    seen.capacity = m_facts.capacity;
    m_record.push_back(std::move(seen));
}

auto worker::stop(const worker_order& call, time_point now) -> void
{
    auto& highest = m_highest[call.task];
    highest = std::max(highest, call.run);
    const auto found = m_running.find({call.task, call.run});
    if (found != m_running.end() && !found->second.stopping)
    {
        found->second.stopping = true;
        found->second.how = "stopped";
        found->second.due = now + shortest_stop +
                            milliseconds(hash_of(call.task) % stop_spread_ms);
    }
}

auto worker::hold(const worker_order& call, time_point now, responder answer)
    -> void
{
    extend(call.lease_end, now);
    note(call.ends_noted, now);
    if (!m_ended.empty() || call.wait.count() == 0)
    {
        answer(lists(now));
        return;
    }
    m_waiting.push_back({std::move(answer), now + call.wait});
}

auto worker::note(std::uint64_t up_to, time_point now) -> void
{
    while (!m_ended.empty() && m_ended.front().listed.number <= up_to)
    {
        auto& run = m_record[m_ended.front().place];
        run.noted = !m_ended.front().lapsed_since;
        run.noted_at = now;
        m_ended.pop_front();
    }
}

auto worker::tick(time_point now) -> void
{
    if (m_lease_end.count() > 0 && clock(now) > m_lease_end)
    {
        lapse(now);
    }
    for (auto entry = m_running.begin(); entry != m_running.end();)
    {
        const auto next = std::next(entry);
        if (entry->second.due <= now)
        {
            end(entry, entry->second.how, now);
        }
        entry = next;
    }
    std::vector<waiting_hold> kept;
    for (auto& item : m_waiting)
    {
        if (m_ended.empty() && now < item.until)
        {
            kept.push_back(std::move(item));
            continue;
        }
        item.answer(lists(now));
    }
    m_waiting = std::move(kept);
}

auto worker::lapse(time_point now) -> void
{
    for (auto& item : m_ended)
    {
        item.lapsed_since = true;
    }
    while (!m_running.empty())
    {
        end(m_running.begin(), "lapsed", now);
    }
}

auto worker::end(std::map<run_key, running>::iterator entry,
                 const std::string& how, time_point now) -> void
{
    const auto& [task, run] = entry->first;
    auto& highest = m_highest[task];
    highest = std::max(highest, run);
    auto& seen = m_record[entry->second.place];
    seen.how = how;
    seen.ended = now;
    m_ended.push_back(
        {{++m_end_number, task, run, how}, entry->second.place, false});
    m_running.erase(entry);
}

auto worker::plain(time_point now) const -> worker_answer
{
    worker_answer out;
    out.clock = clock(now);
    out.born_ms = m_facts.born_ms;
    return out;
}

auto worker::lists(time_point now) const -> worker_answer
{
    auto out = plain(now);
    out.with_lists = true;
    for (const auto& item : m_running)
    {
        out.present.push_back(item.first);
    }
    for (const auto& item : m_ended)
    {
        if (out.ended.size() < most_listed)
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
