/// @file
/// Reads members of JSON objects, with a default for members that are absent
/// or of another type, and converts resources from and to JSON.
#pragma once

#include <pimentoshunt/resources.hpp>

#include <boost/json.hpp> // object, value

#include <cstdint> // int64_t
#include <string>  // string

namespace pimentoshunt::standins
{

namespace json = boost::json;

/// @brief The string member @p key, or an empty string if there is none.
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

/// @brief The numeric member @p key as an integer, or @p fallback if there is
/// none.
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

/// @brief The Boolean member @p key, or @p fallback if there is none.
[[nodiscard]] inline auto flag_of(const json::object& object,
                                  json::string_view key, bool fallback = false)
    -> bool
{
    const auto* value = object.if_contains(key);
    return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

/// @brief The four resource amounts of a JSON object; absent ones are zero.
[[nodiscard]] inline auto resources_of(const json::object& object) -> resources
{
    return {number_of(object, "slots"), number_of(object, "millicpus"),
            number_of(object, "memory_mb"), number_of(object, "accelerators")};
}

/// @brief The object member @p key as resources; zero if there is none.
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

/// @brief Encodes resources as they are written on the wire.
[[nodiscard]] inline auto to_json(const resources& amount) -> json::object
{
    return {{"slots", amount.slots},
            {"millicpus", amount.millicpus},
            {"memory_mb", amount.memory_mb},
            {"accelerators", amount.accelerators}};
}

} // namespace pimentoshunt::standins
