/// @file
/// What a caller's message must keep, and must not smuggle in, on its way
/// through the HTTP library.
#pragma once

#include <pimentoshunt/entry/caller_response.hpp>

#include <httplib.h>

#include <cstddef>  // size_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::entry
{

/// @brief Makes a request safe to be read by the library, which is then to
/// treat its body as opaque.
///
/// Headers on which the library would act are renamed, a request with a body
/// is read as one whatever its method, and a request without an end is not
/// read at all.
/// @param request  changed in place, before it is routed
/// @param body_limit  bytes of the longest body
/// @return the answer to a request that must not be read; its connection is
///         to be closed
[[nodiscard]] auto sanitize_request(httplib::Request& request,
                                    std::size_t body_limit)
    -> std::optional<caller_response>;

/// @brief The method that the caller sent, after guard_message().
[[nodiscard]] auto original_method(const httplib::Request& request)
    -> std::string;

/// @brief The headers that go on to a worker, under their own names.
[[nodiscard]] auto forwarded_headers(const httplib::Request& request)
    -> std::vector<platform::http_header>;

/// @brief Whether a header of a worker's answer goes on to the caller.
[[nodiscard]] auto is_returned_header(const std::string& name) -> bool;

} // namespace pimentoshunt::entry
