/// @file
/// One real process of the product, with a way to the store of its own.
#pragma once

#include "support/fault_proxy.hpp"
#include "support/process.hpp"

#include <cstddef> // size_t
#include <string>  // string

namespace pimentoshunt::soak
{

/// @brief What all instances of a soak share.
struct host_options
{
    /// The product's program.
    std::string binary;
    /// For settings and logs.
    std::string folder;
    int store_port = 0;
    int approval_port = 0;
};

/// @brief An instance; its ports, settings and link outlive its processes.
class instance_host
{
  public:
    instance_host(std::size_t number, const host_options& options);

    /// @brief Starts a process; the one before has ended.
    auto start() -> void;
    [[nodiscard]] auto is_ready() const -> bool;

    [[nodiscard]] auto name() const -> const std::string&
    {
        return m_name;
    }
    [[nodiscard]] auto caller_port() const -> int
    {
        return m_caller_port;
    }
    [[nodiscard]] auto process() -> testing::process&
    {
        return m_process;
    }
    /// @brief Its way to the store.
    [[nodiscard]] auto link() -> testing::fault_proxy&
    {
        return m_link;
    }
    /// @brief What all its processes have written.
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
