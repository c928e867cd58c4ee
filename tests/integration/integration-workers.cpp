/// @file
/// Checks that a worker which fails all requests is ejected, gets only probes,
/// and is readmitted once it works again.
#include "support/balanced_callers.hpp"
#include "support/operator_calls.hpp"
#include "support/wait_until.hpp"

#include <criterion/criterion.h>

#include <sstream> // istringstream
#include <string>  // string

using namespace pimentoshunt::testing;
using pimentoshunt::boot_clock;
using pimentoshunt::milliseconds;

namespace
{

constexpr std::int64_t worker_count = 4;
constexpr milliseconds first_start_timeout{5'000};
constexpr milliseconds readmission_timeout{12'000};

auto now_us() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               boot_clock::now().time_since_epoch())
        .count();
}

auto count_starts_since(const cell& test_cell, const std::string& worker,
                        std::int64_t since_us) -> std::size_t
{
    std::size_t starts = 0;
    for (const auto& event : test_cell.collect_history({}).events)
    {
        const bool is_matching_start = event.kind == observed_kind::start &&
                                       event.worker == worker &&
                                       event.at_us >= since_us;
        starts += is_matching_start ? 1 : 0;
    }
    return starts;
}

/// Log lines of all instances about ejected and readmitted workers.
auto health_log(cell& test_cell) -> std::string
{
    std::string out;
    for (const auto& instance : test_cell.instances())
    {
        std::istringstream lines(instance.program.output());
        for (std::string line; std::getline(lines, line);)
        {
            const bool is_health_line =
                line.find("ejected") != std::string::npos ||
                line.find("readmitted") != std::string::npos;
            out += is_health_line ? instance.name + " " + line + "\n" : "";
        }
    }
    return out;
}

/// Waits while the callers keep sending requests.
auto run_load_for(milliseconds duration) -> void
{
    const auto end = boot_clock::now() + duration;
    cr_assert(wait_until(
        [&]
        {
            return boot_clock::now() >= end;
        },
        duration + milliseconds{1'000}));
}

} // namespace

Test(workers, a_worker_that_fails_all_requests_is_ejected_and_readmitted)
{
    cell_options options;
    options.instances = 3;
    options.workers_per_process = worker_count;
    options.worker_flags = {"--slots=2"};
    cell test_cell(options);
    plan_service service;
    service.idempotent = true;
    const auto start_error =
        start_with_plan(test_cell, plan_text(service), worker_count);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    balanced_caller_options callers;
    callers.idempotent = true;
    callers.callers = 8;
    balanced_callers load(test_cell, callers);
    const auto gets_work = [&]
    {
        return count_starts_since(test_cell, "w1", 0) > 0;
    };
    cr_assert(wait_until(gets_work, first_start_timeout));
    cr_assert(test_cell.set_worker_faults(0, {{"worker", 1}, {"fail", true}}));
    run_load_for(milliseconds{2'500});
    const auto ejected_at = now_us();
    run_load_for(milliseconds{2'500});
    const auto probes = count_starts_since(test_cell, "w1", ejected_at);
    const auto served = load.served();
    cr_assert(probes <= 5, "%zu starts on an ejected worker", probes);
    cr_assert(test_cell.set_worker_faults(0, {{"worker", 1}, {"fail", false}}));
    const auto repaired_at = now_us();
    constexpr std::size_t more_than_probes = 20;
    const bool is_readmitted = wait_until(
        [&]
        {
            return count_starts_since(test_cell, "w1", repaired_at) >
                   more_than_probes;
        },
        readmission_timeout, milliseconds{100});
    cr_assert(is_readmitted, "%s", health_log(test_cell).c_str());
    cr_assert(load.served() > served);
    const auto calls = load.stop();
    const auto violations = find_violations(test_cell.collect_history(calls));
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
}
