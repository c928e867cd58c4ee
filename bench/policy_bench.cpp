/// @file
/// Microbenchmark of placement decisions: the time to choose a worker and
/// reserve its resources in a nearly full ledger, for several numbers of
/// workers.
#include <pimentoshunt/policy/grant_scheduler.hpp>

#include <boost/json/serialize.hpp> // serialize
#include <boost/json/value.hpp>     // value, array, object

#include <algorithm> // sort
#include <chrono>    // steady_clock
#include <cmath>     // log2
#include <cstdlib>   // strtoul
#include <fstream>   // ofstream
#include <iomanip>   // setw
#include <iostream>  // cout
#include <random>    // mt19937_64
#include <string>    // string
#include <vector>    // vector

namespace
{

using namespace pimentoshunt;
using ledger::capacity_ledger;
using policy::demand_line;
using policy::grant_scheduler;
using policy::placement;

constexpr int warm_up = 2'000;
constexpr int rounds = 20'000;
/// Demand of 20 workloads at each of 8 entries.
constexpr std::size_t demand_lines_of_8_entries = 160;
constexpr int scan_rounds = 300;
/// Fraction of slots in use during the measurement.
constexpr double target_utilisation = 0.95;

/// @brief Baseline: takes the first worker with enough room, by linear search.
class scan_picker
{
  public:
    template<class Take>
    auto pick(const capacity_ledger& accounts,
              const std::vector<demand_line>& lines, Take&& try_reserve,
              time_point) -> void
    {
        for (std::size_t i = 0; i < lines.size(); ++i)
        {
            auto left = lines[i].count;
            for (const auto& [id, account] : accounts.accounts())
            {
                while (left > 0 && account.can_admit(lines[i].workload->each) &&
                       try_reserve(placement{i, id}))
                {
                    --left;
                }
            }
        }
    }
};

/// @brief An attempt and the worker that it runs on.
struct held_attempt
{
    worker_id worker;
    attempt_id attempt;
};

/// @brief Result for one number of workers: times of one placement.
struct timing
{
    std::size_t workers = 0;
    double p50_ns = 0;
    double p99_ns = 0;
    double mean_ns = 0;
};

auto nanoseconds_since(std::chrono::steady_clock::time_point begin) -> double
{
    const std::chrono::duration<double, std::nano> took =
        std::chrono::steady_clock::now() - begin;
    return took.count();
}

auto summary(std::size_t workers, std::vector<double> times) -> timing
{
    std::sort(times.begin(), times.end());
    double sum = 0;
    for (const auto time : times)
    {
        sum += time;
    }
    return {workers, times[times.size() / 2], times[times.size() * 99 / 100],
            sum / static_cast<double>(times.size())};
}

auto make_workloads(std::mt19937_64& random) -> std::vector<plan::workload>
{
    std::vector<plan::workload> made(20);
    for (std::size_t i = 0; i < made.size(); ++i)
    {
        const auto draw = [&](std::int64_t limit)
        {
            return static_cast<std::int64_t>(random()) & (limit - 1);
        };
        made[i].name = workload_name("w" + std::to_string(i));
        made[i].workspace = workspace_name("t" + std::to_string(i % 5));
        made[i].each = {1, 500 + draw(2'048), 1'000 + draw(8'192),
                        i % 10 == 0 ? 1 : 0};
        made[i].cls =
            i % 4 == 3 ? plan::work_class::batch : plan::work_class::service;
    }
    return made;
}

auto open_workers(capacity_ledger& accounts, std::size_t count) -> void
{
    for (std::size_t i = 0; i < count; ++i)
    {
        worker::description made;
        made.id = worker_id("worker-" + std::to_string(i));
        made.capacity = {8, 16'000, 64'000, i % 8 == 0 ? 8 : 0};
        made.connections = 64;
        accounts.open(made, 1, {}, {});
    }
}

/// @brief Repeatedly releases one placement of a nearly full ledger and makes
/// another.
template<class Picker>
class ledger_bench
{
  public:
    ledger_bench(std::size_t workers, unsigned seed, std::size_t lines = 1)
        : m_random(seed), m_line_count(lines)
    {
        m_workloads = make_workloads(m_random);
        plan::document document;
        document.workloads = m_workloads;
        for (int i = 0; i < 5; ++i)
        {
            const auto most = static_cast<std::int64_t>(workers) * 2;
            document.workspaces.push_back(
                {workspace_name("t" + std::to_string(i)), {most, 0, 0, 0}});
        }
        if constexpr (requires { m_picker.set_plan(document); })
        {
            m_picker.set_plan(document);
            for (int i = 0; i < 2'000; ++i)
            {
                const auto& workload = m_workloads[m_random() % 20];
                m_picker.observe(workload, milliseconds(20));
            }
        }
        open_workers(m_accounts, workers);
        const auto target =
            static_cast<double>(workers * 8) * target_utilisation;
        while (static_cast<double>(m_held.size()) < target && place())
        {
        }
    }

    auto run(int count) -> timing
    {
        std::vector<double> times;
        times.reserve(static_cast<std::size_t>(count));
        for (int i = -warm_up; i < count; ++i)
        {
            release_one();
            place();
            if (i >= 0)
            {
                times.push_back(m_last_decision_ns);
            }
        }
        return summary(m_accounts.accounts().size(), times);
    }

  private:
    /// @brief Places one unit of demand, chosen by the picker among as many
    /// random demand lines as are configured.
    auto place() -> bool
    {
        m_lines.clear();
        const auto now = time_point(std::chrono::hours(1));
        for (std::size_t i = 0; i < m_line_count; ++i)
        {
            const auto& workload = m_workloads[m_random() % m_workloads.size()];
            const milliseconds left(1 + m_random() % 1'000);
            m_lines.push_back({instance_id("e"), &workload, 1, now + left,
                               now - milliseconds(5)});
        }
        const auto begin = std::chrono::steady_clock::now();
        bool taken = false;
        m_picker.pick(
            m_accounts, m_lines,
            [&](const placement& choice)
            {
                if (taken)
                {
                    return false;
                }
                taken =
                    try_reserve(*m_lines[choice.line].workload, choice.worker);
                return taken;
            },
            now);
        m_last_decision_ns = nanoseconds_since(begin);
        return taken;
    }

    auto try_reserve(const plan::workload& workload, const worker_id& worker)
        -> bool
    {
        ledger::reservation item;
        item.attempt = attempt_id(std::to_string(++m_attempts));
        item.workload = workload.name;
        item.workspace = workload.workspace;
        item.each = workload.each;
        m_held.push_back({worker, item.attempt});
        return m_accounts.try_reserve(worker, item);
    }

    auto release_one() -> void
    {
        std::swap(m_held[m_random() % m_held.size()], m_held.back());
        m_accounts.release(m_held.back().worker, m_held.back().attempt);
        m_held.pop_back();
    }

    std::mt19937_64 m_random;
    std::size_t m_line_count;
    /// Duration of the last decision, in ns.
    double m_last_decision_ns = 0;
    std::vector<plan::workload> m_workloads;
    capacity_ledger m_accounts;
    Picker m_picker;
    std::vector<held_attempt> m_held;
    std::vector<demand_line> m_lines;
    std::uint64_t m_attempts = 0;
};

/// @brief Measures the time to find that no worker has 8 cores and 32,000 MB
/// free.
auto time_failed_search(const capacity_ledger& accounts) -> timing
{
    std::vector<double> times;
    times.reserve(scan_rounds);
    for (int i = 0; i < scan_rounds; ++i)
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto* const found = accounts.best_fit(
            {1, 8'000, 32'000, 0}, ledger::accelerator_use::allow);
        times.push_back(found == nullptr ? nanoseconds_since(begin) : 0);
    }
    return summary(accounts.accounts().size(), times);
}

/// @brief Measures a search without a result: half of the workers have
///        processors free, the other half has memory free, none has both.
auto measure_failed_search(std::size_t workers) -> timing
{
    capacity_ledger accounts;
    open_workers(accounts, workers);
    std::size_t number = 0;
    for (std::size_t i = 0; i < workers; ++i)
    {
        ledger::reservation item;
        item.attempt = attempt_id(std::to_string(++number));
        item.each = i % 2 == 0 ? resources{1, 15'000, 1'000, 0}
                               : resources{1, 1'000, 63'000, 0};
        accounts.try_reserve(worker_id("worker-" + std::to_string(i)), item);
    }
    return time_failed_search(accounts);
}

/// @brief Worst case for the bounds that the index keeps of subtrees: workers
///        without a free connection and workers without free memory are mixed
///        in the index's order, so the bounds exclude few subtrees.
auto measure_failed_search_in_worst_order(std::size_t workers, unsigned seed)
    -> timing
{
    std::mt19937_64 random(seed);
    capacity_ledger accounts;
    for (std::size_t i = 0; i < workers; ++i)
    {
        const bool no_connection = i % 2 == 0;
        worker::description made;
        made.id = worker_id("worker-" + std::to_string(i));
        made.capacity = {8, 16'000, 64'000, 0};
        made.connections = no_connection ? 1 : 64;
        accounts.open(made, 1, {}, {});
        ledger::reservation item;
        item.attempt = attempt_id(std::to_string(i));
        item.each = {1, static_cast<std::int64_t>(random() % 4'000),
                     no_connection ? 1'000 : 63'000, 0};
        accounts.try_reserve(made.id, item);
    }
    return time_failed_search(accounts);
}

auto report(const char* name, const timing& result, double base_ns)
    -> boost::json::object
{
    std::cout << std::setw(8) << name << std::setw(9) << result.workers
              << std::setw(11) << result.p50_ns << std::setw(11)
              << result.p99_ns << std::setw(11) << result.mean_ns
              << std::setw(10) << result.mean_ns / base_ns << std::setw(10)
              << std::log2(static_cast<double>(result.workers)) / std::log2(48)
              << "\n";
    return {{"picker", name},
            {"workers", result.workers},
            {"p50_ns", result.p50_ns},
            {"p99_ns", result.p99_ns},
            {"mean_ns", result.mean_ns}};
}

} // namespace

/// Usage: policy_bench [SEED [JSON_FILE]]
auto main(int count, char** words) -> int
{
    const auto seed = static_cast<unsigned>(
        count > 1 ? std::strtoul(words[1], nullptr, 10) : 1);
    boost::json::array all;
    std::cout << std::fixed << std::setprecision(2) << "seed " << seed
              << ", times in ns for one placement taken\n"
              << "  picker  workers        p50        p99       mean"
              << "  of at 48  log ratio\n";
    double base_ns = 0;
    for (const std::size_t workers : {48, 480, 4'800, 26'000})
    {
        const auto result =
            ledger_bench<grant_scheduler>(workers, seed).run(rounds);
        base_ns = base_ns > 0 ? base_ns : result.mean_ns;
        all.push_back(report("index", result, base_ns));
    }
    base_ns = 0;
    for (const std::size_t workers : {48, 480, 4'800, 26'000})
    {
        const auto result = ledger_bench<grant_scheduler>(
                                workers, seed, demand_lines_of_8_entries)
                                .run(rounds);
        base_ns = base_ns > 0 ? base_ns : result.mean_ns;
        all.push_back(report("160 line", result, base_ns));
    }
    base_ns = 0;
    for (const std::size_t workers : {48, 480, 4'800, 26'000})
    {
        const auto result = measure_failed_search(workers);
        base_ns = base_ns > 0 ? base_ns : result.mean_ns;
        all.push_back(report("in vain", result, base_ns));
    }
    base_ns = 0;
    for (const std::size_t workers : {48, 480, 4'800, 26'000})
    {
        const auto result = measure_failed_search_in_worst_order(workers, seed);
        base_ns = base_ns > 0 ? base_ns : result.mean_ns;
        all.push_back(report("worst", result, base_ns));
    }
    base_ns = 0;
    for (const std::size_t workers : {48, 480, 4'800})
    {
        const auto result =
            ledger_bench<scan_picker>(workers, seed).run(scan_rounds);
        base_ns = base_ns > 0 ? base_ns : result.mean_ns;
        all.push_back(report("scan", result, base_ns));
    }
    if (count > 2)
    {
        std::ofstream(words[2]) << boost::json::serialize(all) << "\n";
    }
    return 0;
}
