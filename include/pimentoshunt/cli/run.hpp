/// @file
/// The program's command line: one subcommand a call.
#pragma once

#include <pimentoshunt/settings.hpp>

#include <functional> // function
#include <iosfwd>     // ostream
#include <string>     // string
#include <vector>     // vector

namespace pimentoshunt::cli
{

/// @brief Exit status of the program; documented in docs/operators/commands.md.
enum class exit_code
{
    ok = 0,
    /// Faults were found, or the request was refused.
    refused = 1,
    /// The command line itself is wrong.
    usage = 2,
    /// No answer, or the instance can't serve now; the outcome is said.
    unreachable = 3,
    /// The plan was changed since it was read.
    stale = 4
};

/// @brief Where a command writes.
struct streams
{
    std::ostream& out;
    std::ostream& err;
};

/// @brief What `serve` calls once its settings are sound.
using serve_function = std::function<int(const settings&)>;

/// @brief Runs one command.
/// @param arguments  the command line without the program's name
/// @param output  results go to out, messages to err
/// @param serve  the long-running role
/// @return the process's exit status
[[nodiscard]] auto run(const std::vector<std::string>& arguments,
                       const streams& output, const serve_function& serve)
    -> int;

} // namespace pimentoshunt::cli
