/// @file
/// Command-line program that runs the soak for one or several seeds. Prints one
/// line per seed and the details of each violation; exits with 1 if a seed had
/// a violation or could not be run.
#include "soak.hpp"

#include <gflags/gflags.h>

#include <algorithm> // max
#include <cstdio>    // printf
#include <exception> // exception
#include <map>       // map

DEFINE_uint64(seed, 1, "the first seed");
DEFINE_uint64(last_seed, 0, "the last seed; 0 runs only --seed");
DEFINE_int32(seconds, 20, "for how long faults are injected");
DEFINE_int32(instances, 5, "number of instances");
DEFINE_string(binary, "",
              "path of the product's executable; empty: pimentoshunt in the "
              "build directory");

namespace
{

using namespace pimentoshunt::soak;

auto print_report(std::uint64_t seed, const soak_report& report) -> void
{
    std::map<std::string, int> rules;
    std::printf("seed %lu: %s\n", static_cast<unsigned long>(seed),
                report.summary().c_str());
    for (const auto& item : report.violations)
    {
        ++rules[item.rule];
        std::printf("  %s %s: %s\n", item.rule.c_str(), item.job.c_str(),
                    item.text.c_str());
    }
    for (const auto& [rule, count] : rules)
    {
        std::printf("  %s: %d\n", rule.c_str(), count);
    }
    if (!report.violations.empty())
    {
        std::printf("  logs: %s\n%s", report.folder.c_str(),
                    report.timeline.c_str());
    }
    std::fflush(stdout);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    soak_options options;
    options.fault_duration = std::chrono::seconds(FLAGS_seconds);
    options.instances = static_cast<std::size_t>(FLAGS_instances);
    options.binary = FLAGS_binary;
    bool passed = true;
    const auto last = std::max(FLAGS_seed, FLAGS_last_seed);
    for (auto seed = FLAGS_seed; seed <= last; ++seed)
    {
        options.seed = seed;
        try
        {
            const auto report = run_soak(options);
            print_report(seed, report);
            passed = passed && report.violations.empty();
        }
        catch (const std::exception& fault)
        {
            std::printf("seed %lu: not run: %s\n",
                        static_cast<unsigned long>(seed), fault.what());
            passed = false;
        }
    }
    return passed ? 0 : 1;
}
