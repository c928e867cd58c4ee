/// @file
/// Sends raw bytes over TCP, to test a server with input that no HTTP client
/// would send.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <string> // string

namespace pimentoshunt::testing
{

/// @brief Received bytes, and whether the server closed the connection.
struct raw_answer
{
    std::string bytes;
    bool closed = false;

    /// @brief Returns the HTTP status of the first response; 0 if the bytes do
    /// not start with a status line.
    [[nodiscard]] auto status() const -> int;
    /// @brief Whether the bytes contain @p text.
    [[nodiscard]] auto has(const std::string& text) const -> bool;
};

/// @brief Sends @p bytes to 127.0.0.1 and reads until the server closes the
/// connection or @p bound has passed. Without a connection the result is empty.
/// @param stop_text  reading also ends once this text has come; empty: never
[[nodiscard]] auto raw_exchange(int port, const std::string& bytes,
                                milliseconds bound,
                                const std::string& stop_text = {})
    -> raw_answer;

} // namespace pimentoshunt::testing
