/// @file
/// Tests of histograms, quantiles, the Prometheus output and concurrent use.
#include <pimentoshunt/metrics/registry.hpp>

#include <criterion/criterion.h>

#include <cmath>  // abs
#include <string> // string
#include <thread> // thread
#include <vector> // vector

using pimentoshunt::milliseconds;
using pimentoshunt::metrics::counter;
using pimentoshunt::metrics::gauge;
using pimentoshunt::metrics::log_histogram;
using pimentoshunt::metrics::measure;
using pimentoshunt::metrics::registry;
using pimentoshunt::metrics::time_axis;
using pimentoshunt::plan::work_class;
using pimentoshunt::plan::workload;

namespace
{

auto make_workload(const std::string& name, const std::string& workspace,
                   work_class cls) -> workload
{
    workload item;
    item.name = pimentoshunt::workload_name(name);
    item.workspace = pimentoshunt::workspace_name(workspace);
    item.cls = cls;
    return item;
}

auto contains(const std::string& text, const std::string& line) -> bool
{
    return text.find(line + "\n") != std::string::npos;
}

} // namespace

Test(metrics, quantiles_are_exact_to_within_a_bin)
{
    log_histogram counts(time_axis);
    for (int i = 1; i <= 1000; ++i)
    {
        counts.observe(i * 1e-3);
    }
    cr_assert(std::abs(counts.quantile(0.5) - 0.5) < 0.5 / 8);
    cr_assert(std::abs(counts.quantile(0.99) - 0.99) < 0.99 / 8);
    cr_assert(log_histogram(time_axis).quantile(0.5) == 0);
}

Test(metrics, values_beyond_the_axis_count_at_its_ends)
{
    log_histogram counts(time_axis);
    counts.observe(-1);
    counts.observe(0);
    counts.observe(1e9);
    cr_assert(counts.count() == 3);
    cr_assert(std::abs(counts.quantile(0) - time_axis.lower_limit) < 1e-9);
    cr_assert(std::abs(counts.quantile(1) - time_axis.upper_limit) < 1e-6);
    cr_assert(counts.buckets().back().count == 2);
}

Test(metrics, quantiles_select_by_workspace_and_class)
{
    registry all;
    const auto proof = make_workload("proof", "print", work_class::service);
    const auto render = make_workload("render", "print", work_class::batch);
    all.series(proof).observe(measure::waiting, milliseconds(10));
    all.series(render).observe(measure::waiting, milliseconds(10'000));
    const auto service =
        all.time_quantile(measure::waiting, {"", "service", "", ""}, 0.99);
    cr_assert(service > milliseconds(8) && service < milliseconds(13));
    const auto workspace =
        all.time_quantile(measure::waiting, {"print", "", "", ""}, 1);
    cr_assert(workspace > milliseconds(8'000));
    cr_assert(all.quantile(measure::waiting, {"none", "", "", ""}, 0.5) == 0);
}

Test(metrics, prints_the_prometheus_text)
{
    registry all;
    const auto proof = make_workload("proof", "a\"b", work_class::service);
    all.series(proof).observe(measure::service, milliseconds(20));
    all.series(proof).observe_attempts(2);
    all.set(gauge::plan_revision, 7);
    all.add(counter::answers, {"", "", "", "ok"}, 3);
    const auto text = all.prometheus_text();
    const std::string labels =
        R"(workspace="a\"b",class="service",workload="proof")";
    cr_assert(
        contains(text, "pimentoshunt_service_seconds_count{" + labels + "} 1"));
    cr_assert(contains(text, "pimentoshunt_service_seconds_sum{" + labels +
                                 "} 0.02"));
    cr_assert(contains(text, "pimentoshunt_service_seconds_bucket{" + labels +
                                 ",le=\"0.01\"} 0"));
    cr_assert(contains(text, "pimentoshunt_service_seconds_bucket{" + labels +
                                 ",le=\"+Inf\"} 1"));
    cr_assert(contains(text, "# TYPE pimentoshunt_plan_revision gauge"));
    cr_assert(contains(text, "pimentoshunt_plan_revision 7"));
    cr_assert(contains(text, "pimentoshunt_answers_total{kind=\"ok\"} 3"));
}

Test(metrics, concurrent_observations_are_all_counted)
{
    constexpr std::size_t thread_count = 4;
    constexpr std::size_t each = 1'000;
    registry all;
    std::vector<std::thread> threads;
    threads.reserve(thread_count);
    for (std::size_t i = 0; i < thread_count; ++i)
    {
        threads.emplace_back(
            [&all]
            {
                const auto item = make_workload("w", "t", work_class::batch);
                for (std::size_t n = 0; n < each; ++n)
                {
                    all.series(item).observe(measure::waiting, milliseconds(1));
                    all.add(counter::grants);
                }
            });
    }
    for (auto& thread : threads)
    {
        thread.join();
    }
    cr_assert(all.value(counter::grants) == thread_count * each);
    cr_assert(
        contains(all.prometheus_text(),
                 "pimentoshunt_waiting_seconds_count{workspace=\"t\",class="
                 "\"batch\",workload=\"w\"} 4000"));
}
