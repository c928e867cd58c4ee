// Run times and speeds: feeds the model with ended runs, and derives from it
// what workers a step prefers.
#include <pimentoshunt/cell/scheduler.hpp>

#include <pimentoshunt/logging.hpp>

#include <chrono>  // duration_cast
#include <cmath>   // log
#include <string>  // string, to_string
#include <utility> // move

namespace pimentoshunt::cell
{
namespace
{

/// Interval at which the workers' speeds are computed anew.
constexpr milliseconds refresh_interval{500};
/// Interval of log lines with the speeds by kind.
constexpr milliseconds speeds_log_interval{10'000};

auto kind_of(const worker_entry& entry) -> std::string
{
    return entry.labels.empty() ? std::string() : entry.labels.front();
}

} // namespace

/// Learns from a run that ends `done`. Only what this owner has started whole
/// shows a run time: its start is known, and neither a checkpoint, distance from
/// the data nor other members of a gang have changed it.
auto scheduler::learn_run_time(const worker_record& worker,
                               const run_record& run,
                               const task_location& location, time_point now)
    -> void
{
    const bool is_measured = run.is_whole && run.first_seen_at &&
                             run.phase == detail::run_phase::running;
    if (!is_measured || location.task == nullptr || location.task->done)
    {
        return;
    }
    const auto& spec = *location.step->spec;
    if (spec.gang || spec.filler || spec.lasting ||
        (!spec.data_rack.empty() && spec.data_rack != worker.entry.rack))
    {
        return;
    }
    policy::ended_run ended;
    ended.worker = worker.entry.id;
    ended.kind = kind_of(worker.entry);
    ended.queue = location.job->spec->queue.name;
    ended.declared = spec.estimate;
    ended.took =
        std::chrono::duration_cast<milliseconds>(now - *run.first_seen_at);
    ended.index = run.run.task.index;
    ended.tasks = spec.count;
    m_run_times.learn(ended, location.step->times);
}

auto scheduler::refresh_speeds(time_point now) -> void
{
    if (now - m_speeds_refreshed_at < refresh_interval ||
        !m_run_times.changed())
    {
        return;
    }
    m_speeds_refreshed_at = now;
    std::vector<policy::present_worker> present;
    std::map<service_name, std::vector<const worker_record*>> by_service;
    present.reserve(m_workers.size());
    for (const auto& [id, worker] : m_workers)
    {
        present.push_back({id, kind_of(worker.entry)});
    }
    m_run_times.refresh(present);
    for (auto& [id, worker] : m_workers)
    {
        worker.speed = m_run_times.speed_of(id, kind_of(worker.entry));
        worker.log_speed = std::log(worker.speed);
        if (worker.registered && !worker.ended)
        {
            by_service[worker.entry.service].push_back(&worker);
        }
    }
    m_speed_ranges.clear();
    for (auto& [service, workers] : by_service)
    {
        m_speed_ranges[service] = policy::range_of(std::move(workers));
    }
    log_speeds(now);
}

auto scheduler::log_speeds(time_point now) -> void
{
    if (now - m_speeds_logged_at < speeds_log_interval ||
        !logging::is_enabled(logging::level::info))
    {
        return;
    }
    m_speeds_logged_at = now;
    std::string kinds;
    for (const auto& [kind, speed] : m_run_times.learned().kinds)
    {
        kinds +=
            (kinds.empty() ? "" : " ") + kind + ":" + std::to_string(speed);
    }
    for (const auto& [service, range] : m_speed_ranges)
    {
        logging::info("speeds of workers")
            .with("epoch", m_epoch)
            .with("service", service)
            .with("kinds", kinds)
            .with("differ", range.differ)
            .with("slow", range.slow)
            .with("fast", range.fast)
            .with("fast_free", range.fast_free);
    }
}

auto scheduler::preference_of(const policy::waiting_step& item,
                              time_point now) const -> policy::speed_preference
{
    const auto range = m_speed_ranges.find(item.job->spec->queue.service);
    if (range == m_speed_ranges.end() || !range->second.differ)
    {
        return {};
    }
    const auto factor = time_factor(item);
    auto dated = item;
    if (dated.due == time_point{})
    {
        // A step whose approval is requested before it is ready.
        policy::compute_deadlines(dated, now, factor);
    }
    return policy::preference_of(dated, range->second, factor, now);
}

/// Factor between declared and real run times of the step's queue.
auto scheduler::time_factor(const policy::waiting_step& item) const -> double
{
    return m_run_times.factor_of(item.job->spec->queue.name);
}

} // namespace pimentoshunt::cell
