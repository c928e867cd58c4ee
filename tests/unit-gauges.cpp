/// @file
/// Tests that a gauge snapshot of the control thread is written to the metrics.
#include <pimentoshunt/control/gauges.hpp>

#include <criterion/criterion.h>

using namespace pimentoshunt;

Test(gauges, a_snapshot_becomes_metrics)
{
    metrics::registry meters;
    control::gauge_snapshot seen;
    seen.slots_in_use = 3;
    seen.slots_free = 5;
    seen.workers_held = 2;
    seen.plan_revision = 41;
    seen.waiting[plan::work_class::service] = 7;
    seen.waiting[plan::work_class::gang] = 0;
    seen.grants = 4;
    control::publish(seen, meters);
    control::publish(seen, meters);
    using metrics::gauge;
    cr_expect_eq(meters.value(gauge::slots_in_use), 3);
    cr_expect_eq(meters.value(gauge::slots_free), 5);
    cr_expect_eq(meters.value(gauge::workers_held), 2);
    cr_expect_eq(meters.value(gauge::plan_revision), 41);
    metrics::label_set service;
    service.cls = "service";
    cr_expect_eq(meters.value(gauge::queue_length, service), 7);
    cr_expect_eq(meters.value(metrics::counter::grants), 8u);
}
