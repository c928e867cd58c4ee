/// @file
/// The callers' interface over HTTP: docs/callers.md describes it.
#pragma once

#include <pimentoshunt/entry/http_listener.hpp>
#include <pimentoshunt/entry/request_handler.hpp>

namespace pimentoshunt::entry
{

/// @brief Adds the callers' routes to a listener.
auto add_caller_routes(http_listener& listener, request_handler& handler)
    -> void;

} // namespace pimentoshunt::entry
