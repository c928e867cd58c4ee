/// @file
/// Reads and validates the settings of an instance.
#include <pimentoshunt/settings.hpp>

#include <pimentoshunt/json/document_reader.hpp>
#include <pimentoshunt/json/object_reader.hpp>
#include <pimentoshunt/settings_fields.hpp>

#include <chrono>  // minutes
#include <cstdint> // int64_t
#include <utility> // move

namespace pimentoshunt
{
namespace
{

using json::fault_kind;
using json::object_reader;

constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_threads = 4'096;
constexpr std::int64_t max_queue = 1'000'000;
constexpr std::int64_t max_body = std::int64_t{16} << 30;
constexpr milliseconds min_duration{10};
constexpr milliseconds max_duration = std::chrono::minutes(60);

auto read_port(object_reader& reader, const std::string& key, int fallback)
    -> int
{
    return static_cast<int>(
        reader.integer(key, {1, max_port, "as a TCP port"}, fallback));
}

auto read_count(object_reader& reader, const std::string& key,
                std::int64_t most, const char* unit, std::size_t fallback)
    -> std::size_t
{
    return static_cast<std::size_t>(reader.integer(
        key, {1, most, unit}, static_cast<std::int64_t>(fallback)));
}

auto read_time(object_reader& reader, const std::string& key,
               milliseconds& target) -> void
{
    target = reader.duration(key, min_duration, max_duration, target);
}

auto read_name(object_reader& reader, const std::string& key) -> std::string
{
    const auto* const found = reader.member(key);
    auto name = reader.text(key, "", true);
    if (found != nullptr && found->is_string() && name.empty())
    {
        reader.report_fault(fault_kind::out_of_range, key, "is empty",
                            "give a name of at least one letter");
    }
    return name;
}

auto check_address(object_reader& reader, const std::string& key,
                   const std::string& text) -> void
{
    if (!text.empty() && !detail::is_address(text))
    {
        reader.report_fault(fault_kind::out_of_range, key,
                            "\"" + text + "\" is not host:port",
                            "write it as 10.0.0.7:8082");
    }
}

auto read_addresses(object_reader& reader, settings& out) -> void
{
    out.host = reader.text("host", out.host);
    out.caller_port = read_port(reader, "caller_port", out.caller_port);
    out.operator_port = read_port(reader, "operator_port", out.operator_port);
    out.peer_port = read_port(reader, "peer_port", out.peer_port);
    out.advertised_peer = reader.text("advertised_peer", "");
    check_address(reader, "advertised_peer", out.advertised_peer);
    out.advertised_http = reader.text("advertised_http", "");
    check_address(reader, "advertised_http", out.advertised_http);
    out.seeds = reader.texts("seeds");
    for (std::size_t i = 0; i < out.seeds.size(); ++i)
    {
        if (!detail::is_address(out.seeds[i]))
        {
            reader.report_fault(fault_kind::out_of_range, "seeds",
                                "\"" + out.seeds[i] + "\" is not host:port",
                                "write each seed as 10.0.0.7:8082");
        }
    }
}

auto read_platform(object_reader& reader, settings& out) -> void
{
    const std::string scheme = "http://";
    const auto* const found = reader.member("platform_url");
    out.platform_url = reader.text("platform_url", "", true);
    if (found != nullptr && found->is_string() &&
        out.platform_url.compare(0, scheme.size(), scheme) != 0)
    {
        reader.report_fault(fault_kind::out_of_range, "platform_url",
                            "\"" + out.platform_url + "\" is not an http URL",
                            "write it as http://10.0.0.7:9000");
    }
}

auto read_sizes(object_reader& reader, settings& out) -> void
{
    out.caller_threads = read_count(reader, "caller_threads", max_threads,
                                    "threads", out.caller_threads);
    out.operator_threads = read_count(reader, "operator_threads", max_threads,
                                      "threads", out.operator_threads);
    out.io_threads = read_count(reader, "io_threads", max_threads, "threads",
                                out.io_threads);
    out.queue_limit = read_count(reader, "queue_limit", max_queue, "requests",
                                 out.queue_limit);
    out.max_body_bytes = read_count(reader, "max_body_bytes", max_body, "bytes",
                                    out.max_body_bytes);
}

auto read_times(object_reader& reader, settings& out) -> void
{
    read_time(reader, "heartbeat", out.heartbeat);
    read_time(reader, "suspect_after", out.suspect_after);
    read_time(reader, "platform_timeout", out.platform_timeout);
    read_time(reader, "worker_connect_timeout", out.worker_connect_timeout);
    read_time(reader, "inspect_interval", out.inspect_interval);
    read_time(reader, "list_interval", out.list_interval);
    read_time(reader, "plan_poll", out.plan_poll);
    read_time(reader, "drain_timeout", out.drain_timeout);
    if (out.suspect_after < 2 * out.heartbeat)
    {
        reader.report_fault(fault_kind::out_of_range, "suspect_after_ms",
                            std::to_string(out.suspect_after.count()) +
                                " ms is less than two heartbeats",
                            "give at least " +
                                std::to_string(2 * out.heartbeat.count()) +
                                " ms");
    }
}

auto check_ports_differ(object_reader& reader, const settings& out) -> void
{
    if (out.operator_port == out.caller_port)
    {
        reader.report_fault(fault_kind::out_of_range, "operator_port",
                            "is the same port as caller_port",
                            "give each its own port");
    }
    if (out.peer_port == out.caller_port || out.peer_port == out.operator_port)
    {
        reader.report_fault(fault_kind::out_of_range, "peer_port",
                            "is the same port as caller_port or operator_port",
                            "give each its own port");
    }
}

/// @brief Settings parsed so far, and their faults.
struct parse_state
{
    settings parsed;
    std::vector<json::fault> faults;
};

auto read_settings(const std::string& text) -> parse_state
{
    auto source = json::read_text(text, max_settings_bytes);
    parse_state out;
    out.faults = std::move(source.faults);
    if (source.is_well_formed)
    {
        object_reader reader(source.root, "", out.faults);
        out.parsed.instance = instance_id(read_name(reader, "instance"));
        out.parsed.data_centre =
            data_centre_name(read_name(reader, "data_centre"));
        read_addresses(reader, out.parsed);
        read_platform(reader, out.parsed);
        read_sizes(reader, out.parsed);
        read_times(reader, out.parsed);
        out.parsed.log_level =
            detail::read_log_level(reader, out.parsed.log_level);
        check_ports_differ(reader, out.parsed);
        reader.reject_unknown();
    }
    json::assign_lines(out.faults, source.positions);
    return out;
}

} // namespace

auto check_settings(const std::string& text) -> std::vector<json::fault>
{
    return read_settings(text).faults;
}

auto parse_settings(const std::string& text) -> result<settings>
{
    auto outcome = read_settings(text);
    return json::value_or_error(error_kind::settings, outcome.faults,
                                std::move(outcome.parsed));
}

} // namespace pimentoshunt
