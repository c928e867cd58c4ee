/// @file
/// Discrete-event simulation of queues, admission control and placement,
/// without delays between an event and the decision.
#pragma once

#include <pimentoshunt/ledger/capacity_ledger.hpp>
#include <pimentoshunt/policy/admission.hpp>
#include <pimentoshunt/policy/grant_scheduler.hpp>
#include <pimentoshunt/policy/wait_queue.hpp>

#include <algorithm>  // min
#include <chrono>     // nanoseconds
#include <cstddef>    // size_t
#include <functional> // greater
#include <map>        // map
#include <queue>      // priority_queue
#include <string>     // to_string
#include <tuple>      // tie
#include <vector>     // vector

namespace pimentoshunt::bench
{

using std::chrono::nanoseconds;

/// @brief A request or task; times are relative to the start of the run.
struct arrival
{
    nanoseconds at{0};
    nanoseconds run_time{0};
    /// Index of the workload in the plan's workloads.
    std::size_t workload = 0;
    std::size_t entry = 0;
};

/// @brief Outcome of one arrival.
struct arrival_outcome
{
    bool ran = false;
    bool refused = false;
    nanoseconds wait{0};
    /// Whether the run ended before the deadline.
    bool in_time = false;
    /// Number of starts; more than one after checkpoints.
    std::size_t starts = 0;
    nanoseconds remaining{0};
    nanoseconds last_start{0};
};

/// @brief Parameters of a simulation.
struct simulation_setup
{
    std::size_t entries = 8;
    std::size_t owners = 8;
    std::size_t workers_per_owner = 6;
    std::int64_t slots_per_worker = 8;
    bool admission_controller = true;
    bool latest_start = true;
    /// Time from the request of a checkpoint until the slot is free.
    std::chrono::milliseconds checkpoint_time{50};
    policy::grant_scheduler_options scheduler;

    [[nodiscard]] auto slots() const -> std::size_t
    {
        return owners * workers_per_owner *
               static_cast<std::size_t>(slots_per_worker);
    }
};

/// @brief Outcomes of a simulation, one for each arrival, and slot usage.
struct simulation_result
{
    std::vector<arrival_outcome> all;
    /// Slot seconds used by services and by other classes, until the last
    /// arrival.
    double service_slot_s = 0;
    double other_slot_s = 0;
    std::size_t checkpoints = 0;
};

namespace detail
{

/// @brief Event: the end or checkpoint of one run of an arrival.
struct completion
{
    nanoseconds at{0};
    std::size_t arrival = 0;
    std::size_t owner = 0;
    worker_id worker;
    attempt_id attempt;
    bool checkpointed = false;

    friend auto operator>(const completion& left, const completion& right)
        -> bool
    {
        return std::tie(left.at, left.arrival) >
               std::tie(right.at, right.arrival);
    }
};

/// @brief An instance that owns workers: its ledger and its scheduler.
struct owner
{
    ledger::capacity_ledger accounts;
    policy::grant_scheduler scheduler;
};

} // namespace detail

/// @brief Simulates a plan's workloads; an object runs one simulation.
class scheduling_simulation
{
  public:
    scheduling_simulation(const plan::document& document,
                          const simulation_setup& setup)
        : m_document(document), m_setup(setup), m_queues(setup.entries)
    {
        for (std::size_t i = 0; i < setup.owners; ++i)
        {
            add_owner(i);
        }
    }

    /// @brief Simulates @p arrivals, which must be sorted by time.
    auto run(const std::vector<arrival>& arrivals) -> simulation_result
    {
        m_arrivals = &arrivals;
        m_result.all.assign(arrivals.size(), {});
        std::size_t next = 0;
        while (next < arrivals.size() || !m_ends.empty())
        {
            const bool arrives =
                next < arrivals.size() &&
                (m_ends.empty() || arrivals[next].at <= m_ends.top().at);
            if (arrives)
            {
                advance_time(arrivals[next].at);
                handle_arrival(next++);
                m_counting = next < arrivals.size();
            }
            else
            {
                handle_completion();
            }
        }
        return std::move(m_result);
    }

