/// @file
/// The table of subcommands, the arguments that each one receives, and helpers
/// that they share.
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

/// Longest timeout of one call. The rest of --timeout_ms is left for retries
/// if an answer is lost.
inline constexpr milliseconds max_call_timeout{3'000};

/// @brief Arguments of a subcommand's function; references are valid for the
/// duration of the call.
struct invocation
{
    const flag_values& flags;
    /// Positional arguments after the subcommand's name.
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

/// @brief A subcommand. Its function returns an exit code, or an error that
/// run() prints.
struct command
{
    const char* name;
    const char* operands;
    const char* summary;
    /// Further paragraphs of the help page; may be empty.
    const char* details;
    /// Names of the flags that the subcommand accepts besides "output".
    std::vector<const char*> flags;
    result<exit_code> (*function)(const invocation&);
};

/// @brief Returns all subcommands in the order of the help page.
[[nodiscard]] auto commands() -> const std::vector<command>&;

namespace detail
{

/// @brief Reads a whole file, or standard input if @p name is "-".
/// @throw (leaf) usage error 811 if the file can't be read
[[nodiscard]] auto read_input(const std::string& name) -> result<std::string>;

/// @brief Checks that there are from @p least to @p most operands.
/// @throw (leaf) usage error 812
[[nodiscard]] auto expect_operands(const invocation& call, std::size_t least,
                                   std::size_t most) -> result<void>;

/// @brief Checks that @p text can be part of a URL without encoding.
/// @throw (leaf) usage error 818
[[nodiscard]] auto expect_name(const std::string& text) -> result<void>;

/// @brief Prints the faults of a file, or that the file has none.
/// @return ok without faults, else refused
auto report_faults(const invocation& call, const std::string& file,
                   const std::vector<json::fault>& faults) -> exit_code;

/// @brief Prints an answer with an error status.
/// @return unreachable for server errors (status 500 and above), else refused
auto report_error_answer(const invocation& call, const operator_answer& answer)
    -> exit_code;

// Functions of the subcommands.
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
