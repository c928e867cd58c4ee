#include <pimentoshunt/cell/settings.hpp>

#include <pimentoshunt/json/document_reader.hpp>
#include <pimentoshunt/json/object_reader.hpp>
#include <pimentoshunt/settings_fields.hpp>

#include <utility> // move

namespace pimentoshunt::cell
{
namespace
{

using json::fault_kind;
using json::object_reader;

/// Longest accepted settings text, in bytes.
constexpr std::size_t max_bytes = 1u << 20;
constexpr double max_processors = 4'096;
constexpr std::int64_t max_connection_memory_mb = 65'536;
constexpr milliseconds min_lease{500};
/// With less than a few round trips, callers would be refused all the time.
constexpr milliseconds min_max_age{250};
constexpr milliseconds max_duration = std::chrono::minutes(10);

auto read_address(object_reader& reader, const std::string& key, bool required)
    -> std::string
{
    auto text = reader.text(key, "", required);
    const bool missing = text.empty() && !required;
    if (!missing && reader.member(key) != nullptr &&
        !pimentoshunt::detail::is_address(text))
    {
        reader.report_fault(fault_kind::out_of_range, key,
                            "\"" + text + "\" is not host:port",
                            "write it as 10.0.0.7:8080");
    }
    return text;
}

/// Reads a number of processors, which may have a fraction; 0 if absent.
auto read_processors(object_reader& reader, const std::string& key) -> double
{
    const auto* const found = reader.member(key);
    if (found == nullptr)
    {
        return 0;
    }
    boost::json::error_code fault;
    const auto out = found->is_number() ? found->to_number<double>(fault) : 0.0;
    if (out <= 0 || out > max_processors)
    {
        reader.report_fault(
            fault_kind::out_of_range, key,
            "is not a number of processors above 0 and at most 4096",
            "write it as 0.25 or 2; leave it out if it isn't known");
        return 0;
    }
    return out;
}

/// Reads a duration in seconds, which may have a fraction.
auto read_seconds(object_reader& reader, const std::string& key,
                  milliseconds fallback) -> milliseconds
{
    const auto* const found = reader.member(key);
    if (found == nullptr)
    {
        return fallback;
    }
    boost::json::error_code fault;
    const auto seconds =
        found->is_number() ? found->to_number<double>(fault) : 0.0;
    constexpr double max_seconds =
        std::chrono::duration<double>(max_duration).count();
    if (seconds <= 0 || seconds > max_seconds)
    {
        reader.report_fault(
            fault_kind::out_of_range, key,
            "is not a number of seconds above 0 and at most 600",
            "write it as 6 or 2.5");
        return fallback;
    }
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(seconds));
}

/// Reads an age in milliseconds; empty if absent.
auto read_max_age(object_reader& reader, const std::string& key)
    -> std::optional<milliseconds>
{
    const bool is_given = reader.member(key + "_ms") != nullptr;
    const auto read =
        reader.duration(key, min_max_age, max_duration, max_duration);
    return is_given ? std::optional(read) : std::nullopt;
}

struct reading
{
    settings read;
    std::vector<json::fault> faults;
};

auto read_settings(const std::string& text) -> reading
{
    auto source = json::read_text(text, max_bytes);
    reading out;
    out.faults = std::move(source.faults);
    if (source.is_well_formed)
    {
        object_reader reader(source.root, "", out.faults);
        auto& read = out.read;
        read.instance = instance_id(reader.text("instance", "", true));
        read.data_centre =
            data_centre_name(reader.text("data_centre", "", true));
        read.caller_address = read_address(reader, "caller_address", true);
        read.status_address = read_address(reader, "status_address", true);
        read.peer_address = read_address(reader, "peer_address", true);
        read.store_address = read_address(reader, "store_address", true);
        read.approval_address = read_address(reader, "approval_address", false);
        read.machine_address = read_address(reader, "machine_address", false);
        read.processors = read_processors(reader, "processors");
        read.longest_lease = reader.duration("longest_lease", min_lease,
                                             max_duration, read.longest_lease);
        read.stop_grace = read_seconds(reader, "stop_grace_s", read.stop_grace);
        read.connection_memory_mb = static_cast<std::size_t>(reader.integer(
            "connection_memory_mb", {1, max_connection_memory_mb, "MiB"},
            static_cast<std::int64_t>(read.connection_memory_mb)));
        read.credential_max_age = read_max_age(reader, "credential_max_age");
        read.configuration_max_age =
            read_max_age(reader, "configuration_max_age");
        read.log_level =
            pimentoshunt::detail::read_log_level(reader, read.log_level);
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
                                std::move(outcome.read));
}

} // namespace pimentoshunt::cell
