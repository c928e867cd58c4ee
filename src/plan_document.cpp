#include <pimentoshunt/plan/document.hpp>

#include <algorithm> // find_if

namespace pimentoshunt::plan
{
namespace
{

template<class Range, class Name>
auto find_named(const Range& range, const Name& name) ->
    typename Range::const_pointer
{
    const auto found = std::find_if(range.begin(), range.end(),
                                    [&](const auto& item)
                                    {
                                        return item.name == name;
                                    });
    return found == range.end() ? nullptr : &*found;
}

} // namespace

auto to_string(work_class value) -> std::string
{
    switch (value)
    {
    case work_class::service:
        return "service";
    case work_class::batch:
        return "batch";
    case work_class::gang:
        return "gang";
    }
    return "unknown";
}

auto document::find(const workload_name& name) const -> const workload*
{
    return find_named(workloads, name);
}

auto document::find(const workspace_name& name) const -> const workspace*
{
    return find_named(workspaces, name);
}

} // namespace pimentoshunt::plan
