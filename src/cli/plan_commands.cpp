/// @file
/// The subcommands apply, get and diff.
#include <pimentoshunt/cli/command.hpp>

#include <pimentoshunt/plan/diff.hpp>
#include <pimentoshunt/plan/parse.hpp>
#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <optional> // optional
#include <ostream>  // ostream
#include <thread>   // sleep_for
#include <utility>  // move

namespace pimentoshunt::cli::detail
{
namespace
{

namespace fields = platform::detail;

constexpr int ok_status = 200;
constexpr int conflict_status = 409;
constexpr int unavailable_status = 503;
constexpr int apply_outcome_unknown = 753;
constexpr milliseconds retry_delay{250};

/// @brief Result of submitting a plan.
enum class submission_status
{
    accepted,
    stale,
    refused
};

/// @brief Result of a submission and the answer that it was derived from.
struct submission_outcome
{
    submission_status end = submission_status::refused;
    std::uint64_t revision = 0;
    operator_answer answer;
    /// An earlier answer was lost and another plan is in force now: the
    /// submitted plan may have been accepted and replaced since.
    bool may_be_superseded = false;
};

auto print_changes(const invocation& call,
                   const std::vector<plan::plan_change>& changes) -> void
{
    for (const auto& item : changes)
    {
        call.output.out << "  " << plan::to_string(item) << "\n";
    }
}

auto changes_json(const std::vector<plan::plan_change>& changes)
    -> boost::json::array
{
    boost::json::array list;
    for (const auto& item : changes)
    {
        list.push_back(boost::json::string(plan::to_string(item)));
    }
    return list;
}

auto print_json(const invocation& call, const boost::json::object& body) -> void
{
    call.output.out << boost::json::serialize(body) << "\n";
}

/// @brief Reads the plan in force; returns nothing on any error.
auto read_in_force(const operator_client& client) -> std::optional<remote_plan>
{
    return handle(
        [&]() -> result<std::optional<remote_plan>>
        {
            BOOST_LEAF_AUTO(now, client.plan());
            return std::optional<remote_plan>(std::move(now));
        },
        [](const error&)
        {
            return std::optional<remote_plan>();
        });
}

/// @brief Submits the plan once.
/// @return nothing if the outcome is unknown: no answer, or status 503
auto try_submit(const operator_client& client, const std::string& text,
                std::uint64_t based_on) -> std::optional<operator_answer>
{
    return handle(
        [&]() -> result<std::optional<operator_answer>>
        {
            BOOST_LEAF_AUTO(
                answer,
                client.put("/plan?revision=" + std::to_string(based_on), text));
            return answer.status == unavailable_status
                       ? std::optional<operator_answer>()
                       : std::optional<operator_answer>(std::move(answer));
        },
        [](const error&)
        {
            return std::optional<operator_answer>();
        });
}

auto classify_answer(operator_answer answer) -> submission_outcome
{
    submission_outcome outcome;
    outcome.answer = std::move(answer);
    if (outcome.answer.status == ok_status)
    {
        outcome.end = submission_status::accepted;
        outcome.revision = static_cast<std::uint64_t>(
            fields::number_of(outcome.answer.body, "revision"));
    }
    else if (outcome.answer.status == conflict_status)
    {
        outcome.end = submission_status::stale;
    }
    return outcome;
}

/// @brief Classifies a conflict that follows a lost answer. The first
/// submission may have been accepted, so the conflict is a success if the plan
/// in force is the submitted one.
/// @return nothing if the plan in force can't be read
auto classify_after_lost_answer(const operator_client& client,
                                const std::string& text, operator_answer answer)
    -> std::optional<submission_outcome>
{
    const auto now = read_in_force(client);
    if (!now)
    {
        return std::nullopt;
    }
    auto outcome = classify_answer(std::move(answer));
    if (now->text == text)
    {
        outcome.end = submission_status::accepted;
        outcome.revision = now->revision;
    }
    outcome.may_be_superseded = now->text != text;
    return outcome;
}

auto unknown_outcome_error(const invocation& call, std::uint64_t based_on)
    -> leaf::error_id
{
    return leaf::new_error(
        error{error_kind::transport, apply_outcome_unknown, call.flags.server,
              "it is not known whether the plan was accepted",
              "repeat the command with --revision=" + std::to_string(based_on) +
                  ", here or at another instance; it can't take effect twice"});
}

/// @brief Submits until the outcome is known. All attempts name the same
/// revision, so the plan can't take effect twice.
/// @throw (leaf) transport error 753 if the outcome is still unknown at the
///        timeout
auto submit(const invocation& call, const std::string& text,
            std::uint64_t based_on) -> result<submission_outcome>
{
    const auto client = call.client();
    const auto limit = boot_clock::now() + call.flags.timeout;
    auto answer_lost = false;
    while (true)
    {
        auto answer = try_submit(client, text, based_on);
        if (answer && !(answer_lost && answer->status == conflict_status))
        {
            return classify_answer(std::move(*answer));
        }
        if (answer)
        {
            auto outcome =
                classify_after_lost_answer(client, text, std::move(*answer));
            if (outcome)
            {
                return std::move(*outcome);
            }
        }
        answer_lost = true;
        if (boot_clock::now() + retry_delay >= limit)
        {
            return unknown_outcome_error(call, based_on);
        }
        std::this_thread::sleep_for(retry_delay);
    }
}

auto print_reported_changes(std::ostream& out, const boost::json::object& body)
    -> void
{
    const auto* const list = fields::array_of(body, "changes");
    if (list == nullptr)
    {
        return;
    }
    for (const auto& item : *list)
    {
        out << "  "
            << (item.is_string() ? std::string(item.get_string().data(),
                                               item.get_string().size())
                                 : boost::json::serialize(item))
            << "\n";
    }
}

auto report_stale(const invocation& call, std::uint64_t based_on,
                  const submission_outcome& outcome) -> exit_code
{
    const auto& body = outcome.answer.body;
    if (outcome.may_be_superseded)
    {
        call.output.err
            << "an earlier attempt got no answer: the plan may have been "
               "accepted and replaced since\n";
    }
    call.output.err << "refused: you read revision " << based_on
                    << ", but revision " << fields::number_of(body, "current")
                    << " is in force; changed since:\n";
    print_reported_changes(call.output.err, body);
    call.output.err
        << "remedy: get the plan, make your change in it and apply it "
           "with its revision\n";
    if (call.wants_json())
    {
        print_json(call, body);
    }
    return exit_code::stale;
}

auto report_remote_faults(const invocation& call, const operator_answer& answer)
    -> exit_code
{
    const auto* const list = fields::array_of(answer.body, "faults");
    if (list == nullptr)
    {
        return report_error_answer(call, answer);
    }
    for (const auto& item : *list)
    {
        if (const auto* const fault = item.if_object())
        {
            call.output.err << "line " << fields::number_of(*fault, "line")
                            << ", " << fields::text_of(*fault, "pointer")
                            << ": " << fields::text_of(*fault, "message")
                            << "; remedy: " << fields::text_of(*fault, "remedy")
                            << "\n";
        }
    }
    call.output.err << "refused: " << list->size() << " faults\n";
    if (call.wants_json())
    {
        print_json(call, answer.body);
    }
    return exit_code::refused;
}

auto report_accepted(const invocation& call, std::uint64_t revision,
                     const std::vector<plan::plan_change>& changes) -> exit_code
{
    if (call.wants_json())
    {
        print_json(
            call, {{"revision", revision}, {"changes", changes_json(changes)}});
        return exit_code::ok;
    }
    call.output.out << "accepted as revision " << revision << "\n";
    print_changes(call, changes);
    return exit_code::ok;
}

auto report_unchanged(const invocation& call, std::uint64_t revision)
    -> exit_code
{
    if (call.wants_json())
    {
        print_json(call,
                   {{"revision", revision}, {"changes", boost::json::array()}});
        return exit_code::ok;
    }
    call.output.out << "already in force as revision " << revision << "\n";
    return exit_code::ok;
}

} // namespace

auto run_apply(const invocation& call) -> result<exit_code>
{
    BOOST_LEAF_CHECK(expect_operands(call, 1, 1));
    BOOST_LEAF_AUTO(text, read_input(call.operands[0]));
    const auto faults = plan::check(text);
    if (!faults.empty())
    {
        return report_faults(call, call.operands[0], faults);
    }
    BOOST_LEAF_AUTO(now, call.client().plan());
    if (now.text == text)
    {
        return report_unchanged(call, now.revision);
    }
    const auto based_on = call.flags.revision.value_or(now.revision);
    const auto changes = plan::diff(now.text, text);
    BOOST_LEAF_AUTO(outcome, submit(call, text, based_on));
    switch (outcome.end)
    {
    case submission_status::accepted:
        return report_accepted(call, outcome.revision, changes);
    case submission_status::stale:
        return report_stale(call, based_on, outcome);
    case submission_status::refused:
        break;
    }
    return report_remote_faults(call, outcome.answer);
}

auto run_get(const invocation& call) -> result<exit_code>
{
    BOOST_LEAF_CHECK(expect_operands(call, 0, 0));
    BOOST_LEAF_AUTO(now, call.client().plan());
    if (call.wants_json())
    {
        print_json(call, now.body);
        return exit_code::ok;
    }
    call.output.out << now.text;
    auto& err = call.output.err;
    err << "revision " << now.revision;
    const auto since = fields::number_of(now.body, "since_ms", -1);
    if (since >= 0)
    {
        err << ", in force for " << since << " ms";
    }
    const auto confirmed = fields::number_of(now.body, "confirmed_ms_ago", -1);
    if (confirmed >= 0)
    {
        err << ", known to be the newest " << confirmed << " ms ago";
    }
    err << "\n";
    if (const auto* const list = fields::array_of(now.body, "instances"))
    {
        for (const auto& item : *list)
        {
            if (const auto* const one = item.if_object())
            {
                err << "  " << fields::text_of(*one, "id") << ": revision "
                    << fields::number_of(*one, "revision") << "\n";
            }
        }
    }
    return exit_code::ok;
}

auto run_diff(const invocation& call) -> result<exit_code>
{
    BOOST_LEAF_CHECK(expect_operands(call, 1, 2));
    std::string before;
    if (call.operands.size() == 2)
    {
        BOOST_LEAF_ASSIGN(before, read_input(call.operands[0]));
    }
    else
    {
        BOOST_LEAF_AUTO(now, call.client().plan());
        before = now.text;
    }
    BOOST_LEAF_AUTO(text, read_input(call.operands.back()));
    // An invalid plan is reported as an error instead of a difference.
    BOOST_LEAF_AUTO(after, plan::parse(text));
    plan::document old;
    if (!before.empty())
    {
        BOOST_LEAF_ASSIGN(old, plan::parse(before));
    }
    const auto changes = plan::diff(old, after);
    if (call.wants_json())
    {
        print_json(call, {{"changes", changes_json(changes)}});
        return exit_code::ok;
    }
    if (changes.empty())
    {
        call.output.out << "no difference\n";
    }
    print_changes(call, changes);
    return exit_code::ok;
}

} // namespace pimentoshunt::cli::detail
