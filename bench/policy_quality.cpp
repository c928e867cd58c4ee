/// @file
/// Simulates queue, admission control and placement with seeded arrivals, and
/// compares waiting times with those of an ideal queue and of random placement.
#include "support/overload_replay.hpp"
#include "support/packing.hpp"
#include "support/scenario.hpp"

#include <boost/json/serialize.hpp> // serialize

#include <algorithm> // max
#include <cstdlib>   // strtoul
#include <fstream>   // ofstream
#include <iomanip>   // setprecision
#include <iostream>  // cout
#include <random>    // mt19937_64
#include <string>    // string
#include <vector>    // vector

namespace
{

using namespace pimentoshunt;
using namespace pimentoshunt::bench;

/// @brief Short requests under periodic load, with and without an unlimited
///        supply of long batch tasks.
auto run_renders(unsigned seed, const simulation_setup& setup)
    -> boost::json::object
{
    plan::document document;
    document.workloads = {
        make_workload("proof", "shops", plan::work_class::service,
                      milliseconds(5'000)),
        make_workload("render", "archive", plan::work_class::batch,
                      milliseconds(100'000'000))};
    std::mt19937_64 random(seed);
    const auto slots = static_cast<double>(setup.slots());
    constexpr double end_s = 66.0;
    std::vector<arrival> alone;
    add_arrivals(alone, periodic_load(slots, 0.3, 0.7, 8.0, 3.0), end_s,
                 random);
    auto mixed = alone;
    const auto rate = slots / render_mean_s * 1.5;
    add_arrivals(mixed,
                 {1, render_mean_s, 1.0,
                  [=](double)
                  {
                      return rate;
                  },
                  rate},
                 end_s, random);
    sort_by_time(mixed);

    boost::json::object out;
    print_header("short proofs, renders that run 100 times longer");
    const auto without = scheduling_simulation(document, setup).run(alone);
    const auto with = scheduling_simulation(document, setup).run(mixed);
    const auto base = tail_latency_of(alone, 0, without);
    const auto held = tail_latency_of(mixed, 0, with);
    print_tail_latency(out, "picker without renders", base);
    print_tail_latency(out, "picker with renders", held);
    auto preempting = setup;
    preempting.scheduler.checkpoints = true;
    const auto helped = scheduling_simulation(document, preempting).run(mixed);
    const auto quick = tail_latency_of(mixed, 0, helped);
    print_tail_latency(out, "with renders, checkpoints of 50 ms", quick);
    preempting.checkpoint_time = milliseconds(500);
    const auto slow = scheduling_simulation(document, preempting).run(mixed);
    print_tail_latency(out, "with renders, checkpoints of 500 ms",
                       tail_latency_of(mixed, 0, slow));
    print_tail_latency(out, "ideal queue, services first",
                       ideal_tail_latency(document, mixed, setup.slots(), 0,
                                          ideal_order::services_first));
    print_tail_latency(out, "first come first served",
                       ideal_tail_latency(document, mixed, setup.slots(), 0,
                                          ideal_order::first_come));
    print_tail_latency(out, "random worker",
                       random_tail_latency(mixed, setup, 0, 1, seed));
    print_tail_latency(out, "two random choices",
                       random_tail_latency(mixed, setup, 0, 2, seed));
    print_value(out, "answer p99 with / without",
                held.answer_ms / base.answer_ms);
    print_value(out, "ratio with checkpoints of 50 ms",
                quick.answer_ms / base.answer_ms);
    const auto left = slots * end_s - without.service_slot_s;
    print_value(out, "renders' share of what is left",
                with.other_slot_s / left);
    print_value(out, "share with checkpoints of 50 ms",
                helped.other_slot_s / left);
    print_value(out, "checkpoints", static_cast<double>(helped.checkpoints));
    return out;
}

/// @brief Fraction of arrivals that were rejected although the ideal queue,
///        which rejects nothing, would answer them before the deadline.
auto false_refusal_rate(const std::vector<arrival>& arrivals,
                        const simulation_result& result, std::size_t slots,
                        nanoseconds deadline) -> double
{
    std::vector<ideal_request> requests;
    requests.reserve(arrivals.size());
    for (const auto& item : arrivals)
    {
        requests.push_back({item.at, item.run_time, 0, item.at});
    }
    const auto answers = ideal_queue(requests, slots);
    double wrong = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i)
    {
        const auto end = answers[i].wait + arrivals[i].run_time;
        wrong += result.all[i].refused && end <= deadline ? 1 : 0;
    }
    return wrong / static_cast<double>(arrivals.size());
}

/// @brief Periodic load that exceeds the capacity for some seconds of each
///        period; nothing else runs.
auto run_peak(unsigned seed, const simulation_setup& setup)
    -> boost::json::object
{
    plan::document document;
    document.workloads = {make_workload(
        "booking", "dock", plan::work_class::service, milliseconds(10'000))};
    std::mt19937_64 random(seed);
    const auto slots = static_cast<double>(setup.slots());
    std::vector<arrival> arrivals;
    add_arrivals(arrivals, periodic_load(slots, 0.4, 1.3, 10.0, 2.0), 40.0,
                 random);
    boost::json::object out;
    print_header("peak of 1.3 times the capacity for 2 s of every 10 s");
    const auto result = scheduling_simulation(document, setup).run(arrivals);
    const auto own = tail_latency_of(arrivals, 0, result);
    const auto ideal = ideal_tail_latency(document, arrivals, setup.slots(), 0,
                                          ideal_order::first_come);
    print_tail_latency(out, "picker", own);
    print_tail_latency(out, "ideal queue", ideal);
    print_tail_latency(out, "random worker",
                       random_tail_latency(arrivals, setup, 0, 1, seed));
    print_tail_latency(out, "two random choices",
                       random_tail_latency(arrivals, setup, 0, 2, seed));
    print_value(out, "wait p99 over the ideal", own.wait_ms / ideal.wait_ms);
    for (const int deadline : {10'000, 700})
    {
        document.workloads[0].deadline = milliseconds(deadline);
        const auto name = std::to_string(deadline) + " ms";
        const auto tight = scheduling_simulation(document, setup).run(arrivals);
        double refused = 0;
        for (const auto& answer : tight.all)
        {
            refused += answer.refused ? 1 : 0;
        }
        print_value(out, "refused, deadline " + name,
                    refused / static_cast<double>(arrivals.size()));
        print_value(out, "refused wrongly, deadline " + name,
                    false_refusal_rate(arrivals, tight, setup.slots(),
                                       milliseconds(deadline)));
    }
    return out;
}

/// @brief The protections against overload that are enabled.
struct overload_mode
{
    const char* name = "";
    bool admission_controller = false;
    bool latest_start = false;
};

constexpr overload_mode overload_modes[] = {{"both", true, true},
                                            {"admission only", true, false},
                                            {"latest start only", false, true},
                                            {"neither", false, false}};

/// @brief Twice the load that the cell can serve; reports the work completed
///        within the deadline.
auto run_overload(unsigned seed, const simulation_setup& setup)
    -> boost::json::object
{
    plan::document document;
    document.workloads = {make_workload(
        "booking", "dock", plan::work_class::service, milliseconds(1'000))};
    std::mt19937_64 random(seed);
    const auto slots = static_cast<double>(setup.slots());
    constexpr double end_s = 20.0;
    std::vector<arrival> arrivals;
    add_arrivals(arrivals, periodic_load(slots, 2.0, 2.0, 10.0, 2.0), end_s,
                 random);
    boost::json::object out;
    std::cout << "twice the capacity, deadline 1 s\n";
    for (const overload_mode& mode : overload_modes)
    {
        auto own = setup;
        own.admission_controller = mode.admission_controller;
        own.latest_start = mode.latest_start;
        const auto result = scheduling_simulation(document, own).run(arrivals);
        double in_time = 0;
        double refused = 0;
        double expired = 0;
        for (std::size_t i = 0; i < arrivals.size(); ++i)
        {
            const auto& answer = result.all[i];
            const real_s run = arrivals[i].run_time;
            const real_s end = arrivals[i].at + answer.wait + run;
            const bool good = answer.in_time && end.count() <= end_s;
            in_time += good ? run.count() : 0;
            refused += answer.refused ? 1 : 0;
            expired += !answer.refused && !answer.ran ? 1 : 0;
        }
        const std::string name = mode.name;
        const auto count = static_cast<double>(arrivals.size());
        print_value(out, "goodput / capacity, " + name,
                    in_time / (slots * end_s));
        print_value(out, "refused at arrival, " + name, refused / count);
        print_value(out, "expired in queue, " + name, expired / count);
    }
    return out;
}

/// @brief A gang of tasks of 4 slots that arrives while there is an unlimited
///        supply of batch tasks.
auto run_gang(unsigned seed, const simulation_setup& setup)
    -> boost::json::object
{
    constexpr std::size_t tasks = 12;
    constexpr double end_s = 40.0;
    plan::document document;
    document.workloads = {
        make_workload("proof", "shops", plan::work_class::service,
                      milliseconds(5'000)),
        make_workload("render", "archive", plan::work_class::batch,
                      milliseconds(100'000'000)),
        make_workload("plates", "printers", plan::work_class::gang,
                      milliseconds(1'000'000))};
    document.workloads[2].each.slots = 4;
    std::mt19937_64 random(seed);
    const auto slots = static_cast<double>(setup.slots());
    std::vector<arrival> arrivals;
    add_arrivals(arrivals, periodic_load(slots, 0.3, 0.3, 8.0, 3.0), end_s,
                 random);
    const auto rate = slots / render_mean_s * 1.5;
    add_arrivals(arrivals,
                 {1, render_mean_s, 1.0,
                  [=](double)
                  {
                      return rate;
                  },
                  rate},
                 end_s, random);
    const auto arrives_at = to_nanoseconds(15.0);
    for (std::size_t i = 0; i < tasks; ++i)
    {
        arrivals.push_back({arrives_at, to_nanoseconds(60.0), 2, 0});
    }
    sort_by_time(arrivals);
    boost::json::object out;
    std::cout << "gang of 12 tasks of 4 slots, unlimited renders\n";
    for (const double share : {0.0, 0.25, 0.5})
    {
        auto own = setup;
        own.scheduler.max_gang_reserve_share = share;
        const auto result = scheduling_simulation(document, own).run(arrivals);
        double last_s = 0;
        double started = 0;
        for (std::size_t i = 0; i < arrivals.size(); ++i)
        {
            if (arrivals[i].workload == 2 && result.all[i].ran &&
                arrivals[i].at + result.all[i].wait <= to_nanoseconds(end_s))
            {
                const real_s wait = result.all[i].wait;
                last_s = std::max(last_s, wait.count());
                started += 1;
            }
        }
        const auto name = "room " + std::to_string(share).substr(0, 4);
        print_value(out, "tasks started in 25 s, " + name, started);
        print_value(out, "wait of the last of them (s), " + name, last_s);
        print_value(out, "slots of renders and gang, " + name,
                    result.other_slot_s / end_s);
    }
    return out;
}

/// @brief Ten workspaces; the first demands ten times its quota, or as much as
///        the others.
auto run_fairness(unsigned seed, const simulation_setup& setup)
    -> boost::json::object
{
    constexpr std::size_t workspaces = 10;
    plan::document document;
    const auto quota = static_cast<std::int64_t>(setup.slots() / workspaces);
    for (std::size_t i = 0; i < workspaces; ++i)
    {
        const auto name = "workspace" + std::to_string(i);
        document.workspaces.push_back({workspace_name(name), {quota, 0, 0, 0}});
        document.workloads.push_back(
            make_workload("proof" + std::to_string(i), name,
                          plan::work_class::service, milliseconds(2'000)));
    }
    const auto run_at = [&](double load_of_others, double times_quota)
    {
        std::mt19937_64 random(seed);
        std::vector<arrival> arrivals;
        for (std::size_t i = workspaces; i-- > 0;)
        {
            const auto load = i == 0 ? times_quota : load_of_others;
            const auto rate = load * static_cast<double>(quota) / proof_mean_s;
            add_arrivals(arrivals,
                         {i, proof_mean_s, 0.5,
                          [=](double)
                          {
                              return rate;
                          },
                          rate},
                         20.0, random);
        }
        sort_by_time(arrivals);
        const auto result =
            scheduling_simulation(document, setup).run(arrivals);
        tail_latency worst;
        for (std::size_t i = 1; i < workspaces; ++i)
        {
            const auto one = tail_latency_of(arrivals, i, result);
            worst.wait_ms = std::max(worst.wait_ms, one.wait_ms);
            worst.answer_ms = std::max(worst.answer_ms, one.answer_ms);
        }
        return worst;
    };
    boost::json::object out;
    for (const double load : {0.7, 0.95})
    {
        const auto name = std::to_string(load).substr(0, 4);
        boost::json::object one;
        print_header("nine workspaces at " + name +
                     " of their quota; the worst of them");
        const auto calm = run_at(load, load);
        const auto pressed = run_at(load, 10.0);
        print_tail_latency(one, "tenth workspace as the others", calm);
        print_tail_latency(one, "tenth workspace at 10 times its quota",
                           pressed);
        print_value(one, "answer p99 pressed / calm",
                    pressed.answer_ms / calm.answer_ms);
        out[name] = one;
    }
    return out;
}

/// @brief Capacity that is left for large tasks at 60% of slots in use, by
///        placement policy.
auto run_packing(unsigned seed) -> boost::json::object
{
    boost::json::object out;
    std::cout
        << "48 workers at 60% of the slots, a quarter with accelerators\n";
    for (const auto mode :
         {packing_policy::best_fit, packing_policy::random_fit,
          packing_policy::worst_fit})
    {
        const auto room = measure_remaining_capacity(mode, seed);
        const std::string name = to_string(mode);
        print_value(out, "whole workers free, " + name,
                    static_cast<double>(room.whole_workers));
        print_value(out, "accelerators usable, " + name,
                    static_cast<double>(room.accelerators));
    }
    return out;
}

/// @brief Value that each order of waiting jobs reaches, as a share of what an
///        order that knows the future could reach at most.
auto run_order(unsigned seed) -> boost::json::object
{
    boost::json::object out;
    for (const bool uneven : {false, true})
    {
        for (const double factor : {0.8, 1.0, 1.3, 2.0})
        {
            std::cout << (uneven ? "uneven settlements" : "checks and reports")
                      << " at " << factor
                      << " times the capacity: value / bound; share in time and"
                         " served, by class; served of the largest tenth\n";
            const auto load = uneven ? uneven_settlements(factor)
                                     : checks_and_reports(factor);
            const auto bound = overload_replay(load, seed).bound();
            for (const auto rule :
                 {order_rule::first_come, order_rule::latest_start,
                  order_rule::earliest_deadline, order_rule::least_slack,
                  order_rule::value_per_work, order_rule::selection})
            {
                const auto found =
                    summarize(overload_replay(load, seed).run(rule));
                std::cout << "  " << std::setw(28) << std::left
                          << to_string(rule) << found.value / bound;
                for (std::size_t kind = 0; kind < load.classes.size(); ++kind)
                {
                    std::cout << "  " << found.in_time.at(kind) << " "
                              << found.served.at(kind) << " "
                              << found.largest_served.at(kind);
                }
                std::cout << "\n";
                const auto name = std::string(uneven ? "uneven " : "even ") +
                                  std::to_string(factor).substr(0, 3) + ", " +
                                  to_string(rule);
                out[name] = found.value / bound;
            }
        }
    }
    return out;
}

} // namespace

/// Usage: policy_quality [SEED [JSON_FILE]]
auto main(int count, char** words) -> int
{
    const auto seed = static_cast<unsigned>(
        count > 1 ? std::strtoul(words[1], nullptr, 10) : 1);
    std::cout << std::fixed << std::setprecision(3) << "seed " << seed << "\n";
    const simulation_setup setup;
    boost::json::object all;
    all["seed"] = seed;
    all["renders"] = run_renders(seed, setup);
    all["crest"] = run_peak(seed, setup);
    all["overload"] = run_overload(seed, setup);
    all["gang"] = run_gang(seed, setup);
    all["order"] = run_order(seed);
    all["packing"] = run_packing(seed);
    all["fairness"] = run_fairness(seed, setup);
    if (count > 2)
    {
        std::ofstream(words[2]) << boost::json::serialize(all) << "\n";
    }
    return 0;
}
