/// @file
/// JSON answers of the operators' interface.
#pragma once

#include <pimentoshunt/error.hpp>

#include <boost/json/object.hpp>

#include <httplib.h>

namespace pimentoshunt::entry
{

inline constexpr int ok_status = 200;
inline constexpr int unprocessable_status = 422;
inline constexpr int unavailable_status = 503;

/// @brief Answers with a JSON object; 503 also with Retry-After.
auto write_json(httplib::Response& response, int status,
                const boost::json::object& body) -> void;

/// @brief Answers with an error's message, id and remedy.
auto write_error(httplib::Response& response, int status, const error& fault)
    -> void;

/// @brief Answers 503 where not even the kind of failure is known.
auto write_unknown_error(httplib::Response& response) -> void;

} // namespace pimentoshunt::entry
