/// @file
/// The settings of one instance, read from one JSON file and checked.
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

/// @brief Everything that an instance must be told; times carry their unit in
/// the JSON key ("heartbeat_ms").
struct settings
{
    instance_id instance;
    data_centre_name data_centre;
    /// Where callers are served, "127.0.0.1" and a port.
    std::string host = "127.0.0.1";
    int caller_port = 8080;
    int operator_port = 8081;
    /// Where other instances reach this one.
    int peer_port = 8082;
    /// "host:port" by which others reach the peer port; empty: host and
    /// peer_port.
    std::string advertised_peer;
    /// "host:port" by which others reach the caller port; empty: host and
    /// caller_port.
    std::string advertised_http;
    /// "http://127.0.0.1:9000", the table, objects and the instance list.
    std::string platform_url;
    /// "127.0.0.1:8082" of other instances, for a start while the table is
    /// down; may be empty.
    std::vector<std::string> seeds;
    std::size_t caller_threads = 256;
    std::size_t operator_threads = 8;
    std::size_t io_threads = 8;
    /// Requests waiting for a worker before new ones are refused.
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

/// Longest text of settings, in bytes.
inline constexpr std::size_t max_settings_bytes = 1u << 20;

/// @brief Finds every fault of a settings text, in the order of the text.
[[nodiscard]] auto check_settings(const std::string& text)
    -> std::vector<json::fault>;

/// @brief Reads settings from JSON text.
/// @throw (leaf) settings errors 101 to 109; one error tells of all faults
[[nodiscard]] auto parse_settings(const std::string& text) -> result<settings>;

} // namespace pimentoshunt
