/// @file
/// Selects and runs the subcommand; prints help pages and errors.
#include <pimentoshunt/cli/run.hpp>

#include <pimentoshunt/cli/command.hpp>

#include <boost/json/serialize.hpp>

#include <algorithm> // find_if
#include <ostream>   // ostream

namespace pimentoshunt::cli
{
namespace
{

constexpr int unknown_command = 804;
constexpr int flag_of_other_command = 805;

auto find_command(const std::string& name) -> const command*
{
    const auto& all = commands();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [&](const command& item)
                                    {
                                        return name == item.name;
                                    });
    return found == all.end() ? nullptr : &*found;
}

auto print_overview(std::ostream& out) -> void
{
    out << "usage: pimentoshunt COMMAND [OPERANDS] [--FLAG=VALUE]\n\n";
    for (const auto& item : commands())
    {
        const std::string name = item.name;
        constexpr std::size_t column = 10;
        out << "  " << name << std::string(column - name.size(), ' ')
            << item.summary << "\n";
    }
    out << "\npimentoshunt help COMMAND describes one command.\n"
           "exit codes: 0 done, 1 refused or faults found, 2 invalid command "
           "line,\n3 no answer or not served now, 4 the plan was changed since "
           "it was read\n";
}

auto print_help(std::ostream& out, const command& item) -> void
{
    out << "usage: pimentoshunt " << item.name << " " << item.operands << "\n\n"
        << item.summary << "\n";
    if (*item.details != '\0')
    {
        out << "\n" << item.details << "\n";
    }
    out << "\nflags:\n  " << describe_flag("output") << "\n";
    for (const auto* const flag : item.flags)
    {
        out << "  " << describe_flag(flag) << "\n";
    }
}

auto reject_foreign_flags(const parsed_command_line& line, const command& item)
    -> result<void>
{
    for (const auto& name : line.given_flags)
    {
        const auto known =
            name == "output" || std::find(item.flags.begin(), item.flags.end(),
                                          name) != item.flags.end();
        if (!known)
        {
            return leaf::new_error(
                error{error_kind::usage, flag_of_other_command, "--" + name,
                      std::string(item.name) + " does not take this flag",
                      std::string("see pimentoshunt help ") + item.name});
        }
    }
    return {};
}

auto run_help(const std::vector<std::string>& positional, std::ostream& out)
    -> result<exit_code>
{
    const auto* const item =
        positional.size() > 1 ? find_command(positional[1]) : nullptr;
    if (item != nullptr)
    {
        print_help(out, *item);
    }
    else
    {
        print_overview(out);
    }
    return exit_code::ok;
}

auto dispatch(const std::vector<std::string>& arguments, const streams& output,
              const serve_function& serve) -> result<exit_code>
{
    BOOST_LEAF_AUTO(line, parse_command_line(arguments));
    if (line.positional.empty())
    {
        print_overview(line.flags.help ? output.out : output.err);
        return line.flags.help ? exit_code::ok : exit_code::usage;
    }
    if (line.positional[0] == "help")
    {
        return run_help(line.positional, output.out);
    }
    const auto* const item = find_command(line.positional[0]);
    if (item == nullptr)
    {
        return leaf::new_error(error{error_kind::usage, unknown_command,
                                     line.positional[0], "unknown command",
                                     "see pimentoshunt help"});
    }
    if (line.flags.help)
    {
        print_help(output.out, *item);
        return exit_code::ok;
    }
    BOOST_LEAF_CHECK(reject_foreign_flags(line, *item));
    return item->function({line.flags,
                           {line.positional.begin() + 1, line.positional.end()},
                           output,
                           serve});
}

auto exit_code_of(const error& fault) -> exit_code
{
    switch (fault.kind)
    {
    case error_kind::usage:
        return exit_code::usage;
    case error_kind::transport:
        return exit_code::unreachable;
    default:
        return exit_code::refused;
    }
}

auto print_error(const std::vector<std::string>& arguments,
                 const streams& output, const error& fault) -> void
{
    const auto wants_json = std::find(arguments.begin(), arguments.end(),
                                      "--output=json") != arguments.end();
    output.err << fault.message() << "\n";
    if (wants_json)
    {
        output.out << boost::json::serialize(
                          boost::json::object{{"error", fault.message()},
                                              {"id", fault.id},
                                              {"remedy", fault.remedy}})
                   << "\n";
    }
}

} // namespace

auto run(const std::vector<std::string>& arguments, const streams& output,
         const serve_function& serve) -> int
{
    const auto code = handle(
        [&]
        {
            return dispatch(arguments, output, serve);
        },
        [&](const error& fault)
        {
            print_error(arguments, output, fault);
            return exit_code_of(fault);
        });
    return static_cast<int>(code);
}

} // namespace pimentoshunt::cli
