/// @file
/// Builds log lines as JSON text, limits their rate and writes them by log4cxx.
#include <pimentoshunt/logging.hpp>

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>   // array
#include <chrono>  // steady_clock
#include <ctime>   // gmtime_r
#include <memory>  // make_shared
#include <mutex>   // mutex
#include <utility> // exchange

namespace pimentoshunt::logging
{
namespace
{

/// @brief A level and its name in settings and log lines.
struct named_level
{
    level value;
    std::string_view name;
};

constexpr std::array<named_level, 6> levels = {{{level::trace, "trace"},
                                                {level::debug, "debug"},
                                                {level::info, "info"},
                                                {level::warn, "warn"},
                                                {level::error, "error"},
                                                {level::off, "off"}}};

/// @brief Logger and instance name that all lines share; set by setup().
struct sink
{
    log4cxx::LoggerPtr logger;
    std::string instance;
};

auto global_sink() -> sink&
{
    // Never destroyed, because threads may log until the process ends.
    static auto& singleton = *new sink;
    return singleton;
}

/// @brief Limits the number of lines per second. Thread-safe.
class line_rate_limiter
{
  public:
    auto set(std::uint64_t lines_per_second) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_limit = lines_per_second;
    }

    /// @brief Counts a line and returns whether it may be written.
    /// @param dropped_before  set to the number of lines dropped since the
    ///                        last report if a new second has begun
    auto admit(std::uint64_t& dropped_before) -> bool
    {
        const std::lock_guard lock(m_mutex);
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::steady_clock::now().time_since_epoch());
        if (second != m_second)
        {
            m_second = second;
            m_written = 0;
            dropped_before = std::exchange(m_dropped, 0);
        }
        if (m_limit == 0 || m_written < m_limit)
        {
            ++m_written;
            return true;
        }
        ++m_dropped;
        return false;
    }

  private:
    std::mutex m_mutex;
    std::uint64_t m_limit = 0;
    std::uint64_t m_written = 0;
    std::uint64_t m_dropped = 0;
    std::chrono::seconds m_second{0};
};

auto global_limiter() -> line_rate_limiter&
{
    // Never destroyed, for the same reason as the sink.
    static auto& singleton = *new line_rate_limiter;
    return singleton;
}

auto quoted(std::string_view text) -> std::string
{
    return boost::json::serialize(
        boost::json::string_view(text.data(), text.size()));
}

auto name_of(level at) -> std::string_view
{
    return levels.at(static_cast<std::size_t>(at)).name;
}

auto to_log4cxx(level at) -> log4cxx::LevelPtr
{
    switch (at)
    {
    case level::trace:
        return log4cxx::Level::getTrace();
    case level::debug:
        return log4cxx::Level::getDebug();
    case level::info:
        return log4cxx::Level::getInfo();
    case level::warn:
        return log4cxx::Level::getWarn();
    case level::error:
        return log4cxx::Level::getError();
    case level::off:
        break;
    }
    return log4cxx::Level::getOff();
}

/// @brief Returns the wall-clock time as "2025-01-31T12:00:00.123456Z".
auto utc_now() -> std::string
{
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    std::tm parts{};
    ::gmtime_r(&now.tv_sec, &parts);
    std::array<char, 32> seconds{};
    std::strftime(seconds.data(), seconds.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    constexpr long nanoseconds_per_microsecond = 1'000;
    constexpr std::size_t digits = 6;
    auto micros = std::to_string(now.tv_nsec / nanoseconds_per_microsecond);
    micros.insert(0, digits - micros.size(), '0');
    return std::string(seconds.data()) + "." + micros + "Z";
}

} // namespace

auto parse_level(std::string_view name) -> level
{
    for (const auto& item : levels)
    {
        if (item.name == name)
        {
            return item.value;
        }
    }
    return level::info;
}

auto setup(const settings& chosen) -> void
{
    setup(chosen.instance, chosen.log_level, stream::standard_error);
}

auto setup(const instance_id& instance, const std::string& level_name,
           stream target) -> void
{
    auto& lines = global_sink();
    lines.instance = instance.str();
    lines.logger = log4cxx::Logger::getLogger("pimentoshunt");
    lines.logger->removeAllAppenders();
    lines.logger->setAdditivity(false);
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    const auto& where = target == stream::standard_output
                            ? log4cxx::ConsoleAppender::getSystemOut()
                            : log4cxx::ConsoleAppender::getSystemErr();
    lines.logger->addAppender(
        std::make_shared<log4cxx::ConsoleAppender>(layout, where));
    lines.logger->setLevel(log4cxx::Level::getTrace());
    set_level(parse_level(level_name));
}

auto set_rate_limit(std::uint64_t lines_per_second) -> void
{
    global_limiter().set(lines_per_second);
}

auto set_level(level least) -> void
{
    detail::threshold.store(global_sink().logger ? least : level::off,
                            std::memory_order_relaxed);
}

event::event(level at, std::string_view message)
    : m_level(at), m_enabled(is_enabled(at))
{
    if (m_enabled && at < level::warn)
    {
        std::uint64_t dropped = 0;
        m_enabled = global_limiter().admit(dropped);
        if (dropped > 0)
        {
            warn("log lines dropped by the rate limit").with("lines", dropped);
        }
    }
    if (!m_enabled)
    {
        return;
    }
    m_line = "{\"level\":\"";
    m_line += name_of(at);
    m_line += "\",\"time\":\"" + utc_now() + "\"";
    with("instance", global_sink().instance);
    with("message", message);
}

event::~event()
{
    if (!m_enabled)
    {
        return;
    }
    try
    {
        m_line += '}';
        global_sink().logger->forcedLog(to_log4cxx(m_level), m_line);
    }
    catch (...)
    {
        // A failure to write the log must not stop the work that logs.
        m_enabled = false;
    }
}

auto event::begin_field(std::string_view key) -> void
{
    m_line += ',';
    m_line += quoted(key);
    m_line += ':';
}

auto event::with(std::string_view key, std::string_view value) -> event&
{
    if (m_enabled)
    {
        begin_field(key);
        m_line += quoted(value);
    }
    return *this;
}

auto event::with(std::string_view key, std::chrono::nanoseconds value) -> event&
{
    if (m_enabled)
    {
        using real_ms = std::chrono::duration<double, std::milli>;
        add_real(std::string(key) + "_ms", real_ms(value).count());
    }
    return *this;
}

auto event::add_boolean(std::string_view key, bool value) -> void
{
    begin_field(key);
    m_line += value ? "true" : "false";
}

auto event::add_integer(std::string_view key, std::int64_t value) -> void
{
    begin_field(key);
    m_line += std::to_string(value);
}

auto event::add_real(std::string_view key, double value) -> void
{
    begin_field(key);
    m_line += std::to_string(value);
}

} // namespace pimentoshunt::logging
