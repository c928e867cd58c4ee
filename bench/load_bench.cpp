/// @file
/// Load test of a cell of real instances and stand-in workers. Sends seeded
/// open-loop arrivals, and reports waiting times beside those of an ideal queue
/// and the processor, network and table use of the instances.
#include "support/class_report.hpp"
#include "support/open_loop.hpp"
#include "support/process_meter.hpp"

#include <support/cell.hpp>
#include <support/wait_until.hpp>

#include <boost/json.hpp> // object
#include <gflags/gflags.h>
#include <httplib.h>

#include <algorithm> // sort, max
#include <csignal>   // signal
#include <cstdio>    // printf
#include <fstream>   // ofstream
#include <map>       // map
#include <memory>    // unique_ptr
#include <set>       // set
#include <thread>    // sleep_for

DEFINE_string(scenario, "dock",
              "dock, proofs, proofs_alone, fair, fair_alone, steady or idle");
DEFINE_uint64(seed, 1, "seed of arrivals and run times");
DEFINE_uint64(instances, 8, "number of instances");
DEFINE_uint64(workers, 48, "number of workers");
DEFINE_uint64(worker_processes, 4, "processes that hold the workers");
DEFINE_uint64(slots, 8, "slots per worker");
DEFINE_uint64(client_threads, 2400, "maximum number of calls in flight");
DEFINE_double(rate, 1'000, "steady: arrivals per second");
DEFINE_int32(seconds, 8, "steady and idle: length in seconds");
DEFINE_int32(run_ms, 40, "steady: run time in ms");
DEFINE_int32(inspect_interval_ms, 1'000, "setting of the instances");
DEFINE_uint64(idle_connections, 0, "idle: connections without requests");
DEFINE_int32(list_interval_ms, 1'000, "setting of the instances");
DEFINE_string(json, "", "file for the report");

namespace
{

namespace json = boost::json;
using namespace pimentoshunt;
using namespace pimentoshunt::bench;
using nanoseconds = std::chrono::nanoseconds;

constexpr milliseconds ready_timeout{20'000};
/// Time for initial connections and the first inspections of workers, which
/// are not to be measured.
constexpr milliseconds warm_up_time{2'000};

/// A load to be run, and what the plan needs for it.
struct scenario
{
    std::vector<planned_call> calls;
    std::vector<arrival_kind> kinds;
    json::object workspace_slots;
    milliseconds idle{0};
};

auto slots() -> double
{
    return static_cast<double>(FLAGS_workers * FLAGS_slots);
}

auto mean_run_seconds(const arrival_kind& kind) -> double
{
    return static_cast<double>((kind.shortest_run + kind.longest_run).count()) /
           2e3;
}

/// Adds arrivals; the rates of @p phases are fractions of the cell's capacity.
auto add_load(scenario& made, const arrival_kind& kind,
              std::vector<rate_phase> phases, std::uint64_t seed) -> void
{
    for (auto& phase : phases)
    {
        phase.per_second *= slots() / mean_run_seconds(kind);
    }
    made.kinds.push_back(kind);
    made.workspace_slots[kind.workspace] =
        static_cast<std::int64_t>(FLAGS_workers * FLAGS_slots);
    add_arrivals(made.calls, kind, phases, seed);
}

/// Load that changes from low to about the capacity, to twice the capacity and
/// back to low.
auto make_dock_scenario() -> scenario
{
    using ms = milliseconds;
    scenario made;
    const auto load_phases = [](double share) -> std::vector<rate_phase>
    {
        return {{ms(2'000), 0.2 * share},
                {ms(3'000), 0.95 * share},
                {ms(3'000), 2.0 * share},
                {ms(3'000), 0.2 * share}};
    };
    add_load(made, {"bookings", "dock", 5, ms(200), ms(600), ms(1'200), true},
             load_phases(0.8), FLAGS_seed);
    add_load(
        made,
        {"certificates", "hospitals", 5, ms(200), ms(600), ms(1'200), true},
        load_phases(0.2), FLAGS_seed + 1);
    return made;
}

/// Short requests, with or without long ones whose load equals the capacity.
auto make_proofs_scenario(bool with_renders) -> scenario
{
    using ms = milliseconds;
    scenario made;
    add_load(
        made, {"proofs", "print-shops", 8, ms(100), ms(300), ms(5'000), true},
        {{ms(3'000), 0.2}, {ms(3'000), 0.5}, {ms(3'000), 0.2}}, FLAGS_seed);
    if (with_renders)
    {
        add_load(
            made,
            {"renders", "libraries", 1, ms(3'000), ms(5'000), ms(60'000), true},
            {{ms(9'000), 1.0}}, FLAGS_seed + 1);
    }
    return made;
}

/// Three workspaces within their quota, with or without a fourth that demands
/// ten times its quota.
auto make_fairness_scenario(bool with_overload) -> scenario
{
    using ms = milliseconds;
    scenario made;
    for (const auto* const name : {"a", "b", "c"})
    {
        add_load(made, {name, name, 5, ms(100), ms(300), ms(1'500), true},
                 {{ms(6'000), 0.2}}, FLAGS_seed + made.kinds.size());
        made.workspace_slots[name] = static_cast<std::int64_t>(slots() * 0.3);
    }
    if (with_overload)
    {
        add_load(made, {"hog", "hog", 5, ms(100), ms(300), ms(1'500), true},
                 {{ms(1'500), 0.1}, {ms(3'000), 1.0}, {ms(1'500), 0.1}},
                 FLAGS_seed + 9);
        made.workspace_slots["hog"] = static_cast<std::int64_t>(slots() * 0.1);
    }
    return made;
}

auto make_steady_scenario() -> scenario
{
    scenario made;
    const arrival_kind kind{"bookings",
                            "dock",
                            5,
                            milliseconds(FLAGS_run_ms),
                            milliseconds(FLAGS_run_ms),
                            milliseconds(5'000),
                            true};
    const auto share = FLAGS_rate * mean_run_seconds(kind) / slots();
    add_load(made, kind, {{milliseconds(FLAGS_seconds * 1'000), share}},
             FLAGS_seed);
    return made;
}

auto make_scenario() -> scenario
{
    const auto& name = FLAGS_scenario;
    if (name == "dock")
    {
        return make_dock_scenario();
    }
    if (name == "proofs" || name == "proofs_alone")
    {
        return make_proofs_scenario(name == "proofs");
    }
    if (name == "fair" || name == "fair_alone")
    {
        return make_fairness_scenario(name == "fair");
    }
    if (name == "steady")
    {
        return make_steady_scenario();
    }
    scenario idle;
    idle.idle = milliseconds(FLAGS_seconds * 1'000);
    return idle;
}

auto plan_text(const scenario& made) -> std::string
{
    json::array workspaces;
    for (const auto& item : made.workspace_slots)
    {
        workspaces.push_back(
            {{"name", item.key()}, {"quota", {{"slots", item.value()}}}});
    }
    json::array services;
    for (const auto& kind : made.kinds)
    {
        const auto run =
            static_cast<std::int64_t>(mean_run_seconds(kind) * 1e3);
        services.push_back({{"name", kind.workload},
                            {"workspace", kind.workspace},
                            {"run_time_ms", run},
                            {"deadline_ms", kind.deadline.count()},
                            {"priority", kind.priority}});
    }
    return json::serialize(
        json::object{{"workspaces", workspaces}, {"services", services}});
}

/// Submits the plan and waits until it is in force on all instances and all
/// workers are open.
auto install_plan(testing::cell& cell, const scenario& made) -> bool
{
    httplib::Client client("127.0.0.1", cell.instances()[0].operator_port);
    const auto answer =
        client.Put("/plan?revision=0", plan_text(made), "application/json");
    if (!answer || answer->status != 200)
    {
        std::fprintf(stderr, "the plan was not accepted: %s\n",
                     answer ? answer->body.c_str() : "no answer");
        return false;
    }
    const auto in_force = [&]
    {
        std::size_t held = 0;
        for (auto& instance : cell.instances())
        {
            const auto text =
                testing::http_get(instance.operator_port, "/status");
            const auto status = text ? json::parse(*text) : json::value();
            if (!status.is_object() ||
                status.at("plan").at("revision").to_number<int>() < 1)
            {
                return false;
            }
            for (const auto& worker : status.at("workers").as_array())
            {
                held += worker.at("state").as_string() == "open" ? 1 : 0;
            }
        }
        return held == FLAGS_workers;
    };
    return testing::wait_until(in_force, ready_timeout);
}

auto pids_of(testing::cell& cell) -> std::vector<pid_t>
{
    std::vector<pid_t> pids;
    for (auto& instance : cell.instances())
    {
        pids.push_back(instance.program.pid());
    }
    return pids;
}

struct snapshot
{
    resource_usage use;
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    time_point at;
};

auto measure_snapshot(testing::cell& cell) -> snapshot
{
    snapshot taken;
    taken.use = measure_usage(pids_of(cell));
    const auto stats = cell.platform_stats();
    taken.reads = stats.at("reads").to_number<std::int64_t>();
    taken.writes = stats.at("writes").to_number<std::int64_t>();
    taken.at = boot_clock::now();
    return taken;
}

/// Prints the resource use between two snapshots, for each instance and second,
/// and for each of @p answered requests if there were any.
auto print_resource_usage(const snapshot& before, const snapshot& after,
                          std::size_t answered) -> json::object
{
    const auto used = after.use - before.use;
    const auto seconds =
        std::chrono::duration<double>(after.at - before.at).count();
    const auto each = static_cast<double>(FLAGS_instances) * seconds;
    json::object cost{
        {"seconds", seconds},
        {"cpu_seconds", used.cpu_seconds},
        {"control_percent_an_instance", 100 * used.control_cpu_seconds / each},
        {"core_percent_an_instance", 100 * used.cpu_seconds / each},
        {"sent_bytes_a_second_an_instance",
         static_cast<double>(used.sent_bytes) / each},
        {"received_bytes_a_second_an_instance",
         static_cast<double>(used.received_bytes) / each},
        {"segments_a_second_an_instance",
         static_cast<double>(used.data_segments) / each},
        {"resident_mb_an_instance", static_cast<double>(after.use.resident_kb) /
                                        1024 /
                                        static_cast<double>(FLAGS_instances)},
        {"threads_an_instance", static_cast<double>(after.use.threads) /
                                    static_cast<double>(FLAGS_instances)},
        {"table_reads_a_second",
         static_cast<double>(after.reads - before.reads) / seconds},
        {"table_writes_a_second",
         static_cast<double>(after.writes - before.writes) / seconds}};
    if (answered > 0)
    {
        const auto count = static_cast<double>(answered);
        cost["control_ms_a_placement"] = 1e3 * used.control_cpu_seconds / count;
        cost["cpu_ms_a_placement"] = 1e3 * used.cpu_seconds / count;
        cost["sent_bytes_a_placement"] =
            static_cast<double>(used.sent_bytes) / count;
    }
    for (const auto& item : cost)
    {
        std::printf("  %-34s %.2f\n", std::string(item.key()).c_str(),
                    item.value().to_number<double>());
    }
    return cost;
}

/// Opens connections that stay open after one request.
auto open_idle_connections(testing::cell& cell)
    -> std::vector<std::unique_ptr<httplib::Client>>
{
    const auto ports = cell.entry_ports();
    std::vector<std::unique_ptr<httplib::Client>> clients;
    for (std::size_t i = 0; i < FLAGS_idle_connections; ++i)
    {
        clients.push_back(std::make_unique<httplib::Client>(
            "127.0.0.1", ports[i % ports.size()]));
        clients.back()->set_keep_alive(true);
        clients.back()->Get("/services/warm-up/x");
    }
    return clients;
}

auto run(testing::cell& cell, const scenario& made) -> json::object
{
    const auto connected = open_idle_connections(cell);
    std::this_thread::sleep_for(warm_up_time);
    const auto before = measure_snapshot(cell);
    std::vector<call_outcome> outcomes;
    if (made.calls.empty())
    {
        std::this_thread::sleep_for(made.idle);
    }
    else
    {
        outcomes =
            run_open_loop(made.calls, cell.entry_ports(), FLAGS_client_threads);
    }
    const auto after = measure_snapshot(cell);
    std::vector<nanoseconds> lags;
    std::size_t answered = 0;
    for (const auto& outcome : outcomes)
    {
        lags.push_back(outcome.client_lag);
        answered += outcome.ran == "yes" ? 1 : 0;
    }
    json::array classes;
    for (const auto& [name, report] :
         report_by_class(made.calls, outcomes, FLAGS_workers * FLAGS_slots))
    {
        classes.push_back(print_class_report(name, report));
    }
    const auto lag = quantile_ms(lags, 0.99);
    std::printf("client lag p99 %.1f ms\n", lag);
    return {{"scenario", FLAGS_scenario},
            {"seed", FLAGS_seed},
            {"instances", FLAGS_instances},
            {"workers", FLAGS_workers},
            {"client_lag_p99_ms", lag},
            {"classes", classes},
            {"cost", print_resource_usage(before, after, answered)}};
}

} // namespace

auto main(int argc, char** argv) -> int
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    auto made = make_scenario();
    std::stable_sort(made.calls.begin(), made.calls.end(),
                     [](const planned_call& left, const planned_call& right)
                     {
                         return left.at < right.at;
                     });
    testing::cell_options options;
    options.instances = FLAGS_instances;
    options.worker_processes = FLAGS_worker_processes;
    options.workers_per_process = FLAGS_workers / FLAGS_worker_processes;
    options.worker_flags = {"--slots=" + std::to_string(FLAGS_slots),
                            "--threads=2000"};
    options.settings["inspect_interval_ms"] = FLAGS_inspect_interval_ms;
    options.settings["list_interval_ms"] = FLAGS_list_interval_ms;
    options.settings["log_level"] = "warn";
    options.settings["caller_threads"] = 400;
    options.seed = FLAGS_seed;
    testing::cell cell(options);
    const auto start_error = cell.start();
    if (!start_error.empty() || !install_plan(cell, made))
    {
        std::fprintf(stderr, "the cell did not start: %s\n",
                     start_error.c_str());
        return 1;
    }
    std::printf("%s, seed %lu, %lu instances, %lu workers of %lu slots\n",
                FLAGS_scenario.c_str(), FLAGS_seed, FLAGS_instances,
                FLAGS_workers, FLAGS_slots);
    const auto report = run(cell, made);
    if (!FLAGS_json.empty())
    {
        std::ofstream(FLAGS_json) << json::serialize(report) << "\n";
    }
    return 0;
}
