#include <pimentoshunt/cell/owner_view.hpp>

#include <chrono>  // ceil
#include <string>  // string
#include <utility> // move

namespace pimentoshunt::cell
{
namespace
{

auto write_view(const policy::service_view& view, wire::cell_service& out)
    -> void
{
    out.set_incomplete(view.incomplete);
    for (const auto& kind : view.kinds)
    {
        auto& item = *out.add_kinds();
        auto& capacity = *item.mutable_capacity();
        capacity.set_millicpus(kind.capacity.millicpus);
        capacity.set_memory_mb(kind.capacity.memory_mb);
        capacity.set_accelerators(kind.capacity.accelerators);
        for (const auto& label : kind.labels)
        {
            item.add_labels(label);
        }
    }
    for (const auto& start : view.starts)
    {
        auto& item = *out.add_starts();
        item.set_priority(start.priority);
        item.set_start_ms(start.start_in.count());
    }
}

auto read_view(const wire::cell_service& from) -> policy::service_view
{
    policy::service_view out;
    for (const auto& item : from.kinds())
    {
        policy::worker_kind kind;
        kind.capacity.millicpus = item.capacity().millicpus();
        kind.capacity.memory_mb = item.capacity().memory_mb();
        kind.capacity.accelerators = item.capacity().accelerators();
        kind.labels = {item.labels().begin(), item.labels().end()};
        out.add_kind(std::move(kind));
    }
    out.incomplete = out.incomplete || from.incomplete();
    for (const auto& item : from.starts())
    {
        out.starts.push_back({item.priority(), milliseconds(item.start_ms())});
    }
    return out;
}

} // namespace

auto owner_view::update(const scheduler& from, time_point now) -> void
{
    m_pending.clear();
    for (const auto& item : from.pending())
    {
        m_pending[item.queue] = item.pending;
    }
    if (m_kinds_epoch != from.epoch() ||
        m_kinds_version != from.kinds_version() ||
        now - m_kinds_updated_at >= kinds_interval)
    {
        m_kinds_epoch = from.epoch();
        m_kinds_version = from.kinds_version();
        m_kinds_updated_at = now;
        update_kinds(from.worker_kinds(now));
    }
    for (auto& [service, view] : m_services)
    {
        view.starts.clear();
    }
    for (const auto& [service, starts] : from.start_estimates())
    {
        m_services[service].starts = starts;
    }
    m_updated_at = now;
    m_estimated_at = from.passed_at();
}

auto owner_view::update_kinds(
    const std::map<service_name, policy::service_view>& latest) -> void
{
    for (const auto& [service, view] : latest)
    {
        auto& known = m_services[service];
        // Set again below if there are too many kinds.
        known.incomplete = view.incomplete;
        for (const auto& kind : view.kinds)
        {
            known.add_kind(kind);
        }
    }
}

auto owner_view::write(wire::cell_beat& out, time_point now) const -> void
{
    for (const auto& [queue, jobs] : m_pending)
    {
        auto& line = *out.add_pending();
        line.set_queue(queue.str());
        line.set_jobs(jobs);
    }
    for (const auto& [service, view] : m_services)
    {
        auto& item = *out.add_services();
        item.set_name(service.str());
        write_view(view, item);
    }
    out.set_services_age_ms(
        std::chrono::ceil<milliseconds>(now - m_estimated_at).count());
}

auto owner_view::read(const wire::cell_beat& beat, time_point now) -> void
{
    m_pending.clear();
    for (const auto& line : beat.pending())
    {
        m_pending[queue_name(line.queue())] = line.jobs();
    }
    m_services.clear();
    for (const auto& item : beat.services())
    {
        m_services[service_name(item.name())] = read_view(item);
    }
    m_updated_at = now;
    m_estimated_at = now - milliseconds(beat.services_age_ms());
}

auto owner_view::pending_of(const queue_name& queue, time_point now) const
    -> std::optional<std::uint64_t>
{
    if (now - m_updated_at > max_pending_age)
    {
        return std::nullopt;
    }
    const auto found = m_pending.find(queue);
    return found == m_pending.end() ? 0 : found->second;
}

auto owner_view::refusal_of(const job_spec& job, time_point now) const
    -> std::optional<policy::refusal>
{
    const auto found = m_services.find(job.queue.service);
    if (found == m_services.end())
    {
        return std::nullopt;
    }
    return policy::find_refusal(
        job, found->second,
        std::chrono::ceil<milliseconds>(now - m_estimated_at));
}

} // namespace pimentoshunt::cell
