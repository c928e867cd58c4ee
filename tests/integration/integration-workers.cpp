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
constexpr milliseconds seconds_bound{5'000};
constexpr milliseconds back_bound{12'000};

auto now_us() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               boot_clock::now().time_since_epoch())
        .count();
}

auto starts_since(const cell& whole, const std::string& worker,
                  std::int64_t since_us) -> std::size_t
{
    std::size_t starts = 0;
    for (const auto& event : whole.collect_history({}).events)
    {
        const bool counts = event.kind == observed_kind::start &&
                            event.worker == worker && event.at_us >= since_us;
        starts += counts ? 1 : 0;
    }
    return starts;
}

/// What the instances have logged of workers' health.
auto health_log(cell& whole) -> std::string
{
    std::string out;
    for (const auto& instance : whole.instances())
    {
        std::istringstream lines(instance.program.output());
        for (std::string line; std::getline(lines, line);)
        {
            const bool tells = line.find("ejected") != std::string::npos ||
                               line.find("readmitted") != std::string::npos;
            out += tells ? instance.name + " " + line + "\n" : "";
        }
    }
    return out;
}

/// Lets the load go on for a time.
auto go_on_for(milliseconds how_long) -> void
{
    const auto end = boot_clock::now() + how_long;
    cr_assert(wait_until(
        [&]
        {
            return boot_clock::now() >= end;
        },
        how_long + milliseconds{1'000}));
}

} // namespace

Test(workers, one_that_fails_everything_is_ejected_and_probed_back)
{
    cell_options options;
    options.instances = 3;
    options.workers_per_process = worker_count;
    options.worker_flags = {"--slots=2"};
    cell whole(options);
    plan_service service;
    service.idempotent = true;
    const auto trouble =
        start_with_plan(whole, plan_text(service), worker_count);
    cr_assert(trouble.empty(), "%s", trouble.c_str());
    balanced_caller_options callers;
    callers.idempotent = true;
    callers.callers = 8;
    balanced_callers load(whole, callers);
    const auto gets_work = [&]
    {
        return starts_since(whole, "w1", 0) > 0;
    };
    cr_assert(wait_until(gets_work, seconds_bound));
    cr_assert(whole.set_worker_faults(0, {{"worker", 1}, {"fail", true}}));
    go_on_for(milliseconds{2'500});
    const auto ejected_at = now_us();
    go_on_for(milliseconds{2'500});
    const auto probes = starts_since(whole, "w1", ejected_at);
    const auto served = load.served();
    cr_assert(probes <= 5, "%zu starts on an ejected worker", probes);
    cr_assert(whole.set_worker_faults(0, {{"worker", 1}, {"fail", false}}));
    const auto mended_at = now_us();
    constexpr std::size_t more_than_probes = 20;
    const bool back = wait_until(
        [&]
        {
            return starts_since(whole, "w1", mended_at) > more_than_probes;
        },
        back_bound, milliseconds{100});
    cr_assert(back, "%s", health_log(whole).c_str());
    cr_assert(load.served() > served);
    const auto calls = load.stop();
    const auto violations = find_violations(whole.collect_history(calls));
    cr_assert(violations.empty(), "%s", describe(violations).c_str());
}
