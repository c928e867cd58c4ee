/// @file
/// Addresses as the settings write them.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::net
{

/// @brief Reads "host:port" with an IP address as host.
/// @return nothing when @p text is none
[[nodiscard]] auto parse_address(const std::string& text)
    -> std::optional<boost::asio::ip::tcp::endpoint>;

} // namespace pimentoshunt::net
