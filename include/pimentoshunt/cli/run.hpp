/// @file
/// Entry point of the command line; main() calls it once.
#pragma once

#include <pimentoshunt/settings.hpp>

#include <functional> // function
#include <iosfwd>     // ostream
#include <string>     // string
#include <vector>     // vector

namespace pimentoshunt::cli
{

/// @brief Exit status of the program; see docs/operators/commands.md.
enum class exit_code
{
    ok = 0,
    /// Faults were found, or the server refused the request.
    refused = 1,
    /// The command line is invalid.
    usage = 2,
    /// No answer, or the instance can't serve now; the message says whether the
    /// outcome is known.
    unreachable = 3,
    /// The plan was changed since the operator read it.
    stale = 4
};

/// @brief Output streams of a command.
struct streams
{
    std::ostream& out;
    std::ostream& err;
};

/// @brief Runs an instance with valid settings and returns its exit status;
/// called by the subcommand `serve`.
using serve_function = std::function<int(const settings&)>;

/// @brief Runs the subcommand that @p arguments name.
/// @param arguments  command line without the program's name
/// @param output  results are written to out, messages to err
/// @param serve  runs an instance, for the subcommand `serve`
/// @return the process's exit status
[[nodiscard]] auto run(const std::vector<std::string>& arguments,
                       const streams& output, const serve_function& serve)
    -> int;

} // namespace pimentoshunt::cli
