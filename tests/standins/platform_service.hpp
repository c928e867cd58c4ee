/// @file
/// The platform stand-in: serves table, objects and instance list over HTTP,
/// as docs/platform-contract.md describes. Tests set faults and read counters
/// below /control. Handlers run on the threads of the HTTP server.
#pragma once

#include "instance_catalog.hpp"
#include "table.hpp"

#include <pimentoshunt/clock.hpp>

#include <httplib.h>

#include <atomic>             // atomic
#include <condition_variable> // condition_variable
#include <cstdint>            // int64_t
#include <deque>              // deque
#include <mutex>              // mutex
#include <string>             // string

namespace pimentoshunt::standins
{

/// @brief How calls are answered during an outage.
enum class outage_mode
{
    none,
    /// Every call is answered with status 503 at once.
    refuse,
    /// Every call waits until this mode ends and is then answered with
    /// status 503.
    hang
};

/// @brief Numbers of read and write calls in some period.
struct call_counts
{
    std::int64_t reads = 0;
    std::int64_t writes = 0;
};

/// @brief Counts calls, in total and per second. Thread-safe.
class call_meter
{
  public:
    auto count_read(time_point now) -> void;
    auto count_write(time_point now) -> void;
    auto count_conflict() -> void;
    auto count_refused() -> void;
    auto count_dropped_reply() -> void;

    /// @brief Encodes the counters as {"reads","writes","conflicts","refused",
    /// "dropped_replies","reads_last_second","writes_last_second","reads_peak",
    /// "writes_peak","seconds":[{"reads","writes"}..]}, where "seconds" holds
    /// the last 600 whole seconds.
    [[nodiscard]] auto to_json(time_point now) -> std::string;

  private:
    /// Closes all seconds that have ended by @p now. Requires m_mutex.
    auto advance_to(time_point now) -> void;

    std::mutex m_mutex;
    call_counts m_total;
    call_counts m_current;
    call_counts m_peak;
    std::deque<call_counts> m_seconds;
    /// The second of m_current, since the epoch of the clock; 0 before the
    /// first call.
    std::int64_t m_second = 0;
    std::int64_t m_conflicts = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_dropped_replies = 0;
};

/// @brief State and HTTP routes of the platform stand-in.
class platform_service
{
  public:
    /// @brief Adds the routes; this object must outlive @p server.
    auto install(httplib::Server& server) -> void;

  private:
    auto install_table(httplib::Server& server) -> void;
    auto install_objects(httplib::Server& server) -> void;
    auto install_control(httplib::Server& server) -> void;
    /// Waits for the added latency and for the end of a hanging outage.
    /// Returns false if the call has been answered with status 503.
    auto apply_faults(httplib::Response& response) -> bool;
    auto commit(const httplib::Request& request, httplib::Response& response)
        -> void;
    auto set_faults(const httplib::Request& request,
                    httplib::Response& response) -> void;
    /// Returns whether this reply must be dropped, and counts it as dropped.
    auto take_dropped_reply() -> bool;

    table m_table;
    object_store m_objects;
    instance_catalog m_instances;
    call_meter m_meter;
    std::mutex m_mutex;
    std::condition_variable m_outage_changed;
    outage_mode m_outage = outage_mode::none;
    std::atomic<std::int64_t> m_latency_ms{0};
    std::atomic<std::int64_t> m_replies_to_drop{0};
};

} // namespace pimentoshunt::standins
