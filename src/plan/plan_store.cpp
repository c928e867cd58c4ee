/// @file
/// JSON format of plan rows, row keys and the errors of the plan store.
#include <pimentoshunt/plan/plan_store.hpp>

#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/object.hpp>    // object
#include <boost/json/serialize.hpp> // serialize

namespace pimentoshunt::plan::detail
{
namespace
{

namespace fields = platform::detail;
using std::chrono::system_clock;

/// Revisions are zero-padded in keys so that key order is revision order; 20
/// digits hold any 64-bit number.
constexpr std::size_t revision_digits = 20;

} // namespace

auto serialize_plan_row(const plan_row& item) -> std::string
{
    const auto since_epoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            item.plan.accepted_at.time_since_epoch());
    boost::json::object out{{"revision", item.plan.revision},
                            {"submitted_by", item.plan.submitted_by},
                            {"accepted_at_ms", since_epoch.count()},
                            {"write_id", item.write_id}};
    if (item.object.empty())
    {
        out["text"] = item.plan.text;
    }
    else
    {
        out["object"] = item.object;
    }
    return boost::json::serialize(out);
}

auto parse_plan_row(const std::string& text) -> std::optional<plan_row>
{
    const auto parsed = fields::parse_object(text);
    if (!parsed || fields::number_of(*parsed, "revision") < 1)
    {
        return std::nullopt;
    }
    plan_row out;
    out.plan.revision =
        static_cast<std::uint64_t>(fields::number_of(*parsed, "revision"));
    out.plan.submitted_by = fields::text_of(*parsed, "submitted_by");
    out.plan.accepted_at = system_clock::time_point(std::chrono::milliseconds(
        fields::number_of(*parsed, "accepted_at_ms")));
    out.plan.text = fields::text_of(*parsed, "text");
    out.object = fields::text_of(*parsed, "object");
    out.write_id = fields::text_of(*parsed, "write_id");
    if (!parsed->contains("text") && out.object.empty())
    {
        return std::nullopt;
    }
    return out;
}

auto history_key(std::uint64_t revision) -> std::string
{
    const auto digits = std::to_string(revision);
    return "plan/rev/" + std::string(revision_digits - digits.size(), '0') +
           digits;
}

auto stale_revision_error(std::uint64_t based_on, std::uint64_t in_force)
    -> leaf::error_id
{
    return leaf::new_error(
        error{error_kind::plan, stale_revision, current_plan_key,
              "the text is based on revision " + std::to_string(based_on) +
                  ", but revision " + std::to_string(in_force) + " is in force",
              "read revision " + std::to_string(in_force) +
                  ", merge the changes and submit the result"});
}

auto unknown_outcome_error(std::uint64_t revision) -> leaf::error_id
{
    return leaf::new_error(
        error{error_kind::plan, submission_outcome_unknown, current_plan_key,
              "it is not known whether the text became revision " +
                  std::to_string(revision),
              "read the plan in force; if it is not this text, submit it "
              "again"});
}

auto unreadable_plan_error(const std::string& key) -> leaf::error_id
{
    return leaf::new_error(
        error{error_kind::plan, stored_plan_unreadable, key,
              "the stored plan cannot be read",
              "restore the row or object from the platform's backup"});
}

} // namespace pimentoshunt::plan::detail
