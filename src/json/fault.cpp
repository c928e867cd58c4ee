#include <pimentoshunt/json/fault.hpp>

#include <utility> // move

namespace pimentoshunt::json
{
namespace
{

constexpr int error_ids_per_kind = 100;

auto error_id(error_kind kind, fault_kind what) -> int
{
    return static_cast<int>(kind) * error_ids_per_kind + static_cast<int>(what);
}

} // namespace

auto add_fault(std::vector<fault>& faults, fault item) -> void
{
    if (faults.size() < max_faults)
    {
        faults.push_back(std::move(item));
    }
}

auto to_string(const fault& item) -> std::string
{
    std::string place;
    if (item.line != 0)
    {
        place = "line " + std::to_string(item.line);
    }
    if (!item.pointer.empty())
    {
        place += (place.empty() ? "" : ", ") + item.pointer;
    }
    auto text = place.empty() ? item.message : place + ": " + item.message;
    if (!item.remedy.empty())
    {
        text += "; remedy: " + item.remedy;
    }
    return text;
}

auto to_error(error_kind kind, const std::vector<fault>& faults) -> error
{
    if (faults.size() == 1)
    {
        const auto& single = faults.front();
        return {kind, error_id(kind, single.kind), single.pointer,
                single.message, single.remedy};
    }
    auto text = std::to_string(faults.size()) + " faults";
    for (const auto& item : faults)
    {
        text += "\n  " + to_string(item);
    }
    return {kind, error_id(kind, fault_kind::several), "", text + "\n",
            "correct each of them"};
}

auto child_pointer(const std::string& parent, const std::string& token)
    -> std::string
{
    auto pointer = parent + "/";
    for (const auto letter : token)
    {
        switch (letter)
        {
        case '~':
            pointer += "~0";
            break;
        case '/':
            pointer += "~1";
            break;
        default:
            pointer += letter;
        }
    }
    return pointer;
}

} // namespace pimentoshunt::json
