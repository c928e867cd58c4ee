/// @file
/// What each subcommand is given, and the table that lists them.
#pragma once

#include <pimentoshunt/cli/flags.hpp>
#include <pimentoshunt/cli/operator_client.hpp>
#include <pimentoshunt/cli/run.hpp>
#include <pimentoshunt/error.hpp>
#include <pimentoshunt/json/fault.hpp>

#include <algorithm> // min
#include <string>    // string
#include <vector>    // vector

namespace pimentoshunt::cli
{

/// One call to a server; a lost answer leaves time to ask again.
inline constexpr milliseconds max_call_timeout{3'000};

/// @brief One call of a subcommand.
struct invocation
{
    const flag_values& flags;
    /// Operands after the command's name.
    std::vector<std::string> operands;
    const streams& output;
    const serve_function& serve;

    [[nodiscard]] auto wants_json() const -> bool
    {
        return flags.output == output_format::json;
    }
    [[nodiscard]] auto client() const -> operator_client
    {
        return {flags.server, std::min(flags.timeout, max_call_timeout)};
    }
};

/// @brief A subcommand; its function returns an exit code or an error, which
/// run() prints.
struct command
{
    const char* name;
    const char* operands;
    const char* summary;
    /// More for its help page.
    const char* details;
    /// Flags that it takes besides output.
    std::vector<const char*> flags;
    result<exit_code> (*function)(const invocation&);
};

/// @brief All subcommands in the order of the help page.
[[nodiscard]] auto commands() -> const std::vector<command>&;

namespace detail
{

/// @brief Reads a file, or the standard input for "-".
/// @throw (leaf) usage error 811
[[nodiscard]] auto read_input(const std::string& name) -> result<std::string>;

/// @brief Fails unless the number of operands is within the bounds.
/// @throw (leaf) usage error 812
[[nodiscard]] auto expect_operands(const invocation& call, std::size_t least,
                                   std::size_t most) -> result<void>;

/// @brief Fails unless @p text can stand in a URL as it is.
/// @throw (leaf) usage error 818
[[nodiscard]] auto expect_name(const std::string& text) -> result<void>;

/// @brief Prints the faults of a file, or that it has none.
auto report_faults(const invocation& call, const std::string& file,
                   const std::vector<json::fault>& faults) -> exit_code;

/// @brief Prints an answer that is no success, and picks the exit code.
auto report_error_answer(const invocation& call, const operator_answer& answer)
    -> exit_code;

// The subcommands' functions.
auto run_serve(const invocation& call) -> result<exit_code>;
auto run_cell(const invocation& call) -> result<exit_code>;
auto run_check(const invocation& call) -> result<exit_code>;
auto run_apply(const invocation& call) -> result<exit_code>;
auto run_get(const invocation& call) -> result<exit_code>;
auto run_diff(const invocation& call) -> result<exit_code>;
auto run_status(const invocation& call) -> result<exit_code>;
auto run_drain(const invocation& call) -> result<exit_code>;
auto run_jobs(const invocation& call) -> result<exit_code>;
auto run_version(const invocation& call) -> result<exit_code>;

} // namespace detail

} // namespace pimentoshunt::cli
