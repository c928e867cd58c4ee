/// @file
/// Sends bytes that no HTTP client would send, and reads what comes back.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <string> // string

namespace pimentoshunt::testing
{

/// @brief The bytes that came back, and whether the other side closed.
struct raw_answer
{
    std::string bytes;
    bool closed = false;

    /// @brief The status of the first answer; 0 without one.
    [[nodiscard]] auto status() const -> int;
    /// @brief Whether the bytes contain @p text.
    [[nodiscard]] auto has(const std::string& text) const -> bool;
};

/// @brief Sends @p bytes to 127.0.0.1 and reads until the other side closes or
/// @p bound has passed.
/// @param stop_text  reading also ends once this text has come; empty: never
[[nodiscard]] auto raw_exchange(int port, const std::string& bytes,
                                milliseconds bound,
                                const std::string& stop_text = {})
    -> raw_answer;

} // namespace pimentoshunt::testing
