#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/array.hpp> // array
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp> // parse

namespace pimentoshunt::platform::detail
{

auto parse_object(std::string_view text) -> std::optional<boost::json::object>
{
    boost::json::error_code fault;
    // One block in place of an allocation for each value; released as a whole.
    auto parsed = boost::json::parse(
        {text.data(), text.size()}, fault,
        boost::json::make_shared_resource<boost::json::monotonic_resource>());
    if (fault || !parsed.is_object())
    {
        return std::nullopt;
    }
    return std::move(parsed.as_object());
}

auto text_of(const boost::json::object& from, std::string_view name)
    -> std::string
{
    const auto* member = from.if_contains({name.data(), name.size()});
    const auto* text = member == nullptr ? nullptr : member->if_string();
    return text == nullptr ? std::string()
                           : std::string(text->data(), text->size());
}

auto number_of(const boost::json::object& from, std::string_view name,
               std::int64_t otherwise) -> std::int64_t
{
    const auto* member = from.if_contains({name.data(), name.size()});
    if (member == nullptr || !member->is_number())
    {
        return otherwise;
    }
    boost::json::error_code fault;
    const auto number = member->to_number<std::int64_t>(fault);
    return fault ? otherwise : number;
}

auto real_of(const boost::json::object& from, std::string_view name,
             double otherwise) -> double
{
    const auto* member = from.if_contains({name.data(), name.size()});
    if (member == nullptr || !member->is_number())
    {
        return otherwise;
    }
    boost::json::error_code fault;
    const auto number = member->to_number<double>(fault);
    return fault ? otherwise : number;
}

auto flag_of(const boost::json::object& from, std::string_view name) -> bool
{
    const auto* member = from.if_contains({name.data(), name.size()});
    const auto* flag = member == nullptr ? nullptr : member->if_bool();
    return flag != nullptr && *flag;
}

auto array_of(const boost::json::object& from, std::string_view name)
    -> const boost::json::array*
{
    const auto* member = from.if_contains({name.data(), name.size()});
    return member == nullptr ? nullptr : member->if_array();
}

auto object_of(const boost::json::object& from, std::string_view name)
    -> const boost::json::object*
{
    const auto* member = from.if_contains({name.data(), name.size()});
    return member == nullptr ? nullptr : member->if_object();
}

auto resources_of(const boost::json::object& from, std::string_view name)
    -> resources
{
    const auto* amounts = object_of(from, name);
    if (amounts == nullptr)
    {
        return {};
    }
    return resources{
        number_of(*amounts, "slots"), number_of(*amounts, "millicpus"),
        number_of(*amounts, "memory_mb"), number_of(*amounts, "accelerators")};
}

auto to_json(const resources& amounts) -> boost::json::object
{
    return {{"slots", amounts.slots},
            {"millicpus", amounts.millicpus},
            {"memory_mb", amounts.memory_mb},
            {"accelerators", amounts.accelerators}};
}

} // namespace pimentoshunt::platform::detail
