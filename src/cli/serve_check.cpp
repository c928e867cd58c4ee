/// @file
/// The subcommands serve, cell, check and version.
#include <pimentoshunt/cli/command.hpp>

#include <pimentoshunt/cell/serve.hpp>
#include <pimentoshunt/logging.hpp>
#include <pimentoshunt/plan/parse.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <ostream> // ostream

namespace pimentoshunt::cli::detail
{
namespace
{

constexpr int no_settings_file = 813;
constexpr int unknown_subject = 814;

auto find_faults(const std::string& subject, const std::string& text)
    -> result<std::vector<json::fault>>
{
    if (subject == "plan")
    {
        return plan::check(text);
    }
    if (subject == "settings")
    {
        return check_settings(text);
    }
    if (subject == "cell")
    {
        return cell::check_settings(text);
    }
    return leaf::new_error(error{error_kind::usage, unknown_subject, subject,
                                 "unknown subject of check",
                                 "write check plan FILE, check settings FILE "
                                 "or check cell FILE"});
}

auto print_faults_text(std::ostream& out, const std::string& file,
                       const std::vector<json::fault>& faults) -> void
{
    for (const auto& item : faults)
    {
        out << file << ": " << json::to_string(item) << "\n";
    }
    out << file << ": "
        << (faults.empty() ? "no faults"
                           : std::to_string(faults.size()) + " faults")
        << "\n";
}

auto print_faults_json(std::ostream& out,
                       const std::vector<json::fault>& faults) -> void
{
    boost::json::array list;
    for (const auto& item : faults)
    {
        list.push_back(boost::json::object{{"pointer", item.pointer},
                                           {"line", item.line},
                                           {"message", item.message},
                                           {"remedy", item.remedy}});
    }
    out << boost::json::serialize(boost::json::object{{"faults", list}})
        << "\n";
}

} // namespace

namespace
{

auto read_settings_file(const invocation& call, const std::string& command)
    -> result<std::string>
{
    BOOST_LEAF_CHECK(expect_operands(call, 0, 0));
    if (call.flags.settings_file.empty())
    {
        return leaf::new_error(error{error_kind::usage, no_settings_file, "",
                                     command + " needs a settings file",
                                     "add --settings=FILE"});
    }
    return read_input(call.flags.settings_file);
}

} // namespace

auto run_cell(const invocation& call) -> result<exit_code>
{
    BOOST_LEAF_AUTO(text, read_settings_file(call, "cell"));
    BOOST_LEAF_AUTO(config, cell::parse_settings(text));
    return static_cast<exit_code>(
        cell::serve(config, call.flags.settings_file));
}

auto run_serve(const invocation& call) -> result<exit_code>
{
    BOOST_LEAF_AUTO(text, read_settings_file(call, "serve"));
    BOOST_LEAF_AUTO(config, parse_settings(text));
    logging::setup(config);
    return static_cast<exit_code>(call.serve(config));
}

auto run_check(const invocation& call) -> result<exit_code>
{
    BOOST_LEAF_CHECK(expect_operands(call, 2, 2));
    BOOST_LEAF_AUTO(text, read_input(call.operands[1]));
    BOOST_LEAF_AUTO(faults, find_faults(call.operands[0], text));
    return report_faults(call, call.operands[1], faults);
}

auto report_faults(const invocation& call, const std::string& file,
                   const std::vector<json::fault>& faults) -> exit_code
{
    if (call.wants_json())
    {
        print_faults_json(call.output.out, faults);
    }
    else
    {
        print_faults_text(call.output.out, file, faults);
    }
    return faults.empty() ? exit_code::ok : exit_code::refused;
}

auto run_version(const invocation& call) -> result<exit_code>
{
    BOOST_LEAF_CHECK(expect_operands(call, 0, 0));
    if (call.wants_json())
    {
        call.output.out << R"({"version":")" PIMENTOSHUNT_VERSION "\"}\n";
    }
    else
    {
        call.output.out << "pimentoshunt " PIMENTOSHUNT_VERSION "\n";
    }
    return exit_code::ok;
}

} // namespace pimentoshunt::cli::detail
