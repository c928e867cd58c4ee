/// @file
/// Tolerant reads of JSON members: a member that is missing or of another
/// type yields a default, so that a newer peer's extra or changed members do
/// no harm.
#pragma once

#include <pimentoshunt/resources.hpp>

#include <boost/json/object.hpp> // object
#include <boost/json/value.hpp>  // value

#include <cstdint>     // int64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace pimentoshunt::platform::detail
{

/// @brief Parses text whose outermost value is an object.
/// @return nothing when the text is not JSON or not an object
[[nodiscard]] auto parse_object(std::string_view text)
    -> std::optional<boost::json::object>;

/// @brief A string member, or the empty string.
[[nodiscard]] auto text_of(const boost::json::object& from,
                           std::string_view name) -> std::string;

/// @brief An integer member, or @p otherwise.
[[nodiscard]] auto number_of(const boost::json::object& from,
                             std::string_view name, std::int64_t otherwise = 0)
    -> std::int64_t;

/// @brief A member that may have a fraction, or @p otherwise.
[[nodiscard]] auto real_of(const boost::json::object& from,
                           std::string_view name, double otherwise = 0)
    -> double;

/// @brief A boolean member, or false.
[[nodiscard]] auto flag_of(const boost::json::object& from,
                           std::string_view name) -> bool;

/// @brief An array member, or nullptr.
[[nodiscard]] auto array_of(const boost::json::object& from,
                            std::string_view name) -> const boost::json::array*;

/// @brief An object member, or nullptr.
[[nodiscard]] auto object_of(const boost::json::object& from,
                             std::string_view name)
    -> const boost::json::object*;

/// @brief The amounts in an object member; zero where it says nothing.
[[nodiscard]] auto resources_of(const boost::json::object& from,
                                std::string_view name) -> resources;

/// @brief The amounts as a JSON object.
[[nodiscard]] auto to_json(const resources& amounts) -> boost::json::object;

} // namespace pimentoshunt::platform::detail
