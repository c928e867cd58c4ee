/// @file
/// One instance as a real process, connected to the store through its own fault
/// proxy. Used by the thread that runs the soak.
#pragma once

#include "support/fault_proxy.hpp"
#include "support/process.hpp"

#include <pimentoshunt/clock.hpp>

#include <cstddef> // size_t
#include <string>  // string

namespace pimentoshunt::soak
{

/// @brief Options that all instances of a soak share.
struct host_options
{
    /// Path of the product's executable.
    std::string binary;
    /// Folder of the settings files.
    std::string folder;
    int store_port = 0;
    int approval_port = 0;
    /// Setting of the same name.
    std::size_t connection_memory_mb = 64;
    /// Settings of the same names; 0: left out.
    milliseconds credential_max_age{0};
    milliseconds configuration_max_age{0};
};

/// @brief An instance; its ports, settings and link stay the same over restarts
/// of its process.
class instance_host
{
  public:
    instance_host(std::size_t number, const host_options& options);

    /// @brief Starts a process; the previous one must have ended.
    auto start() -> void;
    /// @brief Whether the readiness request at the status address answers 200.
    [[nodiscard]] auto is_ready() const -> bool;

    [[nodiscard]] auto name() const -> const std::string&
    {
        return m_name;
    }
    [[nodiscard]] auto caller_port() const -> int
    {
        return m_caller_port;
    }
    [[nodiscard]] auto status_port() const -> int
    {
        return m_status_port;
    }
    [[nodiscard]] auto process() -> testing::process&
    {
        return m_process;
    }
    /// @brief The proxy between the instance and the store.
    [[nodiscard]] auto link() -> testing::fault_proxy&
    {
        return m_link;
    }
    /// @brief Output of all processes so far, in order.
    [[nodiscard]] auto log() const -> std::string;

  private:
    auto write_settings(const host_options& options, int peer_port) const
        -> void;

    std::string m_name;
    std::string m_binary;
    std::string m_settings_file;
    int m_caller_port;
    int m_status_port;
    testing::fault_proxy m_link;
    std::string m_previous_log;
    testing::process m_process;
};

} // namespace pimentoshunt::soak
