#include "instance_host.hpp"

#include "platform_wire.hpp"
#include "support/port_allocator.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <httplib.h>

#include <fstream> // ofstream

namespace pimentoshunt::soak
{
namespace
{

auto loopback_address(int port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

instance_host::instance_host(std::size_t number, const host_options& options)
    : m_name("cell-" + std::to_string(number)), m_binary(options.binary),
      m_settings_file(options.folder + "/" + m_name + ".json"),
      m_caller_port(testing::free_port()), m_status_port(testing::free_port()),
      m_link(options.store_port, number + 1)
{
    write_settings(options, testing::free_port());
}

auto instance_host::write_settings(const host_options& options,
                                   int peer_port) const -> void
{
    boost::json::object settings{
        {"instance", m_name},
        {"data_centre", "zone-a"},
        {"caller_address", loopback_address(m_caller_port)},
        {"status_address", loopback_address(m_status_port)},
        {"peer_address", loopback_address(peer_port)},
        {"store_address", loopback_address(m_link.port())},
        {"approval_address", loopback_address(options.approval_port)},
        {"longest_lease_ms", 6'000},
        {"stop_grace_s", 6},
        {"connection_memory_mb", options.connection_memory_mb},
        {"log_level", "info"}};
    if (options.credential_max_age.count() > 0)
    {
        settings["credential_max_age_ms"] = options.credential_max_age.count();
        settings["configuration_max_age_ms"] =
            options.configuration_max_age.count();
    }
    std::ofstream(m_settings_file) << boost::json::serialize(settings);
}

auto instance_host::start() -> void
{
    m_previous_log += m_process.output();
    m_process =
        testing::process(m_binary, {"cell", "--settings=" + m_settings_file});
}

auto instance_host::is_ready() const -> bool
{
    httplib::Client client("127.0.0.1", m_status_port);
    const auto answer = client.Get(ready_path());
    return answer && answer->status == 200;
}

auto instance_host::log() const -> std::string
{
    return m_previous_log + m_process.output();
}

} // namespace pimentoshunt::soak
