/// @file
/// Defines the flags and parses command lines.
#include <pimentoshunt/cli/flags.hpp>

#include <gflags/gflags.h>

#include <array>    // array
#include <charconv> // from_chars

// The macros of gflags define variables with upper-case prefixes.
// NOLINTBEGIN(readability-identifier-naming)
DEFINE_string(output, "text", "format of the result: text or json");
DEFINE_string(server, "127.0.0.1:8081",
              "host:port of any instance's operator port");
DEFINE_string(settings, "", "file with the settings of the instance");
DEFINE_string(revision, "",
              "revision of the plan that was read and edited; without it, the "
              "one in force now");
DEFINE_int64(timeout_ms, 10'000,
             "how long to try, in milliseconds, until the answer is known");
DEFINE_string(worker, "", "id of the worker to drain");
DEFINE_string(instance, "",
              "id of the instance to drain; --server must be that instance");
DEFINE_string(key, "",
              "Idempotency-Key of the submission; without it, a new one");
DEFINE_bool(all, false, "list every worker besides the totals");
// NOLINTEND(readability-identifier-naming)

namespace pimentoshunt::cli
{
namespace
{

constexpr int unknown_flag = 801;
constexpr int bad_flag_value = 802;
constexpr int unknown_output_format = 803;

constexpr std::array known_flags = {"output",   "server",     "settings",
                                    "revision", "timeout_ms", "worker",
                                    "instance", "key",        "all"};

auto is_known_flag(const std::string& name) -> bool
{
    for (const auto* const known : known_flags)
    {
        if (name == known)
        {
            return true;
        }
    }
    return false;
}

auto default_value(const std::string& name) -> std::string
{
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info)
               ? info.default_value
               : "";
}

/// gflags keeps values for the life of the process; a second command line, as
/// in tests, must not see those of the first.
auto reset_flags() -> void
{
    for (const auto* const name : known_flags)
    {
        gflags::SetCommandLineOption(name, default_value(name).c_str());
    }
}

/// @brief A command line argument that begins with a hyphen, split at '='.
struct flag_argument
{
    std::string name;
    std::string value;
    bool has_value = false;
};

auto split_flag(const std::string& argument) -> flag_argument
{
    const auto begin = argument.find_first_not_of('-');
    const auto equals = argument.find('=');
    if (equals == std::string::npos)
    {
        return {argument.substr(begin), "", false};
    }
    return {argument.substr(begin, equals - begin), argument.substr(equals + 1),
            true};
}

auto is_boolean_flag(const std::string& name) -> bool
{
    gflags::CommandLineFlagInfo info;
    return gflags::GetCommandLineFlagInfo(name.c_str(), &info) &&
           info.type == "bool";
}

auto set_flag(const flag_argument& flag) -> result<void>
{
    const auto value =
        !flag.has_value && is_boolean_flag(flag.name) ? "true" : flag.value;
    if (!flag.has_value && !is_boolean_flag(flag.name))
    {
        return leaf::new_error(error{error_kind::usage, bad_flag_value,
                                     "--" + flag.name, "the flag has no value",
                                     "write it as --" + flag.name + "=VALUE"});
    }
    if (gflags::SetCommandLineOption(flag.name.c_str(), value.c_str()).empty())
    {
        return leaf::new_error(
            error{error_kind::usage, bad_flag_value, "--" + flag.name,
                  "invalid value \"" + value + "\"", describe_flag(flag.name)});
    }
    return {};
}

auto read_revision() -> result<std::optional<std::uint64_t>>
{
    std::uint64_t number = 0;
    const auto& text = FLAGS_revision;
    if (text.empty())
    {
        return std::optional<std::uint64_t>();
    }
    const auto* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    if (read.ec != std::errc() || read.ptr != end)
    {
        return leaf::new_error(
            error{error_kind::usage, bad_flag_value, "--revision",
                  "\"" + text + "\" is not a revision number",
                  "give the number that the command get printed"});
    }
    return std::optional<std::uint64_t>(number);
}

auto read_output() -> result<output_format>
{
    if (FLAGS_output != "text" && FLAGS_output != "json")
    {
        return leaf::new_error(
            error{error_kind::usage, unknown_output_format, "--output",
                  "\"" + FLAGS_output + "\" is not an output format",
                  "use --output=text or --output=json"});
    }
    return FLAGS_output == "json" ? output_format::json : output_format::text;
}

auto read_flag_values(flag_values& values) -> result<void>
{
    BOOST_LEAF_ASSIGN(values.output, read_output());
    BOOST_LEAF_ASSIGN(values.revision, read_revision());
    if (FLAGS_timeout_ms <= 0)
    {
        return leaf::new_error(error{error_kind::usage, bad_flag_value,
                                     "--timeout_ms", "must be above 0 ms",
                                     "give a number of milliseconds"});
    }
    values.server = FLAGS_server;
    values.settings_file = FLAGS_settings;
    values.timeout = milliseconds(FLAGS_timeout_ms);
    values.worker = FLAGS_worker;
    values.instance = FLAGS_instance;
    values.key = FLAGS_key;
    values.all = FLAGS_all;
    return {};
}

} // namespace

auto parse_command_line(const std::vector<std::string>& arguments)
    -> result<parsed_command_line>
{
    reset_flags();
    parsed_command_line line;
    for (const auto& argument : arguments)
    {
        // A lone hyphen is an operand that stands for standard input.
        if (argument.size() < 2 || argument[0] != '-')
        {
            line.positional.push_back(argument);
            continue;
        }
        const auto flag = split_flag(argument);
        if (flag.name == "help" || flag.name == "h")
        {
            line.flags.help = true;
            continue;
        }
        if (!is_known_flag(flag.name))
        {
            return leaf::new_error(error{error_kind::usage, unknown_flag,
                                         argument, "unknown flag",
                                         "see pimentoshunt help"});
        }
        BOOST_LEAF_CHECK(set_flag(flag));
        line.given_flags.push_back(flag.name);
    }
    BOOST_LEAF_CHECK(read_flag_values(line.flags));
    return line;
}

auto describe_flag(const std::string& name) -> std::string
{
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info))
    {
        return "--" + name;
    }
    return "--" + name + "=" + info.default_value + "  " + info.description;
}

} // namespace pimentoshunt::cli
