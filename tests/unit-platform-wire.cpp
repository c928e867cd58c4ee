/// @file
/// JSON texts of the platform: decoding, encoding, and refusal of invalid
/// texts.
#include "platform/wire.hpp"

#include "fakes/cell_simulation.hpp"

#include <criterion/criterion.h>

using namespace pimentoshunt;
using namespace pimentoshunt::adapter;

namespace
{

const std::string job_text =
    R"({"spec":"text","phases":[{"count":4,"cpu":500,"memMb":256,)"
    R"("estimatedMs":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
    R"("memMb":1024,"after":[0],"checkpointing":true,"mayMiss":0,)"
    R"("maxPerServer":2,"longRunning":true,"fills":true}]})";

auto decode(const std::string& text) -> decoded_job
{
    return decode_job(job_id("5c0e7a21d94b36f8"), cell::queue_config(), text);
}

} // namespace

// Guards against a job that ends each owner that loads it: a billion tasks within
// the limits of its steps and repeats.
Test(platform_wire, a_job_with_too_many_tasks_is_rejected)
{
    const auto job = [](const std::string& count, const std::string& repeats)
    {
        return decode(R"({"spec":"x","phases":[{"count":)" + count +
                      R"(,"cpu":1}],"repeatCount":)" + repeats + "}");
    };
    cr_assert(!job("10000", "1000").job.has_value());
    cr_assert(!job("10000", "6").job.has_value());
    cr_assert(job("10000", "6").error_text.find("split") != std::string::npos);
    cr_assert(job("10000", "5").job.has_value());
    cr_assert(job("10000", "0").job.has_value());
}

Test(platform_wire, a_job_is_read_into_its_steps)
{
    const auto read = decode(job_text);
    cr_assert(read.job.has_value());
    const auto& steps = read.job->steps;
    cr_assert_eq(steps.size(), 2u);
    cr_assert_eq(steps[0].count, 4u);
    cr_assert_eq(steps[0].need.millicpus, 500);
    cr_assert_eq(steps[0].need.memory_mb, 256);
    cr_assert_eq(steps[0].estimate, milliseconds(900));
    cr_assert_eq(steps[0].data_rack, "r1-3");
    cr_assert_eq(steps[1].after.size(), 1u);
    cr_assert(steps[1].keeps_checkpoints);
    cr_assert(steps[1].lasting);
    cr_assert(steps[1].filler);
    cr_assert(steps[1].limits_absence);
    cr_assert_eq(steps[1].most_per_worker, 2u);
}

Test(platform_wire, an_invalid_job_is_refused_with_a_reason)
{
    const std::vector<std::string> bad = {
        "",
        "[]",
        "{}",
        R"({"phases":[]})",
        R"({"phases":[{"count":0}]})",
        R"({"phases":[{"count":1,"after":[0]}]})",
        R"({"phases":[{"count":1,"cpu":-5}]})",
        R"({"phases":[7]})",
        R"({"phases":[{"count":1}],"repeatCount":-1})",
        R"({"phases":[{"count":1}],"spec":")" + std::string(4'001, 'x') +
            "\"}"};
    for (const auto& text : bad)
    {
        const auto read = decode(text);
        cr_assert(!read.job.has_value(), "%s", text.c_str());
        cr_assert(!read.error_text.empty());
    }
}

Test(platform_wire, ids_have_sixteen_hexadecimal_digits)
{
    cr_assert(is_job_id("5c0e7a21d94b36f8"));
    cr_assert(!is_job_id("5c0e7a21d94b36f"));
    cr_assert(!is_job_id("5c0e7a21d94b36f88"));
    cr_assert(!is_job_id("5c0e7a21d94b36fg"));
}

Test(platform_wire, a_report_lists_runs_and_ends)
{
    const auto read = decode_report(
        R"({"clockMs":482113,"born":99,"running":)"
        R"([["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,12]],"endedRuns":)"
        R"([[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
        R"([59,"no task",1,"done",""],)"
        R"([60,"5c0e7a21d94b36f8.3.1.9",1,"lapsed","x"]]})");
    cr_assert(read.has_value());
    cr_assert_eq(read->present.size(), 1u);
    cr_assert_eq(read->present[0].run.task.index, 17u);
    cr_assert_eq(read->present[0].run.number, 2u);
    cr_assert_eq(read->present[0].percent, 41u);
    cr_assert_eq(read->present[0].load, 12);
    cr_assert_eq(read->ended.size(), 2u);
    cr_assert(read->ended[1].how == cell::run_end::lease_expired);
    cr_assert_eq(read->ended[1].run.task.step.round, 3u);
    cr_assert(!decode_report("{}").has_value());
}

// A worker lists at most 500 ends; it lists more once these are acknowledged.
Test(platform_wire, a_full_list_of_ends_may_be_cut)
{
    constexpr int most = 500;
    for (const int count : {0, 1, most - 1, most})
    {
        std::string ends;
        for (int i = 1; i <= count; ++i)
        {
            ends += (i > 1 ? "," : "") + std::string("[") + std::to_string(i) +
                    R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
        }
        const auto read =
            decode_report(R"({"running":[],"endedRuns":[)" + ends + "]}");
        cr_assert(read.has_value());
        cr_assert_eq(read->all_ends_listed, count < most, "%d", count);
    }
}

