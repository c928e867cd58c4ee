/// @file
/// Parses addresses in the notation of the settings.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::net
{

/// @brief Parses "host:port", where host is an IP address.
/// @return nothing when @p text is not such an address
[[nodiscard]] auto parse_address(const std::string& text)
    -> std::optional<boost::asio::ip::tcp::endpoint>;

} // namespace pimentoshunt::net
