/// @file
/// HTTP routes for callers: requests to services under /services/ and their
/// cancellation under /requests/. docs/callers.md describes the interface.
#pragma once

#include <pimentoshunt/entry/http_listener.hpp>
#include <pimentoshunt/entry/request_handler.hpp>

namespace pimentoshunt::entry
{

/// @brief Adds the callers' routes to a listener, before it is started.
/// @param listener  its threads run the routes
/// @param handler  outlives the listener
auto add_caller_routes(http_listener& listener, request_handler& handler)
    -> void;

} // namespace pimentoshunt::entry