  private:
    auto add_owner(std::size_t number) -> void
    {
        detail::owner made{{}, policy::grant_scheduler(m_setup.scheduler)};
        made.scheduler.set_plan(m_document);
        made.scheduler.set_cell_share(1.0 /
                                      static_cast<double>(m_setup.owners));
        for (std::size_t i = 0; i < m_setup.workers_per_owner; ++i)
        {
            worker::description machine;
            machine.id = worker_id("w" + std::to_string(number) + "-" +
                                   std::to_string(i));
            machine.capacity = {m_setup.slots_per_worker, 16'000, 64'000, 0};
            made.accounts.open(machine, 1, {}, {});
        }
        m_owners.push_back(std::move(made));
    }

    [[nodiscard]] auto current_time() const -> time_point
    {
        return time_point(std::chrono::hours(1) + m_now);
    }

    auto advance_time(nanoseconds to) -> void
    {
        const std::chrono::duration<double> step = to - m_now;
        if (m_counting)
        {
            m_result.service_slot_s += step.count() * m_service_slots;
            m_result.other_slot_s += step.count() * m_other_slots;
        }
        m_now = to;
    }

    auto adjust_slots_in_use(const plan::workload& workload, double change)
        -> void
    {
        const bool service = workload.cls == plan::work_class::service;
        (service ? m_service_slots : m_other_slots) += change;
    }

    auto handle_arrival(std::size_t index) -> void
    {
        const auto& item = (*m_arrivals)[index];
        const auto& workload = m_document.workloads[item.workload];
        const auto deadline = current_time() + workload.deadline;
        if (m_setup.admission_controller &&
            !admitted(workload, deadline, item.entry))
        {
            m_result.all[index].refused = true;
            return;
        }
        const auto latest = m_admission.latest_start(
            workload, deadline,
            m_owners[item.entry % m_owners.size()].scheduler.run_times());
        m_queues[item.entry].push(workload.name, workload.priority, deadline,
                                  m_setup.latest_start ? latest : deadline,
                                  current_time(), index);
        auto lines = demand();
        for (std::size_t i = 0; i < m_owners.size(); ++i)
        {
            const auto owner_index = (index + i) % m_owners.size();
            if (m_owners[owner_index].accounts.free_total().slots > 0)
            {
                grant(owner_index, lines);
            }
        }
    }

    auto admitted(const plan::workload& workload, time_point deadline,
                  std::size_t entry) -> bool
    {
        const auto& judge = m_owners[entry % m_owners.size()];
        std::int64_t slots = 0;
        for (const auto& [name, used] : judge.accounts.used_by_workload())
        {
            const auto* const holder = m_document.find(name);
            slots += judge.scheduler.is_long(*holder) ? used.total.slots : 0;
        }
        // The owner knows only its own workers; they are taken as a sample of
        // all.
        slots = (judge.accounts.capacity_total().slots - slots) *
                static_cast<std::int64_t>(m_owners.size());
        const auto ahead = judge.scheduler.work_ahead_of(
            judge.accounts, demand(), workload, deadline, current_time());
        return m_admission
            .judge(workload, deadline, ahead, slots,
                   judge.scheduler.run_times(), current_time())
            .admitted();
    }

    auto handle_completion() -> void
    {
        const auto end = m_ends.top();
        m_ends.pop();
        advance_time(end.at);
        auto& owner = m_owners[end.owner];
        if (!owner.accounts.release(end.worker, end.attempt))
        {
            // The run had already ended or been checkpointed.
            return;
        }
        const auto& item = (*m_arrivals)[end.arrival];
        const auto& workload = m_document.workloads[item.workload];
        adjust_slots_in_use(workload, -1);
        if (end.checkpointed)
        {
            auto& answer = m_result.all[end.arrival];
            answer.remaining -= m_now - answer.last_start;
            m_queues[item.entry].push(workload.name, workload.priority,
                                      current_time() + workload.deadline,
                                      current_time(), end.arrival);
        }
        else
        {
            owner.scheduler.observe(workload, item.run_time);
        }
        auto lines = demand();
        grant(end.owner, lines);
    }

