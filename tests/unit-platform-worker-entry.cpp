/// @file
/// Decoding of the entries of workers, where another writer may have left
/// anything.
#include "platform/worker_entry.hpp"

#include <criterion/criterion.h>

#include <string>  // string
#include <utility> // pair
#include <vector>  // vector

using namespace pimentoshunt;
using adapter::decode_worker;

namespace
{

const std::string good =
    R"({"service":"s","address":"10.1.0.9:80","zone":"a","slots":8,)"
    R"("state":"ready","capacity":{"cpu":16000,"memMb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"born":1234,"machine":"m-1"})";

/// The valid entry with one text in it replaced.
auto changed(const std::string& part, const std::string& replacement)
    -> std::string
{
    auto out = good;
    const auto at = out.find(part);
    cr_assert(at != std::string::npos, "%s", part.c_str());
    return out.replace(at, part.size(), replacement);
}

} // namespace

Test(platform_worker_entry, a_valid_entry_names_a_worker)
{
    const auto read = decode_worker("i-1", good);
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
    cr_assert(!decode_worker("", good).entry.has_value());
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
