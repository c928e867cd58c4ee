/// @file
/// Test program that plays the platform or a group of workers, depending on
/// --role. Integration tests and benchmarks start it; it prints
/// "ready <port>" once it listens.
#include "http_server.hpp"
#include "platform_service.hpp"
#include "worker_service.hpp"

#include <gflags/gflags.h>
#include <httplib.h>

#include <csignal>  // signal
#include <iostream> // cerr
#include <string>   // string
#include <thread>   // sleep_for
#include <vector>   // vector

DEFINE_string(role, "platform", "platform or workers");
DEFINE_int32(port, 9000, "TCP port on 127.0.0.1");
DEFINE_int32(threads, 400,
             "maximum number of pool threads and thus of connections");
DEFINE_int32(count, 1, "number of workers in this process");
DEFINE_int32(first, 0, "number of the first worker; ids are w<number>");
DEFINE_int32(rack_size, 8, "number of workers per rack");
DEFINE_string(data_centre, "dc1",
              "data centres of the workers, separated by commas; racks are "
              "assigned to them in turn");
DEFINE_int64(slots, 8, "slots per worker");
DEFINE_int64(millicpus, 16'000, "CPU per worker, in thousandths of a core");
DEFINE_int64(memory_mb, 65'536, "memory per worker, in MiB");
DEFINE_int64(accelerators, 0, "accelerators per worker");
DEFINE_int64(connections, 64,
             "maximum number of concurrent attempts per worker");
DEFINE_bool(enforce_capacity, false,
            "refuse a start that would exceed capacity, instead of recording a "
            "violation");
DEFINE_int64(memory_ms, 600'000,
             "how long ended attempts are remembered, in ms");
DEFINE_string(record_file, "", "file to which events are also appended");
DEFINE_string(platform, "", "platform URL where the workers are registered");
DEFINE_string(advertised, "",
              "host:port in the registered base URLs; 127.0.0.1:<port> when "
              "empty");

namespace
{

namespace standins = pimentoshunt::standins;
using pimentoshunt::milliseconds;

constexpr int max_registration_attempts = 100;
constexpr milliseconds registration_retry_delay{50};

auto split(const std::string& text) -> std::vector<std::string>
{
    std::vector<std::string> parts(1);
    for (const auto character : text)
    {
        if (character == ',')
        {
            parts.emplace_back();
        }
        else
        {
            parts.back() += character;
        }
    }
    return parts;
}

auto make_worker_config(int position) -> standins::worker_config
{
    const auto data_centres = split(FLAGS_data_centre);
    const auto address = FLAGS_advertised.empty()
                             ? "127.0.0.1:" + std::to_string(FLAGS_port)
                             : FLAGS_advertised;
    const auto worker_number = FLAGS_first + position;
    const auto rack = worker_number / FLAGS_rack_size;
    standins::worker_config config;
    config.id = "w" + std::to_string(worker_number);
    config.base_url = "http://" + address + "/w/" + std::to_string(position);
    config.data_centre =
        data_centres[static_cast<std::size_t>(rack) % data_centres.size()];
    config.rack = "r" + std::to_string(rack);
    config.capacity = {FLAGS_slots, FLAGS_millicpus, FLAGS_memory_mb,
                       FLAGS_accelerators};
    config.connections = FLAGS_connections;
    config.enforce_capacity = FLAGS_enforce_capacity;
    config.ended_retention = milliseconds(FLAGS_memory_ms);
    return config;
}

auto make_worker_configs() -> std::vector<standins::worker_config>
{
    std::vector<standins::worker_config> configs;
    configs.reserve(static_cast<std::size_t>(FLAGS_count));
    for (int position = 0; position < FLAGS_count; ++position)
    {
        configs.push_back(make_worker_config(position));
    }
    return configs;
}

/// Registers the workers at --platform. Retries for at least 5 seconds, as the
/// platform may start at the same time.
auto register_workers(const std::string& entries) -> bool
{
    httplib::Client client(FLAGS_platform);
    for (int attempts_left = max_registration_attempts; attempts_left > 0;
         --attempts_left)
    {
        const auto answer = client.Post("/control/instances?mode=add", entries,
                                        "application/json");
        if (answer && answer->status == 200)
        {
            return true;
        }
        std::this_thread::sleep_for(registration_retry_delay);
    }
    std::cerr << "cannot register the workers at " << FLAGS_platform
              << "; start the platform first or correct --platform\n";
    return false;
}

auto serve_platform() -> int
{
    standins::platform_service service;
    httplib::Server server;
    standins::configure_server(server, static_cast<std::size_t>(FLAGS_threads));
    service.install(server);
    return standins::serve(server, FLAGS_port);
}

auto serve_workers() -> int
{
    standins::worker_service service(make_worker_configs(), FLAGS_record_file);
    httplib::Server server;
    standins::configure_server(server, static_cast<std::size_t>(FLAGS_threads));
    service.install(server);
    if (!FLAGS_platform.empty() &&
        !register_workers(service.instance_list_json()))
    {
        return 1;
    }
    return standins::serve(server, FLAGS_port);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    if (FLAGS_role == "platform")
    {
        return serve_platform();
    }
    if (FLAGS_role == "workers")
    {
        return serve_workers();
    }
    std::cerr << "unknown --role=" << FLAGS_role
              << "; use platform or workers\n";
    return 2;
}
