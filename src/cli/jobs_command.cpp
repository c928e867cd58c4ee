/// @file
/// The subcommand jobs: submits, lists, shows and cancels jobs.
#include <pimentoshunt/cli/command.hpp>

#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <array>   // array
#include <ostream> // ostream
#include <random>  // random_device

namespace pimentoshunt::cli::detail
{
namespace
{

namespace fields = platform::detail;

constexpr int unknown_action = 817;
constexpr int submission_outcome_unknown = 754;
constexpr int first_error_status = 300;

/// @brief Makes a random Idempotency-Key of 128 bits with the prefix "cli-".
auto make_idempotency_key() -> std::string
{
    constexpr int word_count = 4;
    constexpr std::array digits = {'0', '1', '2', '3', '4', '5', '6', '7',
                                   '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned word_bits = 32;
    std::random_device source;
    std::string key = "cli-";
    for (int i = 0; i < word_count; ++i)
    {
        const std::uint32_t word = source();
        for (unsigned shift = 0; shift < word_bits; shift += bits_per_digit)
        {
            key += digits.at((word >> shift) % digits.size());
        }
    }
    return key;
}

auto scalar_text(const boost::json::value& value) -> std::string
{
    if (const auto* const text = value.if_string())
    {
        return {text->data(), text->size()};
    }
    return boost::json::serialize(value);
}

auto print_object(std::ostream& out, const boost::json::object& body) -> void
{
    for (const auto& member : body)
    {
        out << std::string_view(member.key().data(), member.key().size())
            << ": " << scalar_text(member.value()) << "\n";
    }
}

auto print_list(std::ostream& out, const boost::json::object& body) -> void
{
    const auto* const list = fields::array_of(body, "jobs");
    if (list == nullptr || list->empty())
    {
        out << "no jobs\n";
        return;
    }
    for (const auto& item : *list)
    {
        if (const auto* const job = item.if_object())
        {
            out << fields::text_of(*job, "id") << " "
                << fields::text_of(*job, "workload") << " "
                << fields::text_of(*job, "state") << "\n";
        }
    }
}

auto report_answer(const invocation& call, const operator_answer& answer,
                   void (*print)(std::ostream&, const boost::json::object&))
    -> exit_code
{
    if (answer.status >= first_error_status)
    {
        return report_error_answer(call, answer);
    }
    if (call.wants_json())
    {
        call.output.out << boost::json::serialize(answer.body) << "\n";
    }
    else
    {
        print(call.output.out, answer.body);
    }
    return exit_code::ok;
}

auto submit(const invocation& call) -> result<exit_code>
{
    BOOST_LEAF_CHECK(expect_operands(call, 2, 3));
    BOOST_LEAF_CHECK(expect_name(call.operands[1]));
    std::string body;
    if (call.operands.size() == 3)
    {
        BOOST_LEAF_ASSIGN(body, read_input(call.operands[2]));
    }
    const auto key =
        call.flags.key.empty() ? make_idempotency_key() : call.flags.key;
    const auto answer = handle(
        [&]
        {
            return call.client().post("/jobs/" + call.operands[1], body, key);
        },
        [](const error&)
        {
            return operator_answer();
        });
    if (answer.status == 0)
    {
        return leaf::new_error(error{
            error_kind::transport, submission_outcome_unknown,
            call.flags.server,
            "no answer; it is not known whether the job was accepted",
            "repeat the command with --key=" + key +
                ", here or at another instance; it creates no second job"});
    }
    return report_answer(call, answer, print_object);
}

} // namespace

auto run_jobs(const invocation& call) -> result<exit_code>
{
    BOOST_LEAF_CHECK(expect_operands(call, 1, 3));
    const auto& action = call.operands[0];
    if (action == "submit")
    {
        return submit(call);
    }
    if (action == "list")
    {
        BOOST_LEAF_CHECK(expect_operands(call, 1, 1));
        BOOST_LEAF_AUTO(answer, call.client().get("/jobs"));
        return report_answer(call, answer, print_list);
    }
    if (action != "show" && action != "cancel")
    {
        return leaf::new_error(error{error_kind::usage, unknown_action, action,
                                     "unknown action of jobs",
                                     "use list, show, submit or cancel"});
    }
    BOOST_LEAF_CHECK(expect_operands(call, 2, 2));
    BOOST_LEAF_CHECK(expect_name(call.operands[1]));
    const auto path = "/jobs/" + call.operands[1];
    BOOST_LEAF_AUTO(answer, action == "show" ? call.client().get(path)
                                             : call.client().remove(path));
    return report_answer(call, answer, print_object);
}

} // namespace pimentoshunt::cli::detail
