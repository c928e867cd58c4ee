/// @file
/// Measures how long a cell of real processes makes no placements after
/// instances were killed, paused or replaced, and how many table operations an
/// idle cell makes. Starts are taken from the records of the workers.
#include "support/balanced_callers.hpp"
#include "support/operator_calls.hpp"
#include "support/wait_until.hpp"

#include <boost/json.hpp> // object, serialize
#include <gflags/gflags.h>

#include <algorithm> // sort
#include <cstdio>    // printf
#include <fstream>   // ofstream
#include <map>       // map
#include <random>    // mt19937_64
#include <string>    // string
#include <vector>    // vector

DEFINE_int32(runs, 20, "runs, one seed each");
DEFINE_int32(first_seed, 1, "seed of the first run");
DEFINE_string(json, "", "file for the results as JSON");

namespace
{

using namespace pimentoshunt::testing;
using pimentoshunt::boot_clock;
using pimentoshunt::milliseconds;
using pimentoshunt::time_point;

constexpr std::size_t instance_count = 8;
constexpr std::int64_t worker_count = 32;
constexpr std::size_t worker_processes = 4;
constexpr milliseconds max_wait{20'000};
constexpr milliseconds poll_interval{5};
constexpr milliseconds idle_time{4'000};
constexpr milliseconds load_time_before_failure{500};

/// @brief Values of one figure over all runs.
struct measurements
{
    std::string unit;
    std::vector<double> values;
};

using results = std::map<std::string, measurements>;

auto add_value(results& all, const std::string& name, const char* unit,
               double value) -> void
{
    auto& item = all[name];
    item.unit = unit;
    item.values.push_back(value);
}

auto since(time_point begun) -> double
{
    return static_cast<double>(
        std::chrono::duration_cast<milliseconds>(boot_clock::now() - begun)
            .count());
}

auto to_us(time_point when) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               when.time_since_epoch())
        .count();
}

auto wait_for(milliseconds time) -> void
{
    const auto end = boot_clock::now() + time;
    static_cast<void>(wait_until(
        [&]
        {
            return boot_clock::now() >= end;
        },
        time + max_wait));
}

/// Longest time without the start of a request or task in the cell, in ms.
auto longest_gap(const cell& tested_cell, time_point begun, time_point end)
    -> double
{
    std::vector<std::int64_t> starts{to_us(begun), to_us(end)};
    for (const auto& event : tested_cell.collect_history({}).events)
    {
        if (event.kind == observed_kind::start && event.at_us > to_us(begun) &&
            event.at_us < to_us(end))
        {
            starts.push_back(event.at_us);
        }
    }
    std::sort(starts.begin(), starts.end());
    std::int64_t longest = 0;
    for (std::size_t i = 1; i < starts.size(); ++i)
    {
        longest = std::max(longest, starts[i] - starts[i - 1]);
    }
    constexpr double us_per_ms = 1'000;
    return static_cast<double>(longest) / us_per_ms;
}

/// Number of workers held by instances other than the affected ones.
auto held_by_others(cell& tested_cell, const std::vector<std::size_t>& affected)
    -> std::int64_t
{
    std::int64_t held = 0;
    for (std::size_t i = 0; i < tested_cell.instances().size(); ++i)
    {
        const bool is_affected =
            std::find(affected.begin(), affected.end(), i) != affected.end();
        held +=
            is_affected ? 0 : count_owned_workers(tested_cell.instances()[i]);
    }
    return held;
}

enum class failure_mode
{
    killed,
    paused
};

auto inject_failure(cell& tested_cell, const std::vector<std::size_t>& affected,
                    failure_mode mode) -> void
{
    for (const auto number : affected)
    {
        auto& program = tested_cell.instances()[number].program;
        if (mode == failure_mode::killed)
        {
            program.kill();
        }
        else
        {
            program.pause();
        }
    }
}

auto recover(cell& tested_cell, const std::vector<std::size_t>& affected,
             failure_mode mode) -> void
{
    for (const auto number : affected)
    {
        if (mode == failure_mode::killed)
        {
            tested_cell.restart_instance(number);
        }
        else
        {
            tested_cell.instances()[number].program.resume();
        }
    }
    const auto is_recovered = [&]
    {
        return are_workers_owned(tested_cell, worker_count);
    };
    for (const auto number : affected)
    {
        static_cast<void>(tested_cell.wait_ready(number, max_wait));
    }
    static_cast<void>(wait_until(is_recovered, max_wait));
}

/// Kills or pauses instances under load, measures the takeover of their
/// workers, and recovers the instances.
auto measure_failure(results& all, cell& tested_cell, const std::string& name,
                     const std::vector<std::size_t>& affected,
                     failure_mode mode, std::uint64_t seed) -> void
{
    balanced_caller_options callers;
    callers.seed = seed;
    callers.id_prefix = name;
    callers.callers = 16;
    callers.timeout = milliseconds{2'000};
    balanced_callers load(tested_cell, callers);
    wait_for(load_time_before_failure);
    const auto begun = boot_clock::now();
    inject_failure(tested_cell, affected, mode);
    const bool taken_over = wait_until(
        [&]
        {
            return held_by_others(tested_cell, affected) == worker_count;
        },
        max_wait, poll_interval);
    const auto end = boot_clock::now();
    if (!taken_over)
    {
        add_value(all, name + ": not taken over", "runs", 1);
    }
    add_value(all, name + ": until all workers are held", "ms", since(begun));
    add_value(all, name + ": longest time without a start", "ms",
              longest_gap(tested_cell, begun, end));
    load.stop();
    recover(tested_cell, affected, mode);
}

auto measure_replacement(results& all, cell& tested_cell) -> void
{
    const auto begun = boot_clock::now();
    for (auto& instance : tested_cell.instances())
    {
        instance.program.kill();
    }
    for (std::size_t i = 0; i < tested_cell.instances().size(); ++i)
    {
        tested_cell.restart_instance(i);
    }
    int number = 0;
    const bool serves = wait_until(
        [&]
        {
            call_spec spec;
            spec.request_id = "replaced-" + std::to_string(++number);
            spec.timeout = milliseconds{1'000};
            return call(tested_cell.instances()[0].caller_port, spec).status ==
                   200;
        },
        max_wait, poll_interval);
    if (!serves)
    {
        add_value(all, "all 8 replaced: never served", "runs", 1);
    }
    add_value(all, "all 8 replaced: until a request is served", "ms",
              since(begun));
    static_cast<void>(wait_until(
        [&]
        {
            return are_workers_owned(tested_cell, worker_count);
        },
        max_wait, poll_interval));
    add_value(all, "all 8 replaced: until all workers are held", "ms",
              since(begun));
}

auto count_of(const boost::json::object& stats, const char* name) -> double
{
    return stats.at(name).to_number<double>();
}

auto measure_idle(results& all, cell& tested_cell) -> void
{
    const auto before = tested_cell.platform_stats();
    const auto begun = boot_clock::now();
    wait_for(idle_time);
    const auto after = tested_cell.platform_stats();
    constexpr double ms_per_s = 1'000;
    const auto seconds = since(begun) / ms_per_s;
    for (const auto* const name : {"reads", "writes"})
    {
        add_value(all, std::string("table in quiet: ") + name, "a second",
                  (count_of(after, name) - count_of(before, name)) / seconds);
    }
}

auto run_once(results& all, std::uint64_t seed) -> bool
{
    cell_options options;
    options.instances = instance_count;
    // Every instance keeps connections to every worker, and a stand-in process
    // serves at most 400 connections, too few for all workers in one process.
    options.worker_processes = worker_processes;
    options.workers_per_process = worker_count / worker_processes;
    options.seed = seed;
    cell tested_cell(options);
    const auto start_error =
        start_with_plan(tested_cell, plan_text(), worker_count);
    if (!start_error.empty())
    {
        std::printf("seed %lu: %s\n", seed, start_error.c_str());
        return false;
    }
    std::mt19937_64 random(seed);
    // Instances are assigned to the three data centres in turn, so 0, 3 and 6
    // are in the same one.
    const std::vector<std::size_t> one{random() % instance_count};
    const std::vector<std::size_t> data_centre{0, 3, 6};
    const std::vector<std::size_t> owner{random() % instance_count};
    measure_idle(all, tested_cell);
    measure_failure(all, tested_cell, "1 of 8 killed", one,
                    failure_mode::killed, seed);
    measure_failure(all, tested_cell, "3 of 8 killed", data_centre,
                    failure_mode::killed, seed);
    measure_failure(all, tested_cell, "1 of 8 paused", owner,
                    failure_mode::paused, seed);
    measure_replacement(all, tested_cell);
    return true;
}

auto report(results& all) -> boost::json::object
{
    boost::json::object out;
    std::printf("%-52s %8s %10s %10s  %s\n", "figure", "runs", "median",
                "worst", "unit");
    for (auto& [name, item] : all)
    {
        std::sort(item.values.begin(), item.values.end());
        const auto median = item.values[item.values.size() / 2];
        const auto worst = item.values.back();
        std::printf("%-52s %8zu %10.1f %10.1f  %s\n", name.c_str(),
                    item.values.size(), median, worst, item.unit.c_str());
        out[name] = boost::json::object{{"runs", item.values.size()},
                                        {"median", median},
                                        {"worst", worst},
                                        {"unit", item.unit}};
    }
    return out;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    results all;
    int failed = 0;
    for (int run = 0; run < FLAGS_runs; ++run)
    {
        const auto seed = static_cast<std::uint64_t>(FLAGS_first_seed) +
                          static_cast<std::uint64_t>(run);
        failed += run_once(all, seed) ? 0 : 1;
    }
    const auto out = report(all);
    std::printf("runs that did not start: %d\n", failed);
    if (!FLAGS_json.empty())
    {
        std::ofstream file(FLAGS_json);
        file << boost::json::serialize(out) << "\n";
    }
    return failed == 0 ? 0 : 1;
}
