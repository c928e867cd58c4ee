/// @file
/// Structured logs: one JSON object a line on the standard error stream.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/settings.hpp>

#include <atomic>      // atomic
#include <chrono>      // nanoseconds
#include <cstdint>     // int64_t
#include <string>      // string
#include <string_view> // string_view
#include <type_traits> // is_arithmetic

namespace pimentoshunt::logging
{

/// @brief How much an event matters, least first.
enum class level
{
    trace,
    debug,
    info,
    warn,
    error,
    off
};

/// @brief The level of that name as settings have it; info if there is none.
[[nodiscard]] auto parse_level(std::string_view name) -> level;

/// @brief Where lines are written.
enum class stream
{
    standard_output,
    standard_error
};

/// @brief Opens the log with the level and the instance's name.
/// @note Events before it are dropped. Call it before threads start.
auto setup(const settings& chosen) -> void;

/// @brief The same for a role with settings of its own.
auto setup(const instance_id& instance, const std::string& level_name,
           stream target) -> void;

/// @brief Bounds the lines below level warn; what is dropped is counted, and
/// told when the second is over.
/// @param lines_per_second  0: no bound
auto set_rate_limit(std::uint64_t lines_per_second) -> void;

/// @brief Changes the level while the program runs.
auto set_level(level least) -> void;

namespace detail
{
inline std::atomic<level> threshold{level::off};
} // namespace detail

/// @brief Whether an event of that level is written.
/// @complexity one relaxed load
[[nodiscard]] inline auto is_enabled(level at) noexcept -> bool
{
    return at >= detail::threshold.load(std::memory_order_relaxed) &&
           at != level::off;
}

/// @brief One line of the log; written when it goes out of scope.
///
/// Use it as a temporary, by the functions below:
/// `logging::info("answered").request(id).with("status", 200);`
/// With its level off, it makes no text and takes no lock.
class event
{
  public:
    /// @param at  level
    /// @param message  the same words each time; what varies goes into fields
    event(level at, std::string_view message);
    event(const event&) = delete;
    auto operator=(const event&) -> event& = delete;
    ~event();

    /// @brief Adds a text field.
    auto with(std::string_view key, std::string_view value) -> event&;
    /// @brief Adds a text field.
    auto with(std::string_view key, const char* value) -> event&
    {
        return with(key, std::string_view(value));
    }
    /// @brief Adds a field in milliseconds; its key gets the suffix "_ms".
    auto with(std::string_view key, std::chrono::nanoseconds value) -> event&;
    /// @brief Adds true or false, or a number.
    template<class T>
    requires std::is_arithmetic_v<T>
    auto with(std::string_view key, T value) -> event&;
    /// @brief Adds an identifier.
    template<class Tag>
    auto with(std::string_view key, const identifier<Tag>& value) -> event&
    {
        return with(key, std::string_view(value.str()));
    }

    /// @brief Adds "request", the id that follows one caller's request.
    auto request(std::string_view id) -> event&
    {
        return with("request", id);
    }
    /// @brief Adds "attempt".
    auto attempt(const attempt_id& id) -> event&
    {
        return with("attempt", id);
    }

  private:
    auto begin_field(std::string_view key) -> void;
    auto add_boolean(std::string_view key, bool value) -> void;
    auto add_integer(std::string_view key, std::int64_t value) -> void;
    auto add_real(std::string_view key, double value) -> void;

    level m_level;
    bool m_enabled;
    std::string m_line;
};

/// @brief Begins a line at level debug.
inline auto debug(std::string_view message) -> event
{
    return {level::debug, message};
}

/// @brief Begins a line at level info.
inline auto info(std::string_view message) -> event
{
    return {level::info, message};
}

/// @brief Begins a line at level warn.
inline auto warn(std::string_view message) -> event
{
    return {level::warn, message};
}

/// @brief Begins a line at level error.
inline auto error(std::string_view message) -> event
{
    return {level::error, message};
}

template<class T>
requires std::is_arithmetic_v<T>
auto event::with(std::string_view key, T value) -> event&
{
    if (!m_enabled)
    {
        return *this;
    }
    if constexpr (std::is_same_v<T, bool>)
    {
        add_boolean(key, value);
    }
    else if constexpr (std::is_integral_v<T>)
    {
        add_integer(key, static_cast<std::int64_t>(value));
    }
    else
    {
        add_real(key, static_cast<double>(value));
    }
    return *this;
}

} // namespace pimentoshunt::logging
