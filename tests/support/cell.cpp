#include "cell.hpp"

#include "port_allocator.hpp"
#include "wait_until.hpp"

#include <httplib.h>

#include <chrono>        // duration_cast
#include <cstdio>        // remove
#include <cstdlib>       // getenv
#include <fstream>       // ofstream
#include <unordered_set> // unordered_set
#include <utility>       // move

namespace pimentoshunt::testing
{
namespace
{

namespace json = boost::json;

constexpr milliseconds control_timeout{5'000};

auto loopback_address(int port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

auto control_client(int port) -> httplib::Client
{
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(control_timeout);
    client.set_read_timeout(control_timeout);
    return client;
}

auto success_body(const httplib::Result& answer) -> std::optional<std::string>
{
    constexpr int first_success = 200;
    constexpr int end_of_success = 300;
    if (!answer || answer->status < first_success ||
        answer->status >= end_of_success)
    {
        return std::nullopt;
    }
    return answer->body;
}

auto make_flag(const std::string& name, const std::string& value) -> std::string
{
    return "--" + name + "=" + value;
}

auto join_with_commas(const std::vector<std::string>& words) -> std::string
{
    std::string text;
    for (const auto& word : words)
    {
        text += (text.empty() ? "" : ",") + word;
    }
    return text;
}

auto microseconds_now() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               boot_clock::now().time_since_epoch())
        .count();
}

auto peer_address(const cell_instance& instance) -> std::string
{
    return loopback_address(instance.from_peers == nullptr
                                ? instance.peer_port
                                : instance.from_peers->port());
}

} // namespace

auto http_get(int port, const std::string& path) -> std::optional<std::string>
{
    auto client = control_client(port);
    return success_body(client.Get(path));
}

auto http_post(int port, const std::string& path, const std::string& text)
    -> std::optional<std::string>
{
    auto client = control_client(port);
    return success_body(client.Post(path, text, "application/json"));
}

auto cell_instance::entry_port() const -> int
{
    return from_callers == nullptr ? caller_port : from_callers->port();
}

cell::cell(cell_options options) : m_options(std::move(options))
{
    if (m_options.build.empty())
    {
        const auto* build = std::getenv("PIMENTOSHUNT_BUILD");
        m_options.build = build == nullptr ? "build" : build;
    }
    m_platform_port = free_port();
    prepare_workers();
    prepare_instances();
}

cell::~cell()
{
    for (auto& instance : m_instances)
    {
        instance.program.kill();
        std::remove(instance.settings_file.c_str());
    }
    for (auto& group : m_workers)
    {
        group.program.kill();
        std::remove(group.record_file.c_str());
    }
}

auto cell::start() -> std::string
{
    auto start_error = start_stand_ins();
    if (!start_error.empty())
    {
        return start_error;
    }
    for (auto& instance : m_instances)
    {
        start_instance(instance);
    }
    for (std::size_t number = 0; number < m_instances.size(); ++number)
    {
        if (!wait_ready(number, m_options.start_timeout))
        {
            return m_instances[number].name + " is not ready; its output:\n" +
                   m_instances[number].program.output();
        }
    }
    return {};
}

auto cell::start_stand_ins() -> std::string
{
    start_platform();
    for (auto& group : m_workers)
    {
        start_workers(group);
    }
    const auto wanted =
        m_options.worker_processes * m_options.workers_per_process;
    const auto complete = wait_until(
        [&]
        {
            return count_listed_workers() == wanted && workers_idle();
        },
        m_options.start_timeout);
    if (!complete || !register_instances())
    {
        return "the stand-ins did not become ready; the platform's output:\n" +
               m_platform.output();
    }
    return {};
}

auto cell::instances() -> std::vector<cell_instance>&
{
    return m_instances;
}

auto cell::workers() -> std::vector<worker_process>&
{
    return m_workers;
}

auto cell::platform() -> process&
{
    return m_platform;
}

auto cell::platform_port() const -> int
{
    return m_platform_port;
}

auto cell::entry_ports() const -> std::vector<int>
{
    std::vector<int> ports;
    ports.reserve(m_instances.size());
    for (const auto& instance : m_instances)
    {
        ports.push_back(instance.entry_port());
    }
    return ports;
}

auto cell::links() -> std::vector<named_link>
{
    std::vector<named_link> links;
    const auto add =
        [&](const std::string& name, const std::unique_ptr<fault_proxy>& proxy)
    {
        if (proxy != nullptr)
        {
            links.push_back({name, proxy.get()});
        }
    };
    for (const auto& instance : m_instances)
    {
        add(instance.name + " to platform", instance.to_platform);
        add("callers to " + instance.name, instance.from_callers);
        add("peers to " + instance.name, instance.from_peers);
    }
    for (const auto& group : m_workers)
    {
        add("instances to workers from w" + std::to_string(group.first),
            group.from_instances);
    }
    return links;
}

auto cell::restart_instance(std::size_t number) -> void
{
    auto& instance = m_instances.at(number);
    instance.program.kill();
    start_instance(instance);
}

auto cell::wait_ready(std::size_t number, milliseconds bound) -> bool
{
    auto& instance = m_instances.at(number);
    return wait_until(
        [&]
        {
            return http_get(instance.operator_port, "/ready").has_value();
        },
        bound);
}

auto cell::kill_workers(std::size_t number) -> void
{
    auto& group = m_workers.at(number);
    group.program.kill();
    const auto now = microseconds_now();
    for (std::size_t i = 0; i < group.count; ++i)
    {
        m_kills.push_back({"w" + std::to_string(group.first + i), now});
    }
}

auto cell::restart_workers(std::size_t number) -> void
{
    auto& group = m_workers.at(number);
    group.program.kill();
    start_workers(group);
}

auto cell::set_platform_faults(const json::object& faults) -> bool
{
    return http_post(m_platform_port, "/control/faults",
                     json::serialize(faults))
        .has_value();
}

auto cell::set_worker_faults(std::size_t number, const json::object& faults)
    -> bool
{
    return http_post(m_workers.at(number).port, "/control/faults",
                     json::serialize(faults))
        .has_value();
}

auto cell::set_listed_state(const std::string& id, const std::string& state)
    -> bool
{
    const json::object change{{"id", id}, {"state", state}};
    return http_post(m_platform_port, "/control/instances/state",
                     json::serialize(change))
        .has_value();
}

auto cell::platform_stats() -> json::object
{
    const auto text = http_get(m_platform_port, "/control/stats");
    return text.has_value() ? json::parse(*text).as_object() : json::object{};
}

auto cell::collect_history(std::vector<call_record> calls) const -> run_history
{
    run_history history;
    history.calls = std::move(calls);
    history.kills = m_kills;
    for (const auto& group : m_workers)
    {
        const auto events = parse_record(read_file(group.record_file));
        history.events.insert(history.events.end(), events.begin(),
                              events.end());
    }
    return history;
}

auto cell::workers_idle() const -> bool
{
    for (const auto& group : m_workers)
    {
        for (std::size_t i = 0; i < group.count; ++i)
        {
            const auto state =
                http_get(group.port, "/w/" + std::to_string(i) + "/state");
            if (!state.has_value() || !json::parse(*state)
                                           .as_object()
                                           .at("running")
                                           .as_array()
                                           .empty())
            {
                return false;
            }
        }
    }
    return true;
}

auto cell::prepare_instances() -> void
{
    auto seed = m_options.seed;
    const auto proxy = [&](bool wanted, int target)
    {
        return wanted ? std::make_unique<fault_proxy>(target, ++seed) : nullptr;
    };
    for (std::size_t number = 0; number < m_options.instances; ++number)
    {
        cell_instance instance;
        instance.name = "i" + std::to_string(number);
        instance.caller_port = free_port();
        instance.operator_port = free_port();
        instance.peer_port = free_port();
        instance.settings_file = temporary_file();
        instance.to_platform = proxy(m_options.proxy_platform, m_platform_port);
        instance.from_callers =
            proxy(m_options.proxy_callers, instance.caller_port);
        instance.from_peers = proxy(m_options.proxy_peers, instance.peer_port);
        m_instances.push_back(std::move(instance));
    }
}

auto cell::prepare_workers() -> void
{
    for (std::size_t number = 0; number < m_options.worker_processes; ++number)
    {
        worker_process group;
        group.port = free_port();
        group.count = m_options.workers_per_process;
        group.first = number * group.count;
        group.record_file = temporary_file();
        if (m_options.proxy_workers)
        {
            group.from_instances = std::make_unique<fault_proxy>(
                group.port, m_options.seed + number);
        }
        m_workers.push_back(std::move(group));
    }
}

auto cell::start_platform() -> void
{
    m_platform = process(program("pimentoshunt_standins"),
                         {"--role=platform",
                          make_flag("port", std::to_string(m_platform_port))});
}

auto cell::start_workers(worker_process& group) -> void
{
    const auto advertised = group.from_instances == nullptr
                                ? group.port
                                : group.from_instances->port();
    std::vector<std::string> arguments{
        "--role=workers",
        make_flag("port", std::to_string(group.port)),
        make_flag("count", std::to_string(group.count)),
        make_flag("first", std::to_string(group.first)),
        make_flag("data_centre", join_with_commas(m_options.data_centres)),
        make_flag("record_file", group.record_file),
        make_flag("advertised", loopback_address(advertised)),
        make_flag("platform", "http://" + loopback_address(m_platform_port))};
    arguments.insert(arguments.end(), m_options.worker_flags.begin(),
                     m_options.worker_flags.end());
    group.program = process(program("pimentoshunt_standins"), arguments);
}

auto cell::start_instance(cell_instance& instance) -> void
{
    write_settings(static_cast<std::size_t>(&instance - m_instances.data()));
    instance.program =
        process(program("pimentoshunt"),
                {"serve", make_flag("settings", instance.settings_file)});
}

auto cell::write_settings(std::size_t number) -> void
{
    std::ofstream out(m_instances[number].settings_file, std::ios::trunc);
    out << json::serialize(make_settings(number));
}

auto cell::make_settings(std::size_t number) const -> json::object
{
    const auto& instance = m_instances[number];
    json::array seeds;
    for (const auto& other : m_instances)
    {
        if (&other != &instance)
        {
            seeds.emplace_back(peer_address(other));
        }
    }
    const auto platform = instance.to_platform == nullptr
                              ? m_platform_port
                              : instance.to_platform->port();
    const auto& centres = m_options.data_centres;
    json::object settings{
        {"instance", instance.name},
        {"data_centre", centres[number % centres.size()]},
        {"host", "127.0.0.1"},
        {"caller_port", instance.caller_port},
        {"operator_port", instance.operator_port},
        {"peer_port", instance.peer_port},
        {"platform_url", "http://" + loopback_address(platform)},
        {"seeds", std::move(seeds)}};
    if (instance.from_peers != nullptr)
    {
        settings["advertised_peer"] = peer_address(instance);
    }
    if (instance.from_callers != nullptr)
    {
        settings["advertised_http"] = loopback_address(instance.entry_port());
    }
    for (const auto& member : m_options.settings)
    {
        settings[member.key()] = member.value();
    }
    return settings;
}

auto cell::register_instances() -> bool
{
    json::array entries;
    for (std::size_t number = 0; number < m_instances.size(); ++number)
    {
        const auto& instance = m_instances[number];
        const auto& centres = m_options.data_centres;
        entries.push_back(json::object{
            {"id", instance.name},
            {"kind", "entry"},
            {"base_url", "http://" + loopback_address(instance.entry_port())},
            {"data_centre", centres[number % centres.size()]},
            {"rack", ""},
            {"state", "live"}});
    }
    return http_post(m_platform_port, "/control/instances?mode=add",
                     json::serialize(json::object{{"instances", entries}}))
        .has_value();
}

auto cell::count_listed_workers() -> std::size_t
{
    const auto text = http_get(m_platform_port, "/control/instances");
    if (!text.has_value())
    {
        return 0;
    }
    std::unordered_set<std::string> ids;
    const auto list = json::parse(*text);
    for (const auto& entry : list.at("instances").as_array())
    {
        if (entry.as_object().at("kind").as_string() == "worker")
        {
            ids.emplace(entry.as_object().at("id").as_string().c_str());
        }
    }
    return ids.size();
}

auto cell::program(const std::string& name) const -> std::string
{
    return m_options.build + "/" + name;
}

} // namespace pimentoshunt::testing
