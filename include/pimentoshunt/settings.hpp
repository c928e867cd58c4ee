/// @file
/// Settings of an instance, parsed from a JSON file and validated.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/error.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/json/fault.hpp>

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt
{

/// @brief Settings of an instance. Members have the names of their JSON keys;
/// keys of durations end in "_ms", as in "heartbeat_ms".
struct settings
{
    instance_id instance;
    data_centre_name data_centre;
    /// Address on which all ports listen.
    std::string host = "127.0.0.1";
    int caller_port = 8080;
    int operator_port = 8081;
    /// Port for messages of other instances.
    int peer_port = 8082;
    /// "host:port" at which other instances reach the peer port; empty: host
    /// and peer_port.
    std::string advertised_peer;
    /// "host:port" at which others reach the caller port; empty: host and
    /// caller_port.
    std::string advertised_http;
    /// Base URL of the platform (table, object store and instance list), such
    /// as "http://127.0.0.1:9000".
    std::string platform_url;
    /// Peer addresses of other instances, such as "127.0.0.1:8082", for
    /// starting while the table is unavailable; may be empty.
    std::vector<std::string> seeds;
    std::size_t caller_threads = 256;
    std::size_t operator_threads = 8;
    std::size_t io_threads = 8;
    /// Most requests that wait for a worker; further ones are rejected.
    std::size_t queue_limit = 4096;
    std::size_t max_body_bytes = 64u << 20;
    milliseconds heartbeat{200};
    milliseconds suspect_after{1'000};
    milliseconds platform_timeout{1'000};
    milliseconds worker_connect_timeout{500};
    milliseconds inspect_interval{1'000};
    milliseconds list_interval{1'000};
    milliseconds plan_poll{2'000};
    milliseconds drain_timeout{30'000};
    std::string log_level = "info";
};

/// Maximum size of the settings text, in bytes.
inline constexpr std::size_t max_settings_bytes = 1u << 20;

/// @brief Validates a settings text.
/// @return all faults in the order of the text; empty if the text is valid
[[nodiscard]] auto check_settings(const std::string& text)
    -> std::vector<json::fault>;

/// @brief Parses settings from JSON text.
/// @throw (leaf) settings errors 101 to 109; 109 lists the faults if there are
///        several
[[nodiscard]] auto parse_settings(const std::string& text) -> result<settings>;

} // namespace pimentoshunt