Test(platform_wire, row_values_round_trip_byte_for_byte)
{
    for (std::size_t size = 0; size < 70; ++size)
    {
        std::string value;
        for (std::size_t i = 0; i < size; ++i)
        {
            value += static_cast<char>(i * 37 + size);
        }
        cell::row_transaction transaction;
        transaction.writes.push_back({{"t", "p", "k"}, value});
        const auto text = encode_transaction(transaction);
        const auto begin = text.find("\"value\":\"") + 9;
        const auto encoded = text.substr(begin, text.find('"', begin) - begin);
        const auto rows = decode_rows(R"({"rows":[{"table":"t","part":"p",)"
                                      R"("key":"k","value":")" +
                                      encoded + R"(","ver":7}],"ver":8})");
        cr_assert(rows.has_value());
        cr_assert_eq(rows->rows[0].value, value);
        cr_assert_eq(rows->version, 8u);
    }
}

Test(platform_wire, a_configuration_routes_by_host_and_longest_prefix)
{
    const auto read = decode_configuration(
        R"({"version":7,"routes":[)"
        R"({"name":"short","host":"a.example","pathPrefix":"/q/","service":"s",)"
        R"("priority":0,"maxAttempts":3,"stretch":1.5,"targetDurationMs":250},)"
        R"({"name":"long","host":"a.example","pathPrefix":"/q/x/",)"
        R"("service":"s","advice":{"decisionMs":22.0,"perItemMs":0.32,)"
        R"("validMs":2500}}],"services":[{"name":"s","standby":true}],)"
        R"("limits":{"maxBodyBytes":10}})");
    cr_assert(read.has_value());
    cr_assert_eq(read->version, 7u);
    cr_assert_eq(read->max_body_bytes, 10u);
    cr_assert(read->services[0].standby);
    const auto* const plain = read->find_route("a.example:80", "/q/5c");
    cr_assert_not_null(plain);
    cr_assert_eq(plain->queue.name.str(), "short");
    cr_assert(!plain->queue.approval.required);
    const auto* const longer = read->find_route("a.example", "/q/x/5c");
    cr_assert_eq(longer->queue.name.str(), "long");
    cr_assert(longer->queue.approval.required);
    cr_assert_null(read->find_route("b.example", "/q/5c"));
    cr_assert(!decode_configuration("{}").has_value());
}

namespace
{

/// The text with each @ replaced.
auto with_number(const std::string& text, const std::string& number)
    -> std::string
{
    std::string out;
    for (const char letter : text)
    {
        letter == '@' ? out.append(number) : out.append(1, letter);
    }
    return out;
}

} // namespace

// Guards against undefined conversions and overflows by values far out of range
// in a worker's answer.
Test(platform_wire, numbers_out_of_range_are_limited)
{
    for (const std::string odd :
         {"1e999", "-1e999", "9223372036854775807", "18446744073709551615",
          "-9223372036854775808", "1e300", "0.5", "\"7\"", "null", "[]"})
    {
        const auto read = decode_report(
            with_number(R"({"clockMs":@,"born":@,"running":)"
                        R"([["5c0e7a21d94b36f8.0.1.17",@,"",@,@]],"endedRuns":)"
                        R"([[@,"5c0e7a21d94b36f8.0.1.9",@,"done",""]]})",
                        odd));
        // A number that is no JSON number makes the whole text malformed.
        if (!read)
        {
            continue;
        }
        constexpr std::int64_t exact = std::int64_t{1} << 53U;
        cr_assert_geq(read->clock.count(), 0, "%s", odd.c_str());
        cr_assert_lt(read->clock.count(), exact, "%s", odd.c_str());
        cr_assert_leq(read->incarnation.time_since_epoch().count(), exact);
        cr_assert_leq(read->present.at(0).percent, 100u, "%s", odd.c_str());
        cr_assert_geq(read->present.at(0).load, 0, "%s", odd.c_str());
        cr_assert_leq(read->present.at(0).run.number,
                      static_cast<std::uint64_t>(exact));
        cr_assert_leq(read->ended.at(0).number,
                      static_cast<std::uint64_t>(exact));
    }
}

// Sums of what jobs need must not overflow.
Test(platform_wire, a_step_that_needs_more_than_any_worker_has_is_refused)
{
    for (const std::string odd : {"9223372036854775807", "1000000001", "-1"})
    {
        for (const std::string name : {"cpu", "memMb", "gpu"})
        {
            const auto read = decode(with_number(
                R"({"phases":[{"count":1,")" + name + R"(":@}]})", odd));
            cr_assert(!read.job.has_value(), "%s", odd.c_str());
            cr_assert(!read.error_text.empty());
        }
    }
}
