#include <pimentoshunt/settings_fields.hpp>

#include <algorithm> // find
#include <array>     // array
#include <charconv>  // from_chars

namespace pimentoshunt::detail
{
namespace
{

constexpr int max_port = 65'535;
constexpr std::array<const char*, 6> log_levels = {"trace", "debug", "info",
                                                   "warn",  "error", "off"};

} // namespace

auto is_address(const std::string& text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
    {
        return false;
    }
    int port = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    return parsed.ec == std::errc() && parsed.ptr == end && port > 0 &&
           port <= max_port;
}

auto read_log_level(json::object_reader& reader, const std::string& fallback)
    -> std::string
{
    auto level = reader.text("log_level", fallback);
    if (std::find(log_levels.begin(), log_levels.end(), level) ==
        log_levels.end())
    {
        reader.report_fault(json::fault_kind::out_of_range, "log_level",
                            "\"" + level + "\" is not a log level",
                            "use trace, debug, info, warn, error or off");
    }
    return level;
}

} // namespace pimentoshunt::detail
