/// @file
/// A connection of the HTTP client and its messages. Used by http_client only.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/platform/http_pool.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::net::detail
{

/// @brief A connection to a peer, in use or idle.
struct connection
{
    explicit connection(boost::asio::io_context& traffic) : stream(traffic)
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    time_point used_at;
    bool used = false;
};

using connection_ptr = std::unique_ptr<connection>;

/// @brief Sets the options of a new connection.
auto set_options(connection& conn) -> void;

/// @brief Whether the peer has neither closed an idle connection nor sent
/// anything over it.
///
/// A request that is sent over a closed connection has an unknown outcome, also
/// if the peer never received it.
[[nodiscard]] auto is_open(connection& conn) -> bool;

/// @brief The request of a call as it is sent. One text takes fewer allocations
/// and buffers than a message of fields.
/// @param host  value of the Host header
/// @return nothing if a header or the path contains control characters
[[nodiscard]] auto request_text(const platform::http_call& call,
                                const std::string& host)
    -> std::optional<std::string>;

/// @brief The result of a call with this answer, whose body it takes.
[[nodiscard]] auto to_exchange(
    boost::beast::http::response<boost::beast::http::string_body>& source)
    -> platform::http_exchange;

/// @brief Whether a read failed because the answer exceeds a limit.
[[nodiscard]] auto is_too_large(boost::beast::error_code fault) -> bool;

} // namespace pimentoshunt::net::detail
