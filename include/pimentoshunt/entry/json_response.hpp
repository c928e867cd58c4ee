/// @file
/// Writes the JSON responses of the operators' interface.
#pragma once

#include <pimentoshunt/error.hpp>

#include <boost/json/object.hpp>

#include <httplib.h>

namespace pimentoshunt::entry
{

inline constexpr int ok_status = 200;
inline constexpr int unprocessable_status = 422;
inline constexpr int unavailable_status = 503;

/// @brief Writes a JSON object as the response; status 503 also sets
/// Retry-After.
auto write_json(httplib::Response& response, int status,
                const boost::json::object& body) -> void;

/// @brief Writes an error's message, id and remedy as the response.
auto write_error(httplib::Response& response, int status, const error& fault)
    -> void;

/// @brief Writes a 503 response for a failure of unknown kind.
auto write_unknown_error(httplib::Response& response) -> void;

} // namespace pimentoshunt::entry
