/// @file
/// Waiting times and answers of a load test, by workload and workspace.
#pragma once

#include "ideal_queue.hpp"
#include "open_loop.hpp"

#include <boost/json.hpp> // object

#include <algorithm> // sort, max
#include <chrono>    // duration
#include <cstdio>    // printf
#include <map>       // map
#include <string>    // string
#include <vector>    // vector

namespace pimentoshunt::bench
{

/// @brief Returns quantile @p q (0 to 1) in milliseconds; 0 if there are no
/// values.
[[nodiscard]] inline auto quantile_ms(std::vector<nanoseconds> values, double q)
    -> double
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    const auto& value = values[static_cast<std::size_t>(last * q)];
    return std::chrono::duration<double, std::milli>(value).count();
}

/// @brief Serves the same arrivals with the ideal queue, which knows all run
///        times and drops a request that can no longer end before its deadline.
[[nodiscard]] inline auto
simulate_ideal_queue(const std::vector<planned_call>& calls, std::size_t slots)
    -> std::vector<ideal_answer>
{
    std::vector<ideal_request> requests;
    requests.reserve(calls.size());
    for (const auto& call : calls)
    {
        requests.push_back({call.at, call.run_time, -call.priority,
                            call.at + call.deadline,
                            call.at + call.deadline - call.run_time});
    }
    return ideal_queue(requests, slots);
}

/// @brief Results of one workload of a workspace, beside those of the ideal
/// queue.
struct class_report
{
    std::size_t offered = 0;
    std::map<std::string, std::size_t> kinds;
    std::vector<nanoseconds> waits;
    std::vector<nanoseconds> ideal_waits;
    std::size_t ideal_started = 0;
    double run_seconds = 0;
    double ideal_run_seconds = 0;
};

/// @brief Status of an answer and the value of its header Pimentoshunt-Ran.
[[nodiscard]] inline auto answer_kind(const call_outcome& outcome)
    -> std::string
{
    if (outcome.status == 0)
    {
        return "no answer";
    }
    return std::to_string(outcome.status) + " " + outcome.ran;
}

/// @brief Groups results by "workload/workspace".
/// @param outcomes  at the same indices as @p calls
/// @param slots  number of slots of the cell
[[nodiscard]] inline auto
report_by_class(const std::vector<planned_call>& calls,
                const std::vector<call_outcome>& outcomes, std::size_t slots)
    -> std::map<std::string, class_report>
{
    const auto ideal = simulate_ideal_queue(calls, slots);
    std::map<std::string, class_report> reports;
    for (std::size_t i = 0; i < calls.size(); ++i)
    {
        auto& report = reports[calls[i].workload + "/" + calls[i].workspace];
        const auto seconds =
            std::chrono::duration<double>(calls[i].run_time).count();
        ++report.offered;
        ++report.kinds[answer_kind(outcomes[i])];
        if (outcomes[i].ran == "yes" && outcomes[i].status == 200)
        {
            report.waits.push_back(outcomes[i].latency - calls[i].run_time);
            report.run_seconds += seconds;
        }
        if (ideal[i].started)
        {
            report.ideal_waits.push_back(ideal[i].wait);
            report.ideal_run_seconds += seconds;
            ++report.ideal_started;
        }
    }
    return reports;
}

/// @brief Prints a report and returns it as JSON.
inline auto print_class_report(const std::string& name,
                               const class_report& report)
    -> boost::json::object
{
    const auto answered = report.waits.size();
    const auto p50 = quantile_ms(report.waits, 0.5);
    const auto p99 = quantile_ms(report.waits, 0.99);
    const auto ideal_p50 = quantile_ms(report.ideal_waits, 0.5);
    const auto ideal_p99 = quantile_ms(report.ideal_waits, 0.99);
    std::printf("%-24s offered %6zu answered %6zu (ideal %6zu) goodput/ideal "
                "%.3f\n    wait p50 %.1f p99 %.1f ms, ideal p50 %.1f p99 "
                "%.1f ms\n   ",
                name.c_str(), report.offered, answered, report.ideal_started,
                report.run_seconds / std::max(report.ideal_run_seconds, 1e-9),
                p50, p99, ideal_p50, ideal_p99);
    boost::json::object kinds;
    for (const auto& [kind, count] : report.kinds)
    {
        std::printf(" [%s: %zu]", kind.c_str(), count);
        kinds[kind] = count;
    }
    std::printf("\n");
    return {{"class", name},
            {"offered", report.offered},
            {"answered", answered},
            {"ideal_started", report.ideal_started},
            {"run_seconds", report.run_seconds},
            {"ideal_run_seconds", report.ideal_run_seconds},
            {"wait_p50_ms", p50},
            {"wait_p99_ms", p99},
            {"ideal_wait_p50_ms", ideal_p50},
            {"ideal_wait_p99_ms", ideal_p99},
            {"answers", kinds}};
}

} // namespace pimentoshunt::bench
