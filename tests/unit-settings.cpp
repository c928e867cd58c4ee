/// @file
/// Tests of parsing and validating settings.
#include <pimentoshunt/settings.hpp>

#include <criterion/criterion.h>

#include <chrono> // milliseconds
#include <string> // string

using pimentoshunt::check_settings;
using pimentoshunt::error;
using pimentoshunt::handle;
using pimentoshunt::milliseconds;
using pimentoshunt::parse_settings;
using pimentoshunt::result;
using pimentoshunt::settings;

namespace
{

const std::string valid = R"({
  "instance": "i1",
  "data_centre": "zurich-1",
  "platform_url": "http://127.0.0.1:9000",
  "caller_port": 9100,
  "heartbeat_ms": 100,
  "advertised_peer": "127.0.0.1:7000"
})";

auto message_of(const std::string& text) -> std::string
{
    return handle(
        [&]() -> result<std::string>
        {
            BOOST_LEAF_CHECK(parse_settings(text));
            return std::string();
        },
        [](const error& e)
        {
            return e.message();
        });
}

} // namespace

Test(settings, keeps_defaults_of_absent_keys)
{
    const auto read = parse_settings(valid);
    cr_assert(read);
    cr_assert(read->instance.str() == "i1");
    cr_assert(read->caller_port == 9100);
    cr_assert(read->heartbeat == milliseconds(100));
    cr_assert(read->advertised_peer == "127.0.0.1:7000");
    cr_assert(read->queue_limit == settings().queue_limit);
}

Test(settings, reports_every_fault_with_line_unit_and_remedy)
{
    const auto text = message_of(R"({
  "instance": "i1", "data_centre": "d",
  "platform_url": "http://127.0.0.1:9000",
  "heart_beat": 5,
  "caller_port": "80",
  "heartbeat_ms": 1
})");
    cr_assert(text.find("[settings.109] 3 faults") == 0);
    cr_assert(text.find("line 4, /heart_beat: unknown key") !=
              std::string::npos);
    cr_assert(text.find("line 5, /caller_port: is a string") !=
              std::string::npos);
    cr_assert(text.find("line 6, /heartbeat_ms: 1 is out of range; remedy: "
                        "give a whole number from 10 ms to 3600000 ms") !=
              std::string::npos);
}

Test(settings, one_fault_keeps_its_own_id)
{
    cr_assert(message_of("{\"instance\": \"a\", \"data_centre\": \"d\"}") ==
              "[settings.105] key \"platform_url\" is missing; remedy: add "
              "\"platform_url\" with a string");
}

Test(settings, rejects_text_that_is_not_json)
{
    for (const std::string text :
         {"", "{", "[]", "nul", "{\"a\":\"\xff\"}", "{} {}", "{\"a\":1,}"})
    {
        cr_assert(!check_settings(text).empty(), "%s", text.c_str());
    }
    cr_assert(message_of(std::string(500, '[')).find("nested deeper") !=
              std::string::npos);
}

Test(settings, reports_values_that_contradict_each_other)
{
    const auto faults = check_settings(R"({"instance":"a","data_centre":"d",
"platform_url":"http://127.0.0.1:9000",
"caller_port":1000,"operator_port":1000,
"heartbeat_ms":600,"suspect_after_ms":1000,
"seeds":["nowhere"],"log_level":"loud"})");
    cr_assert(faults.size() == 4);
    cr_assert(faults.front().pointer == "/operator_port");
    cr_assert(faults.front().line == 3);
}
