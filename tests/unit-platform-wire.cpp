/// @file
/// JSON texts of the platform: decoding, encoding, and refusal of invalid
/// texts.
#include "platform/wire.hpp"
#include "platform/worker_entry.hpp"

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

// The store refuses a transaction over several parts that does not say so, and
// takes longer for one that does.
Test(platform_wire, only_a_transaction_over_several_parts_is_marked)
{
    cell::row_transaction transaction;
    transaction.conditions.push_back({{"t", "p", "k"}, 0});
    transaction.writes.push_back({{"t", "p", "l"}, "value"});
    transaction.removals.push_back({"t", "p", "m"});
    cr_assert(encode_transaction(transaction).find("across") ==
              std::string::npos);
    transaction.writes.push_back({{"t", "q", "k"}, "value"});
    cr_assert(encode_transaction(transaction).find(R"("across":true)") !=
              std::string::npos);
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

namespace
{

const std::string good_entry =
    R"({"service":"s","address":"10.1.0.9:80","zone":"a","slots":8,)"
    R"("state":"ready","capacity":{"cpu":16000,"memMb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"born":1234,"machine":"m-1"})";

/// The valid entry with one text in it replaced.
auto changed(const std::string& part, const std::string& replacement)
    -> std::string
{
    auto out = good_entry;
    const auto at = out.find(part);
    cr_assert(at != std::string::npos, "%s", part.c_str());
    return out.replace(at, part.size(), replacement);
}

} // namespace

Test(platform_worker_entry, a_valid_entry_names_a_worker)
{
    const auto read = decode_worker("i-1", good_entry);
    cr_assert(read.entry.has_value(), "%s", read.error_text.c_str());
    cr_assert_eq(read.entry->rack, "r1-3");
    cr_assert_eq(read.entry->capacity.millicpus, 16'000);
    cr_assert_eq(read.entry->incarnation.time_since_epoch().count(), 1'234);
}

// Guards against odd entries of another writer that end the program or are used
// as workers: each is refused with a reason.
Test(platform_worker_entry, an_odd_entry_names_no_worker)
{
    constexpr std::size_t depth = 30'000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    std::vector<std::string> odd = {
        "",
        "\xff\x01",
        "{}",
        "7",
        deep,
        changed("\"m-1\"", deep),
        changed("\"m-1\"", "1e9999999999"),
        changed("\"ready\"", "\"odd\""),
        changed("\"s\"", "7"),
        changed("\"s\"", "\"\""),
        changed("[\"a\",\"r1-3\"]", "{}"),
        changed("{\"cpu\":16000,\"memMb\":32768,\"gpu\":0}", "[]"),
        changed("\"cpu\":16000,", ""),
        changed("\"memMb\":32768,", "")};
    for (const auto* const address :
         {"nowhere", "10.1.0.9", "10.1.0.9:", "10.1.0.9:0", "10.1.0.9:-1",
          "10.1.0.9:65536", "10.1.0.9:99999", "10.1.0.9:80x", "host:80",
          "10.1.0.999:80", "0.0.0.0:80", "224.0.0.1:80", ":80"})
    {
        odd.push_back(changed("10.1.0.9:80", address));
    }
    for (const auto* const number :
         {"1e999", "-1", "0.5", "9223372036854775807", "18446744073709551615",
          "1e300", "\"7\"", "null"})
    {
        odd.push_back(changed("16000", number));
        odd.push_back(changed("32768", number));
        odd.push_back(changed("1234", number));
    }
    odd.push_back(changed("1234", "0"));
    odd.push_back(changed("\"gpu\":0", "\"gpu\":-1"));
    odd.push_back(changed("\"gpu\":0", "\"gpu\":9223372036854775807"));
    for (const auto& text : odd)
    {
        const auto read = decode_worker("i-1", text);
        cr_assert(!read.entry.has_value(), "%.200s", text.c_str());
        cr_assert(!read.error_text.empty(), "%.200s", text.c_str());
    }
    cr_assert(!decode_worker("", good_entry).entry.has_value());
}

// What is not needed to use a worker may be missing or odd.
Test(platform_worker_entry, other_members_are_limited)
{
    for (const auto* const number :
         {"9223372036854775807", "-1", "1e999", "\"7\""})
    {
        const auto read = decode_worker(
            "i-1",
            changed("\"slots\":8", std::string("\"remainingMs\":") + number));
        if (!read.entry)
        {
            continue;
        }
        cr_assert_geq(read.entry->leaves_in.count(), 0);
        cr_assert_leq(read.entry->leaves_in, std::chrono::hours(24 * 365 * 10));
    }
}
