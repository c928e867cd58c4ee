/// @file
/// Runs the parsing steps of a plan in order and collects their faults.
#include <pimentoshunt/plan/parse.hpp>

#include "parse_steps.hpp"

#include <pimentoshunt/json/document_reader.hpp>

#include <utility> // move

namespace pimentoshunt::plan
{
namespace
{

/// Runs all parsing steps. A text that is not valid JSON or too long is not
/// checked further.
auto read(const std::string& text, const std::vector<resources>& workers)
    -> detail::parse_state
{
    auto source = json::read_text(text, max_plan_bytes);
    detail::parse_state out;
    out.faults = std::move(source.faults);
    if (source.is_well_formed)
    {
        detail::read_structure(source.root, out);
        detail::check_semantics(out);
        detail::check_worker_capacity(out, workers);
    }
    json::assign_lines(out.faults, source.positions);
    return out;
}

} // namespace

auto check(const std::string& text, const std::vector<resources>& workers)
    -> std::vector<plan_fault>
{
    return read(text, workers).faults;
}

auto parse(const std::string& text) -> result<document>
{
    auto outcome = read(text, {});
    return json::value_or_error(error_kind::plan, outcome.faults,
                                std::move(outcome.parsed));
}

} // namespace pimentoshunt::plan
