/// @file
/// A whole cell of real processes: platform stand-in, workers, instances, and
/// proxies on the links that a test asks for.
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

/// @brief What a cell is made of.
struct cell_options
{
    std::size_t instances = 2;
    std::size_t worker_processes = 1;
    std::size_t workers_per_process = 4;
    std::vector<std::string> data_centres{"dc1", "dc2", "dc3"};
    /// Further flags of the stand-ins for workers.
    std::vector<std::string> worker_flags;
    /// Members that replace or join each instance's generated settings.
    boost::json::object settings;
    /// Links that get a proxy each.
    bool proxy_platform = false;
    bool proxy_workers = false;
    bool proxy_callers = false;
    bool proxy_peers = false;
    std::uint64_t seed = 1;
    /// Where the programs are; the environment's PIMENTOSHUNT_BUILD when empty,
    /// else "build".
    std::string build;
    milliseconds start_timeout{15'000};
};

/// @brief One instance of the system.
struct cell_instance
{
    std::string name;
    int caller_port = 0;
    int operator_port = 0;
    int peer_port = 0;
    std::string settings_file;
    process program;
    /// Null where the link has no proxy.
    std::unique_ptr<fault_proxy> to_platform;
    std::unique_ptr<fault_proxy> from_callers;
    /// What other instances send to this one.
    std::unique_ptr<fault_proxy> from_peers;

    /// @brief Where callers connect: the proxy's port, or its own.
    [[nodiscard]] auto entry_port() const -> int;
};

/// @brief One process of workers.
struct worker_process
{
    int port = 0;
    std::size_t first = 0;
    std::size_t count = 0;
    std::string record_file;
    process program;
    std::unique_ptr<fault_proxy> from_instances;
};

/// @brief A cell; the destructor ends all its processes.
class cell
{
  public:
    explicit cell(cell_options options);
    cell(const cell&) = delete;
    auto operator=(const cell&) -> cell& = delete;
    ~cell();

    /// @brief Starts everything and waits until each instance is ready.
    /// @return an empty text, or what did not come up and its output
    [[nodiscard]] auto start() -> std::string;
    /// @brief Starts platform and workers only.
    [[nodiscard]] auto start_stand_ins() -> std::string;

    [[nodiscard]] auto instances() -> std::vector<cell_instance>&;
    [[nodiscard]] auto workers() -> std::vector<worker_process>&;
    [[nodiscard]] auto platform() -> process&;
    [[nodiscard]] auto platform_port() const -> int;
    /// @brief Where callers connect, one port an instance.
    [[nodiscard]] auto entry_ports() const -> std::vector<int>;
    /// @brief All links that have a proxy, named.
    [[nodiscard]] auto links() -> std::vector<named_link>;

    /// @brief Starts the program of an instance that has ended, with the same
    /// settings.
    auto restart_instance(std::size_t number) -> void;
    [[nodiscard]] auto wait_ready(std::size_t number, milliseconds bound)
        -> bool;

    /// @brief Kills a process of workers and notes their death.
    auto kill_workers(std::size_t number) -> void;
    /// @brief Starts a process of workers that has ended.
    auto restart_workers(std::size_t number) -> void;

    /// @brief Sets faults of the platform: {"outage":"none|refuse|hang",
    /// "latency_ms","drop_replies","freeze_list","list_lag_ms"}.
    /// @return whether it was taken up
    auto set_platform_faults(const boost::json::object& faults) -> bool;
    /// @brief Sets faults of workers of one process: {"worker": number in the
    /// process, or all when absent, "leaving","refuse_when_leaving","fail",
    /// "hang","slow_ms"}.
    auto set_worker_faults(std::size_t number,
                           const boost::json::object& faults) -> bool;
    /// @brief Sets a state in the platform's list: "live", "leaving", "gone".
    auto set_listed_state(const std::string& id, const std::string& state)
        -> bool;
    /// @brief The platform's counts of calls.
    [[nodiscard]] auto platform_stats() -> boost::json::object;

    /// @brief The workers' records so far, with the given calls.
    [[nodiscard]] auto collect_history(std::vector<call_record> calls) const
        -> run_history;
    /// @brief Whether nothing runs on any worker.
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

/// @brief Makes an HTTP request to 127.0.0.1.
/// @return the body of a 2xx answer, else nothing
[[nodiscard]] auto http_get(int port, const std::string& path)
    -> std::optional<std::string>;
[[nodiscard]] auto http_post(int port, const std::string& path,
                             const std::string& json)
    -> std::optional<std::string>;

} // namespace pimentoshunt::testing
