/// @file
/// Lenient access to JSON members: a member that is missing or of another type
/// yields a default, so that messages of newer peers with additional or changed
/// members are still understood.
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
/// @return nothing if the text is not JSON or not an object
[[nodiscard]] auto parse_object(std::string_view text)
    -> std::optional<boost::json::object>;

/// @brief Reads a string member; the default is the empty string.
[[nodiscard]] auto text_of(const boost::json::object& from,
                           std::string_view name) -> std::string;

/// @brief Reads an integer member; the default is @p otherwise.
[[nodiscard]] auto number_of(const boost::json::object& from,
                             std::string_view name, std::int64_t otherwise = 0)
    -> std::int64_t;

/// @brief Reads a floating-point member; the default is @p otherwise.
[[nodiscard]] auto real_of(const boost::json::object& from,
                           std::string_view name, double otherwise = 0)
    -> double;

/// @brief Reads a boolean member; the default is false.
[[nodiscard]] auto flag_of(const boost::json::object& from,
                           std::string_view name) -> bool;

/// @brief Finds an array member; the default is nullptr.
[[nodiscard]] auto array_of(const boost::json::object& from,
                            std::string_view name) -> const boost::json::array*;

/// @brief Finds an object member; the default is nullptr.
[[nodiscard]] auto object_of(const boost::json::object& from,
                             std::string_view name)
    -> const boost::json::object*;

/// @brief Reads resource amounts from an object member; amounts that are
/// missing are zero.
[[nodiscard]] auto resources_of(const boost::json::object& from,
                                std::string_view name) -> resources;

/// @brief Makes a JSON object of resource amounts.
[[nodiscard]] auto to_json(const resources& amounts) -> boost::json::object;

} // namespace pimentoshunt::platform::detail
