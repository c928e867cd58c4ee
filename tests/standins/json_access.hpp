/// @file
/// Lenient reading of JSON members, with a default for those that are absent.
#pragma once

#include <pimentoshunt/resources.hpp>

#include <boost/json.hpp> // object, value

#include <cstdint> // int64_t
#include <string>  // string

namespace pimentoshunt::standins
{

namespace json = boost::json;

/// @brief The string member @p key, or an empty string.
[[nodiscard]] inline auto text_of(const json::object& object,
                                  json::string_view key) -> std::string
{
    const auto* value = object.if_contains(key);
    if (value == nullptr || !value->is_string())
    {
        return {};
    }
    return {value->get_string().data(), value->get_string().size()};
}

/// @brief The integer member @p key, or @p fallback.
[[nodiscard]] inline auto number_of(const json::object& object,
                                    json::string_view key,
                                    std::int64_t fallback = 0) -> std::int64_t
{
    const auto* value = object.if_contains(key);
    if (value == nullptr || !value->is_number())
    {
        return fallback;
    }
    return value->to_number<std::int64_t>();
}

/// @brief The boolean member @p key, or @p fallback.
[[nodiscard]] inline auto flag_of(const json::object& object,
                                  json::string_view key, bool fallback = false)
    -> bool
{
    const auto* value = object.if_contains(key);
    return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

/// @brief The four amounts of a JSON object; absent ones are zero.
[[nodiscard]] inline auto resources_of(const json::object& object) -> resources
{
    return {number_of(object, "slots"), number_of(object, "millicpus"),
            number_of(object, "memory_mb"), number_of(object, "accelerators")};
}

/// @brief The member @p key as resources; zero when absent.
[[nodiscard]] inline auto resources_in(const json::object& object,
                                       json::string_view key) -> resources
{
    const auto* value = object.if_contains(key);
    if (value == nullptr || !value->is_object())
    {
        return {};
    }
    return resources_of(value->get_object());
}

/// @brief The wire form of resources.
[[nodiscard]] inline auto to_json(const resources& amount) -> json::object
{
    return {{"slots", amount.slots},
            {"millicpus", amount.millicpus},
            {"memory_mb", amount.memory_mb},
            {"accelerators", amount.accelerators}};
}

} // namespace pimentoshunt::standins
