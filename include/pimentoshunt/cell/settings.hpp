/// @file
/// The settings of one instance of a cell, read from one JSON file and checked.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/error.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/json/fault.hpp>

#include <cstddef>  // size_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::cell
{

/// @brief Settings of an instance; addresses are "host:port".
struct settings
{
    instance_id instance;
    data_centre_name data_centre;
    /// Listens for callers.
    std::string caller_address;
    /// Listens for readiness checks and metrics.
    std::string status_address;
    /// Listens for other instances.
    std::string peer_address;
    std::string store_address;
    /// Empty if no queue needs approvals.
    std::string approval_address;
    /// Empty if machines are not managed.
    std::string machine_address;
    /// Processors of this instance, 0 if not known. Large instances are
    /// preferred as owners of the cell.
    double processors = 0;
    /// Longest lease that workers grant.
    milliseconds longest_lease{10'000};
    /// Time within which the process must have stopped.
    milliseconds stop_grace{6'000};
    /// Most that the connections of the callers' address hold in requests and
    /// unsent answers, and also those of the status address, in MiB.
    std::size_t connection_memory_mb = 64;
    /// Largest age of the configuration with which requests that need a key are
    /// served; empty: any.
    std::optional<milliseconds> credential_max_age;
    /// Largest age of the configuration with which other requests that depend on
    /// it are served; empty: any.
    std::optional<milliseconds> configuration_max_age;
    std::string log_level = "info";
};

/// @brief Finds all faults of a settings text, in the order of the text.
[[nodiscard]] auto check_settings(const std::string& text)
    -> std::vector<json::fault>;

/// @brief Parses and checks settings.
/// @throw (leaf) settings 101 with the first fault
[[nodiscard]] auto parse_settings(const std::string& text) -> result<settings>;

} // namespace pimentoshunt::cell
