/// @file
/// Flags of the command line, kept by gflags.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/error.hpp>

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::cli
{

/// @brief How results are written.
enum class output_format
{
    text,
    json
};

/// @brief The values of all flags after one command line.
struct flag_values
{
    output_format output = output_format::text;
    /// "host:port" of an operator port.
    std::string server;
    /// The file with an instance's settings.
    std::string settings_file;
    /// The revision that was read; empty: ask for it.
    std::optional<std::uint64_t> revision;
    milliseconds timeout{0};
    std::string worker;
    std::string instance;
    std::string key;
    bool all = false;
    bool help = false;
};

/// @brief A command line, its flags taken out.
struct parsed_command_line
{
    flag_values flags;
    /// The command and its operands.
    std::vector<std::string> positional;
    /// Names of the flags that were given.
    std::vector<std::string> given_flags;
};

/// @brief Sets the flags of @p arguments, all others to their defaults.
/// @throw (leaf) usage errors 801 to 803
[[nodiscard]] auto parse_command_line(const std::vector<std::string>& arguments)
    -> result<parsed_command_line>;

/// @brief "--name=default  description" of one flag, for help.
[[nodiscard]] auto describe_flag(const std::string& name) -> std::string;

} // namespace pimentoshunt::cli
