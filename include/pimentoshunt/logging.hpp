/// @file
/// Structured logging: one JSON object per line, on standard error or standard
/// output. All functions but setup() may be called by any thread.
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

/// @brief Severity of an event, in ascending order.
enum class level
{
    trace,
    debug,
    info,
    warn,
    error,
    off
};

/// @brief Returns the level of a name as in the settings; info if the name is
/// unknown.
[[nodiscard]] auto parse_level(std::string_view name) -> level;

/// @brief Stream to which lines are written.
enum class stream
{
    standard_output,
    standard_error
};

/// @brief Opens the log on standard error, with the level and instance name
/// of @p chosen.
/// @note Events are dropped before the log is open. Call before threads start.
auto setup(const settings& chosen) -> void;

/// @brief Opens the log for a role that has settings of another type.
auto setup(const instance_id& instance, const std::string& level_name,
           stream target) -> void;

/// @brief Limits the number of lines below level warn. Dropped lines are
/// counted, and their number is logged in a later second.
/// @param lines_per_second  0: no limit
auto set_rate_limit(std::uint64_t lines_per_second) -> void;

/// @brief Changes the level at run time.
auto set_level(level least) -> void;

namespace detail
{
inline std::atomic<level> threshold{level::off};
} // namespace detail

/// @brief Whether events of a level are written.
/// @complexity one relaxed atomic load
[[nodiscard]] inline auto is_enabled(level at) noexcept -> bool
{
    return at >= detail::threshold.load(std::memory_order_relaxed) &&
           at != level::off;
}

/// @brief Builds one log line, which the destructor writes.
///
/// Use it as a temporary, made by the functions below:
/// `logging::info("answered").request(id).with("status", 200);`
/// If its level is disabled, no text is built and no lock is taken.
class event
{
  public:
    /// @param at  level
    /// @param message  constant text; variable values belong in fields
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
    /// @brief Adds a duration in milliseconds; the suffix "_ms" is appended to
    /// the key.
    auto with(std::string_view key, std::chrono::nanoseconds value) -> event&;
    /// @brief Adds a boolean or a number.
    template<class T>
    requires std::is_arithmetic_v<T>
    auto with(std::string_view key, T value) -> event&;
    /// @brief Adds an identifier.
    template<class Tag>
    auto with(std::string_view key, const identifier<Tag>& value) -> event&
    {
        return with(key, std::string_view(value.str()));
    }

    /// @brief Adds the field "request": the id that is passed along with a
    /// caller's request.
    auto request(std::string_view id) -> event&
    {
        return with("request", id);
    }
    /// @brief Adds the field "attempt".
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

/// @brief Starts a line of level debug.
inline auto debug(std::string_view message) -> event
{
    return {level::debug, message};
}

/// @brief Starts a line of level info.
inline auto info(std::string_view message) -> event
{
    return {level::info, message};
}

/// @brief Starts a line of level warn.
inline auto warn(std::string_view message) -> event
{
    return {level::warn, message};
}

/// @brief Starts a line of level error.
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
