#include <pimentoshunt/metrics/label_set.hpp>

namespace pimentoshunt::metrics
{
namespace
{

auto matches(const std::string& wanted, const std::string& found) -> bool
{
    return wanted.empty() || wanted == found;
}

auto escaped(const std::string& value) -> std::string
{
    std::string text;
    for (const auto letter : value)
    {
        switch (letter)
        {
        case '\\':
            text += "\\\\";
            break;
        case '"':
            text += "\\\"";
            break;
        case '\n':
            text += "\\n";
            break;
        default:
            text += letter;
        }
    }
    return text;
}

auto append(std::string& text, const char* name, const std::string& value)
    -> void
{
    if (value.empty())
    {
        return;
    }
    text += text.empty() ? "" : ",";
    text += std::string(name) + "=\"" + escaped(value) + "\"";
}

} // namespace

auto label_set::selects(const label_set& other) const -> bool
{
    return matches(workspace, other.workspace) && matches(cls, other.cls) &&
           matches(workload, other.workload) && matches(kind, other.kind);
}

auto label_set::text() const -> std::string
{
    std::string joined;
    append(joined, "workspace", workspace);
    append(joined, "class", cls);
    append(joined, "workload", workload);
    append(joined, "kind", kind);
    return joined;
}

} // namespace pimentoshunt::metrics
