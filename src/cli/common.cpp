/// @file
/// Helpers that several subcommands share.
#include <pimentoshunt/cli/command.hpp>

#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/serialize.hpp>

#include <algorithm> // all_of
#include <cctype>    // isalnum
#include <fstream>   // ifstream
#include <iostream>  // cin
#include <iterator>  // istreambuf_iterator

namespace pimentoshunt::cli::detail
{
namespace
{

constexpr int unreadable_file = 811;
constexpr int wrong_operands = 812;
constexpr int invalid_name = 818;
constexpr int first_server_error = 500;

auto read_all(std::istream& in) -> std::string
{
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

auto read_input(const std::string& name) -> result<std::string>
{
    if (name == "-")
    {
        return read_all(std::cin);
    }
    std::ifstream file(name, std::ios::binary);
    auto text = read_all(file);
    if (!file)
    {
        return leaf::new_error(error{error_kind::usage, unreadable_file, name,
                                     "the file can't be read",
                                     "check its name and your permissions"});
    }
    return text;
}

auto expect_operands(const invocation& call, std::size_t least,
                     std::size_t most) -> result<void>
{
    if (call.operands.size() >= least && call.operands.size() <= most)
    {
        return {};
    }
    return leaf::new_error(
        error{error_kind::usage, wrong_operands, "",
              std::to_string(call.operands.size()) +
                  " operands given, but the command takes another number",
              "see pimentoshunt help COMMAND for the operands that it takes"});
}

auto expect_name(const std::string& text) -> result<void>
{
    const auto is_valid =
        !text.empty() &&
        std::all_of(text.begin(), text.end(),
                    [](unsigned char letter)
                    {
                        return std::isalnum(letter) != 0 || letter == '-' ||
                               letter == '_' || letter == '.' ||
                               letter == ':' || letter == '/';
                    });
    if (!is_valid)
    {
        return leaf::new_error(
            error{error_kind::usage, invalid_name, text, "invalid name or id",
                  "use letters, digits, '-', '_', '.', ':' and '/'"});
    }
    return {};
}

auto report_error_answer(const invocation& call, const operator_answer& answer)
    -> exit_code
{
    const auto what = platform::detail::text_of(answer.body, "error");
    const auto remedy = platform::detail::text_of(answer.body, "remedy");
    call.output.err << "refused with status " << answer.status
                    << (what.empty() ? "" : ": ") << what << "\n";
    // Messages of the program's own errors already end with the remedy.
    if (!remedy.empty() && what.find(remedy) == std::string::npos)
    {
        call.output.err << "remedy: " << remedy << "\n";
    }
    if (call.wants_json())
    {
        call.output.out << boost::json::serialize(answer.body) << "\n";
    }
    return answer.status >= first_server_error ? exit_code::unreachable
                                               : exit_code::refused;
}

} // namespace pimentoshunt::cli::detail
