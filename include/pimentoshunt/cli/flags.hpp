/// @file
/// Parses the command line; flags are defined with gflags.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/error.hpp>

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::cli
{

/// @brief Format in which results are written.
enum class output_format
{
    text,
    json
};

/// @brief Values of all flags after a command line was parsed.
struct flag_values
{
    output_format output = output_format::text;
    /// "host:port" of an instance's operator port.
    std::string server;
    /// Path of the file with an instance's settings.
    std::string settings_file;
    /// Plan revision that the operator edited; empty: the revision in force.
    std::optional<std::uint64_t> revision;
    /// Total time for a command, retries included.
    milliseconds timeout{0};
    std::string worker;
    std::string instance;
    std::string key;
    bool all = false;
    bool help = false;
};

/// @brief A command line, split into flags and positional arguments.
struct parsed_command_line
{
    flag_values flags;
    /// The subcommand's name and its operands.
    std::vector<std::string> positional;
    /// Names of the flags that were set on the command line.
    std::vector<std::string> given_flags;
};

/// @brief Parses @p arguments; flags that are absent get their defaults.
/// @note Changes the global gflags values; not thread-safe.
/// @throw (leaf) usage error 801 for an unknown flag, 802 for an invalid value,
///        803 for an unknown output format
[[nodiscard]] auto parse_command_line(const std::vector<std::string>& arguments)
    -> result<parsed_command_line>;

/// @brief Returns "--name=default  description" of a flag, for help pages.
[[nodiscard]] auto describe_flag(const std::string& name) -> std::string;

} // namespace pimentoshunt::cli
