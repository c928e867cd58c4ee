#include <pimentoshunt/policy/worker_health.hpp>

#include <algorithm> // min, count_if
#include <iterator>  // next
#include <utility>   // move

namespace pimentoshunt::policy
{

namespace
{

/// Weight of the newest outcome in a worker's moving average of failures.
constexpr double newest_weight = 1.0 / 16.0;

} // namespace

worker_health::worker_health(worker_health_options options) : m_options(options)
{
}

auto worker_health::add(const worker_id& worker) -> void
{
    m_workers.try_emplace(worker);
}

auto worker_health::remove(const worker_id& worker) -> void
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
    {
        return;
    }
    m_ejected -= found->second.is_ejected ? 1 : 0;
    m_failure_share_sum -= found->second.failure_share;
    m_workers.erase(found);
    for (auto& [name, record] : m_workloads)
    {
        record.failed_on.erase(worker);
    }
}

auto worker_health::record(const worker_id& worker,
                           const workload_name& workload,
                           attempt_outcome outcome, time_point now)
    -> health_change
{
    auto& entry = m_workers[worker];
    if (outcome == attempt_outcome::success)
    {
        return on_success(entry, workload, now);
    }
    return on_failure(entry, worker, workload, now);
}

auto worker_health::on_success(worker_record& record,
                               const workload_name& workload, time_point now)
    -> health_change
{
    record_success(record, workload, now);
    record.consecutive = 0;
    count(record, 0.0);
    const auto failing = m_workloads.find(workload);
    const bool cleared =
        failing != m_workloads.end() && failing->second.is_faulty;
    if (failing != m_workloads.end())
    {
        m_workloads.erase(failing);
    }
    if (record.is_probing)
    {
        readmit(record, now);
        return health_change::readmitted;
    }
    return cleared ? health_change::workload_recovered : health_change::none;
}

auto worker_health::on_failure(worker_record& record, const worker_id& worker,
                               const workload_name& workload, time_point now)
    -> health_change
{
    auto& failing = m_workloads[workload];
    failing.failed_on[worker] = now;
    const bool was_blamed = failing.is_faulty;
    failing.is_faulty = fails_on_good_workers(failing, workload, now);
    if (failing.is_faulty)
    {
        // The failure says nothing about the worker: keep the probe delay.
        probe_failed(record, false, now);
        return was_blamed ? health_change::none
                          : health_change::workload_faulty;
    }
    ++record.consecutive;
    count(record, 1.0);
    if (record.is_ejected)
    {
        probe_failed(record, true, now);
        return health_change::none;
    }
    if (!fails_too_often(record) || !can_eject_more())
    {
        return health_change::none;
    }
    eject(record, now);
    return health_change::ejected;
}

auto worker_health::take_due_probes(time_point now) -> std::vector<worker_id>
{
    std::vector<worker_id> due;
    if (m_ejected == 0)
    {
        return due;
    }
    for (auto& [worker, record] : m_workers)
    {
        if (record.is_ejected && record.next_probe <= now)
        {
            record.is_probing = true;
            record.next_probe = now + m_options.probe_timeout;
            due.push_back(worker);
        }
    }
    return due;
}

auto worker_health::record_inconclusive(const worker_id& worker, time_point now)
    -> void
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || !found->second.is_probing)
    {
        return;
    }
    found->second.is_probing = false;
    found->second.next_probe = now + m_options.initial_probe_delay;
}

auto worker_health::ejected(const worker_id& worker) const -> bool
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.is_ejected;
}

auto worker_health::is_workload_faulty(const workload_name& workload) const
    -> bool
{
    const auto found = m_workloads.find(workload);
    return found != m_workloads.end() && found->second.is_faulty;
}

auto worker_health::count(worker_record& record, double failed) -> void
{
    const auto before = record.failure_share;
    record.failure_share += (failed - before) * newest_weight;
    m_failure_share_sum += record.failure_share - before;
    ++record.outcomes;
}

auto worker_health::eject(worker_record& record, time_point now) -> void
{
    const bool long_good =
        now - record.readmitted_at >= m_options.backoff_reset_after;
    if (long_good || record.probe_delay.count() == 0)
    {
        record.probe_delay = m_options.initial_probe_delay;
    }
    else
    {
        record.probe_delay =
            std::min(record.probe_delay * 2, m_options.max_probe_delay);
    }
    record.is_ejected = true;
    record.next_probe = now + record.probe_delay;
    ++m_ejected;
}

auto worker_health::probe_failed(worker_record& record, bool extend_delay,
                                 time_point now) -> void
{
    if (!record.is_probing)
    {
        // The attempt started before the ejection and is not a probe.
        return;
    }
    record.is_probing = false;
    if (extend_delay)
    {
        record.probe_delay =
            std::min(record.probe_delay * 2, m_options.max_probe_delay);
    }
    record.next_probe = now + record.probe_delay;
}

auto worker_health::readmit(worker_record& record, time_point now) -> void
{
    record.is_ejected = false;
    record.is_probing = false;
    record.consecutive = 0;
    record.readmitted_at = now;
    record.outcomes = 0;
    m_failure_share_sum -= record.failure_share;
    record.failure_share = 0;
    --m_ejected;
}

auto worker_health::fails_too_often(const worker_record& record) const -> bool
{
    if (m_workers.size() < 2)
    {
        return false;
    }
    const auto others = static_cast<double>(m_workers.size() - 1);
    const auto mean = (m_failure_share_sum - record.failure_share) / others;
    if (record.consecutive >= m_options.consecutive_failures)
    {
        return record.failure_share >=
               mean * m_options.min_consecutive_failure_ratio;
    }
    return record.outcomes >= m_options.min_outcomes &&
           record.failure_share >= m_options.min_failure_share &&
           record.failure_share >= mean * m_options.min_failure_ratio;
}

auto worker_health::record_success(worker_record& record,
                                   const workload_name& workload,
                                   time_point now) -> void
{
    if (record.latest.workload != workload)
    {
        record.latest_other = std::move(record.latest);
        record.latest.workload = workload;
    }
    record.latest.at = now;
}

auto worker_health::can_eject_more() const -> bool
{
    const auto out = static_cast<double>(m_ejected + 1);
    const auto all = static_cast<double>(m_workers.size());
    return out <= all * m_options.max_ejected_share;
}

auto worker_health::is_serving_others(const worker_id& worker,
                                      const workload_name& workload,
                                      time_point now) const -> bool
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
    {
        return false;
    }
    const auto& record = found->second;
    const auto& other = record.latest.workload == workload ? record.latest_other
                                                           : record.latest;
    return !other.workload.empty() && now - other.at <= m_options.fault_window;
}

auto worker_health::fails_on_good_workers(workload_record& record,
                                          const workload_name& workload,
                                          time_point now) const -> bool
{
    auto& failed_on = record.failed_on;
    for (auto it = failed_on.begin(); it != failed_on.end();)
    {
        const bool old = now - it->second > m_options.fault_window;
        it = old ? failed_on.erase(it) : std::next(it);
    }
    const auto good = std::count_if(failed_on.begin(), failed_on.end(),
                                    [&](const auto& failure)
                                    {
                                        return is_serving_others(failure.first,
                                                                 workload, now);
                                    });
    return static_cast<std::size_t>(good) >= m_options.min_faulty_workers;
}

} // namespace pimentoshunt::policy