    /// @brief Collects the waiting demand of all entries; expired requests are
    /// dropped first.
    auto demand() -> std::vector<policy::demand_line>
    {
        std::vector<policy::demand_line> lines;
        for (std::size_t i = 0; i < m_queues.size(); ++i)
        {
            m_queues[i].expire(current_time());
            for (const auto& line : m_queues[i].summaries())
            {
                lines.push_back({instance_id(std::to_string(i)),
                                 m_document.find(line.workload),
                                 static_cast<std::int64_t>(line.count),
                                 line.next_deadline, line.oldest_arrival});
            }
        }
        return lines;
    }

    auto grant(std::size_t number, std::vector<policy::demand_line>& lines)
        -> void
    {
        if (lines.empty())
        {
            return;
        }
        auto& owner = m_owners[number];
        report_usage(number);
        std::vector<std::int64_t> given(lines.size(), 0);
        owner.scheduler.pick(
            owner.accounts, lines,
            [&](const policy::placement& choice)
            {
                ++given[choice.line];
                return start(number, lines[choice.line], choice.worker);
            },
            current_time());
        for (std::size_t i = 0; i < lines.size(); ++i)
        {
            lines[i].count -= given[i];
        }
        if (m_setup.scheduler.checkpoints)
        {
            checkpoint(number, lines);
        }
    }

    auto report_usage(std::size_t number) -> void
    {
        if (m_document.workspaces.empty())
        {
            return;
        }
        std::vector<policy::workspace_usage> usages;
        for (const auto& workspace : m_document.workspaces)
        {
            resources sum;
            for (std::size_t i = 0; i < m_owners.size(); ++i)
            {
                if (i != number)
                {
                    sum += m_owners[i].accounts.used_by(workspace.name).total;
                }
            }
            usages.push_back({workspace.name, sum});
        }
        m_owners[number].scheduler.set_usage_elsewhere(usages);
    }

    auto start(std::size_t number, const policy::demand_line& line,
               const worker_id& worker) -> bool
    {
        const auto entry =
            static_cast<std::size_t>(std::stoul(line.entry.str()));
        const auto& workload = *line.workload;
        const auto taken = m_queues[entry].pop(workload.name, current_time());
        if (!taken.has_value())
        {
            return false;
        }
        const auto& item = (*m_arrivals)[*taken];
        ledger::reservation held;
        auto& answer = m_result.all[*taken];
        ++answer.starts;
        held.attempt = attempt_id(std::to_string(*taken) + "." +
                                  std::to_string(answer.starts));
        held.workload = workload.name;
        held.workspace = workload.workspace;
        held.each = workload.each;
        held.granted_at = current_time();
        if (!m_owners[number].accounts.try_reserve(worker, held))
        {
            return false;
        }
        adjust_slots_in_use(workload, 1);
        answer.remaining = answer.ran ? answer.remaining : item.run_time;
        answer.ran = true;
        answer.last_start = m_now;
        answer.wait = m_now - item.at;
        answer.in_time = answer.wait + item.run_time <= workload.deadline;
        m_ends.push({m_now + answer.remaining, *taken, number, worker,
                     held.attempt, false});
        return true;
    }

    auto checkpoint(std::size_t number,
                    const std::vector<policy::demand_line>& lines) -> void
    {
        auto& owner = m_owners[number];
        const auto chosen = owner.scheduler.checkpoint_candidates(
            owner.accounts, lines, current_time());
        for (const auto& candidate : chosen)
        {
            owner.accounts.mark_checkpoint_requested(candidate.worker,
                                                     candidate.attempt);
            const auto index = std::stoul(candidate.attempt.str());
            m_ends.push({m_now + m_setup.checkpoint_time, index, number,
                         candidate.worker, candidate.attempt, true});
            ++m_result.checkpoints;
        }
    }

    const plan::document& m_document;
    simulation_setup m_setup;
    std::vector<policy::wait_queue<std::size_t>> m_queues;
    std::vector<detail::owner> m_owners;
    policy::admission_controller m_admission;
    const std::vector<arrival>* m_arrivals = nullptr;
    std::priority_queue<detail::completion, std::vector<detail::completion>,
                        std::greater<detail::completion>>
        m_ends;
    nanoseconds m_now{0};
    simulation_result m_result;
    double m_service_slots = 0;
    double m_other_slots = 0;
    bool m_counting = true;
};

} // namespace pimentoshunt::bench
