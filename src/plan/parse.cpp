#include <pimentoshunt/plan/parse.hpp>

#include "reading.hpp"

#include <pimentoshunt/json/document_reader.hpp>

#include <utility> // move

namespace pimentoshunt::plan
{
namespace
{

auto read(const std::string& text, const std::vector<resources>& workers)
    -> detail::reading
{
    auto source = json::read_text(text, max_plan_bytes);
    detail::reading out;
    out.faults = std::move(source.faults);
    if (source.readable)
    {
        detail::read_shape(source.root, out);
        detail::check_meaning(out);
        detail::check_fit(out, workers);
    }
    json::locate(out.faults, source.places);
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
    return json::result_of(error_kind::plan, outcome.faults,
                           std::move(outcome.parsed));
}

} // namespace pimentoshunt::plan
