/// @file
/// Cell of real processes for integration tests: the platform stand-in, worker
/// stand-ins, instances of the system, and fault-injecting proxies on the links
/// that a test selects. Used from the test's thread only.
#pragma once

#include "checker.hpp"
#include "fault_proxy.hpp"
#include "process.hpp"
#include "random_faults.hpp"

#include <pimentoshunt/clock.hpp>

#include <boost/json.hpp> // object

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::testing
{

/// @brief Size, settings and proxied links of a cell.
struct cell_options
{
    std::size_t instances = 2;
    std::size_t worker_processes = 1;
    std::size_t workers_per_process = 4;
    std::vector<std::string> data_centres{"dc1", "dc2", "dc3"};
    /// Additional command-line flags of the worker stand-ins.
    std::vector<std::string> worker_flags;
    /// Members that are added to each instance's generated settings, or replace
    /// members of the same name.
    boost::json::object settings;
    /// Kinds of links that have a fault proxy on each link.
    bool proxy_platform = false;
    bool proxy_workers = false;
    bool proxy_callers = false;
    bool proxy_peers = false;
    /// Seeds the jitter of the proxies.
    std::uint64_t seed = 1;
    /// Folder of the programs. If empty, the environment variable
    /// PIMENTOSHUNT_BUILD or else "build" is used.
    std::string build;
    /// Time limit for the stand-ins, and for each instance to become ready.
    milliseconds start_timeout{15'000};
};

/// @brief One instance of the system with its ports, process and proxies.
struct cell_instance
{
    std::string name;
    int caller_port = 0;
    int operator_port = 0;
    int peer_port = 0;
    std::string settings_file;
    process program;
    /// Proxies; null if the link has no proxy.
    std::unique_ptr<fault_proxy> to_platform;
    std::unique_ptr<fault_proxy> from_callers;
    /// Proxy for the messages of other instances to this one.
    std::unique_ptr<fault_proxy> from_peers;

    /// @brief Returns the port that callers connect to: the proxy's port, or
    /// the instance's own port if it has no proxy.
    [[nodiscard]] auto entry_port() const -> int;
};

/// @brief One process that hosts several worker stand-ins.
struct worker_process
{
    int port = 0;
    /// Number of the first worker; workers are named "w<number>".
    std::size_t first = 0;
    std::size_t count = 0;
    /// File to which the workers append their events.
    std::string record_file;
    process program;
    std::unique_ptr<fault_proxy> from_instances;
};

/// @brief Cell of processes. The destructor kills all processes and removes
/// their files.
class cell
{
  public:
    explicit cell(cell_options options);
    cell(const cell&) = delete;
    auto operator=(const cell&) -> cell& = delete;
    ~cell();

    /// @brief Starts all processes and waits until each instance is ready.
    /// @return an empty text, or an error that names the process that failed to
    /// start, with its output
    [[nodiscard]] auto start() -> std::string;
    /// @brief Starts the platform and the workers only.
    /// @return an empty text, or an error as from @ref start
    [[nodiscard]] auto start_stand_ins() -> std::string;

    [[nodiscard]] auto instances() -> std::vector<cell_instance>&;
    [[nodiscard]] auto workers() -> std::vector<worker_process>&;
    [[nodiscard]] auto platform() -> process&;
    [[nodiscard]] auto platform_port() const -> int;
    /// @brief Returns the ports that callers connect to, one per instance.
    [[nodiscard]] auto entry_ports() const -> std::vector<int>;
    /// @brief Returns all links that have a proxy, with their names.
    [[nodiscard]] auto links() -> std::vector<named_link>;

    /// @brief Starts the process of an instance again with the same settings.
    /// Kills it first if it is still running.
    auto restart_instance(std::size_t number) -> void;
    /// @brief Waits until the instance answers on "/ready".
    /// @return whether it was ready within @p bound
    [[nodiscard]] auto wait_ready(std::size_t number, milliseconds bound)
        -> bool;

    /// @brief Kills a worker process and records the time for the checker.
    auto kill_workers(std::size_t number) -> void;
    /// @brief Starts a worker process again. Kills it first if it is still
    /// running.
    auto restart_workers(std::size_t number) -> void;

    /// @brief Sets faults of the platform: {"outage":"none|refuse|hang",
    /// "latency_ms","drop_replies","freeze_list","list_lag_ms"}.
    /// @return whether the platform accepted the faults
    auto set_platform_faults(const boost::json::object& faults) -> bool;
    /// @brief Sets faults of the workers of one process: {"worker": number in
    /// the process, or all workers if absent, "leaving","refuse_when_leaving",
    /// "fail","hang","slow_ms"}.
    /// @return whether the process accepted the faults
    auto set_worker_faults(std::size_t number,
                           const boost::json::object& faults) -> bool;
    /// @brief Sets the state of an entry in the platform's list of instances
    /// and workers: "live", "leaving" or "gone".
    auto set_listed_state(const std::string& id, const std::string& state)
        -> bool;
    /// @brief Returns the platform's call counters; empty if the platform does
    /// not answer.
    [[nodiscard]] auto platform_stats() -> boost::json::object;

    /// @brief Returns the workers' events so far, their kills, and @p calls, as
    /// input of the checker.
    [[nodiscard]] auto collect_history(std::vector<call_record> calls) const
        -> run_history;
    /// @brief Whether no worker runs an attempt; false if a worker does not
    /// answer.
    [[nodiscard]] auto workers_idle() const -> bool;

  private:
    auto prepare_instances() -> void;
    auto prepare_workers() -> void;
    auto start_platform() -> void;
    auto start_workers(worker_process& group) -> void;
    auto start_instance(cell_instance& instance) -> void;
    auto write_settings(std::size_t number) -> void;
    [[nodiscard]] auto make_settings(std::size_t number) const
        -> boost::json::object;
    auto register_instances() -> bool;
    [[nodiscard]] auto count_listed_workers() -> std::size_t;
    [[nodiscard]] auto program(const std::string& name) const -> std::string;

    cell_options m_options;
    int m_platform_port = 0;
    process m_platform;
    std::vector<worker_process> m_workers;
    std::vector<cell_instance> m_instances;
    std::vector<worker_kill> m_kills;
};

/// @brief Sends a GET request to 127.0.0.1.
/// @return the body of a 2xx response, else an empty value
[[nodiscard]] auto http_get(int port, const std::string& path)
    -> std::optional<std::string>;
/// @brief Sends a POST request with a JSON body to 127.0.0.1.
/// @return the body of a 2xx response, else an empty value
[[nodiscard]] auto http_post(int port, const std::string& path,
                             const std::string& json)
    -> std::optional<std::string>;

} // namespace pimentoshunt::testing
