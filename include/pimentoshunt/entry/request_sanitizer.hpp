/// @file
/// Protects a caller's HTTP request from being interpreted by the HTTP
/// library, rejects ambiguous message framing (request smuggling), and selects
/// the headers that are forwarded in either direction.
#pragma once

#include <pimentoshunt/entry/caller_response.hpp>

#include <httplib.h>

#include <cstddef>  // size_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::entry
{

/// @brief Prepares a request so that the library treats its body as opaque.
///
/// Headers that the library would act on are renamed. A request with a body is
/// read with its body whatever its method. A request whose body has no certain
/// end is rejected unread.
/// @param request  changed in place, before it is routed
/// @param body_limit  largest body in bytes
/// @return the response to a rejected request, after which the connection has
///         to be closed; nothing for an accepted request
[[nodiscard]] auto sanitize_request(httplib::Request& request,
                                    std::size_t body_limit)
    -> std::optional<caller_response>;

/// @brief The method that the caller sent, after sanitize_request().
[[nodiscard]] auto original_method(const httplib::Request& request)
    -> std::string;

/// @brief The headers to forward to a worker, under their original names.
[[nodiscard]] auto forwarded_headers(const httplib::Request& request)
    -> std::vector<platform::http_header>;

/// @brief Whether a header of a worker's response is returned to the caller.
[[nodiscard]] auto is_returned_header(const std::string& name) -> bool;

} // namespace pimentoshunt::entry
