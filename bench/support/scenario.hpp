/// @file
/// Helpers for the scenarios of policy_quality: seeded arrivals, latency
/// percentiles and output.
#pragma once

#include "ideal_queue.hpp"
#include "quality_run.hpp"
#include "random_choice.hpp"

#include <boost/json/value.hpp> // object

#include <algorithm>  // sort, stable_sort
#include <chrono>     // duration
#include <cmath>      // fmod, log
#include <functional> // function
#include <iomanip>    // setw
#include <iostream>   // cout
#include <random>     // mt19937_64, exponential_distribution
#include <string>     // string
#include <vector>     // vector

namespace pimentoshunt::bench
{

using real_s = std::chrono::duration<double>;
using real_ms = std::chrono::duration<double, std::milli>;

constexpr std::size_t entry_count = 8;
constexpr double proof_mean_s = 0.04;
constexpr double render_mean_s = 4.0;
/// Arrivals before this time are served, but not counted in the results.
constexpr double warm_up_s = 10.0;

inline auto to_nanoseconds(double seconds) -> nanoseconds
{
    return std::chrono::duration_cast<nanoseconds>(real_s(seconds));
}

/// @brief Parameters of the arrivals of one workload.
struct arrival_source
{
    std::size_t workload = 0;
    /// Mean run time in seconds.
    double mean_s = 0;
    /// Sigma of the log-normal distribution of run times.
    double spread = 0.5;
    /// Arrivals per second, as a function of the time in seconds.
    std::function<double(double)> rate;
    /// Upper bound of @ref rate.
    double highest_rate = 0;
};

/// @brief Adds open-loop arrivals of @p from until the time @p end_s.
inline auto add_arrivals(std::vector<arrival>& all, const arrival_source& from,
                         double end_s, std::mt19937_64& random) -> void
{
    std::exponential_distribution<double> gap(from.highest_rate);
    std::uniform_real_distribution<double> keep(0.0, from.highest_rate);
    const auto middle = std::log(from.mean_s) - from.spread * from.spread / 2;
    std::lognormal_distribution<double> run(middle, from.spread);
    for (double at = gap(random); at < end_s; at += gap(random))
    {
        // The rate varies, so arrivals are drawn at the highest rate and
        // thinned out in proportion to the current rate.
        if (keep(random) > from.rate(at))
        {
            continue;
        }
        all.push_back({to_nanoseconds(at), to_nanoseconds(run(random)),
                       from.workload, random() % entry_count});
    }
}

inline auto sort_by_time(std::vector<arrival>& all) -> void
{
    std::stable_sort(all.begin(), all.end(),
                     [](const arrival& left, const arrival& right)
                     {
                         return left.at < right.at;
                     });
}

inline auto make_workload(const std::string& name, const std::string& workspace,
                          plan::work_class cls, milliseconds deadline)
    -> plan::workload
{
    plan::workload made;
    made.name = workload_name(name);
    made.workspace = workspace_name(workspace);
    made.cls = cls;
    made.each = {1, 1'000, 1'000, 0};
    made.deadline = deadline;
    // The declared run time is far from the actual ones for all workloads.
    made.run_time = milliseconds(1'000);
    return made;
}

inline auto p99(std::vector<double> values) -> double
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[values.size() * 99 / 100];
}

inline auto is_counted(const arrival& item, std::size_t workload) -> bool
{
    return item.workload == workload && item.at > to_nanoseconds(warm_up_s);
}

/// @brief 99th percentile, in ms, of @p value over the counted arrivals of one
/// workload.
/// @param value  maps the index of an arrival to a duration
inline auto p99_of(const std::vector<arrival>& arrivals, std::size_t workload,
                   const std::function<real_ms(std::size_t)>& value) -> double
{
    std::vector<double> all;
    for (std::size_t i = 0; i < arrivals.size(); ++i)
    {
        if (is_counted(arrivals[i], workload))
        {
            all.push_back(value(i).count());
        }
    }
    return p99(std::move(all));
}

/// @brief 99th percentiles of the wait and of the time to the answer.
struct tail_latency
{
    double wait_ms = 0;
    double answer_ms = 0;
};

template<class Wait>
auto tail_latency_of(const std::vector<arrival>& arrivals, std::size_t workload,
                     Wait&& wait) -> tail_latency
{
    return {p99_of(arrivals, workload, wait),
            p99_of(arrivals, workload,
                   [&](std::size_t i)
                   {
                       return real_ms(wait(i) + arrivals[i].run_time);
                   })};
}

inline auto tail_latency_of(const std::vector<arrival>& arrivals,
                            std::size_t workload,
                            const simulation_result& result) -> tail_latency
{
    return tail_latency_of(arrivals, workload,
                           [&](std::size_t i)
                           {
                               return result.all[i].wait;
                           });
}

enum class ideal_order
{
    first_come,
    services_first
};

inline auto ideal_tail_latency(const plan::document& document,
                               const std::vector<arrival>& arrivals,
                               std::size_t slots, std::size_t workload,
                               ideal_order order) -> tail_latency
{
    std::vector<ideal_request> requests;
    requests.reserve(arrivals.size());
    for (const auto& item : arrivals)
    {
        const auto& of = document.workloads[item.workload];
        const bool later = order == ideal_order::services_first &&
                           of.cls != plan::work_class::service;
        requests.push_back({item.at, item.run_time, later ? 1 : 0, item.at});
    }
    const auto answers = ideal_queue(requests, slots);
    return tail_latency_of(arrivals, workload,
                           [&](std::size_t i)
                           {
                               return answers[i].wait;
                           });
}

inline auto random_tail_latency(const std::vector<arrival>& arrivals,
                                const simulation_setup& setup,
                                std::size_t workload, int choices,
                                unsigned seed) -> tail_latency
{
    const auto waits = random_choice(
        arrivals, setup.owners * setup.workers_per_owner,
        static_cast<std::size_t>(setup.slots_per_worker), choices, seed);
    return tail_latency_of(arrivals, workload,
                           [&](std::size_t i)
                           {
                               return waits[i];
                           });
}

inline auto print_tail_latency(boost::json::object& out,
                               const std::string& name,
                               const tail_latency& value) -> void
{
    std::cout << "  " << std::left << std::setw(38) << name << std::right
              << std::setw(11) << value.wait_ms << std::setw(12)
              << value.answer_ms << "\n";
    out[name] = {{"wait_p99_ms", value.wait_ms},
                 {"answer_p99_ms", value.answer_ms}};
}

inline auto print_value(boost::json::object& out, const std::string& name,
                        double value) -> void
{
    std::cout << "  " << std::left << std::setw(38) << name << std::right
              << std::setw(11) << value << "\n";
    out[name] = value;
}

inline auto print_header(const std::string& name) -> void
{
    std::cout << name << "\n  " << std::left << std::setw(38) << ""
              << std::right << std::setw(11) << "wait p99" << std::setw(12)
              << "answer p99"
              << " (ms)\n";
}

/// @brief Load that alternates between a low and a high level.
/// @param slots  number of slots of the cell
/// @param low  load between peaks, as a fraction of the slots
/// @param high  load during peaks, as a fraction of the slots
/// @param period_s  time from peak to peak, in seconds
/// @param peak_s  length of a peak, in seconds
inline auto periodic_load(double slots, double low, double high,
                          double period_s, double peak_s) -> arrival_source
{
    const auto top = slots * high / proof_mean_s;
    const auto bottom = slots * low / proof_mean_s;
    const auto rate = [=](double at)
    {
        return std::fmod(at, period_s) < period_s - peak_s ? bottom : top;
    };
    return {0, proof_mean_s, 0.5, rate, top};
}

} // namespace pimentoshunt::bench
