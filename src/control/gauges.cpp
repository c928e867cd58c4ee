#include <pimentoshunt/control/gauges.hpp>

namespace pimentoshunt::control
{

auto publish(const gauge_snapshot& seen, metrics::registry& meters) -> void
{
    using metrics::gauge;
    meters.set(gauge::slots_in_use, seen.slots_in_use);
    meters.set(gauge::slots_free, seen.slots_free);
    meters.set(gauge::workers_held, seen.workers_held);
    meters.set(gauge::plan_revision,
               static_cast<std::int64_t>(seen.plan_revision));
    for (const auto& [cls, length] : seen.waiting)
    {
        metrics::label_set labels;
        labels.cls = plan::to_string(cls);
        meters.set(gauge::queue_length, labels, length);
    }
    meters.add(metrics::counter::grants, seen.grants);
}

} // namespace pimentoshunt::control
