/// @file
/// A worker: runs tasks under leases and fencing tokens as the pages say, and
/// registers itself in the store.
///
/// What its tasks do stands in the job's `spec`, words of the form name=value:
/// `ms` is how long a task works, `lasts=1` a task that runs until it is
/// stopped, `fails=1` one that ends 'failed' after that time.
#pragma once

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

#include <boost/json/fwd.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace review
{

struct worker_facts
{
    std::string name;
    std::string service = "press";
    std::string zone = "zone-a";
    std::string kind = "a";
    std::string rack = "r1";
    std::int64_t cpu = 16'000;
    std::int64_t memory_mb = 65'536;
    milliseconds longest_lease{6'000};
    milliseconds stop_time{60};
};

class worker
{
  public:
    worker(worker_facts facts, store& platform, record& seen);
    ~worker();
    worker(const worker&) = delete;
    auto operator=(const worker&) -> worker& = delete;

    /// @brief Begins a life.
    /// @param id          the id of this life
    /// @param registers_after  when it writes its first entry
    /// @param cold        for how long it answers late, and by how much
    auto begin(const std::string& id,
               milliseconds registers_after = milliseconds(0),
               milliseconds cold = milliseconds(0),
               milliseconds cold_delay = milliseconds(0)) -> bool;
    /// @brief Ends the life at once: the port closes, connections are reset,
    /// what runs is gone. The platform removes the entry after three heartbeat
    /// intervals of silence.
    auto crash() -> void;

  private:
    struct run
    {
        std::uint64_t number = 0;
        steady::time_point began;
        milliseconds works{0};
        bool lasts = false;
        bool fails = false;
        steady::time_point stops_at = steady::time_point::max();
    };
    struct ended
    {
        std::uint64_t number;
        std::string task;
        std::uint64_t run;
        std::string how;
    };

    auto serve(const http_request& request,
               const std::function<bool()>& connected)
        -> std::optional<http_response>;
    auto start_run(const boost::json::object& order) -> http_response;
    auto stop_run(const boost::json::object& order) -> http_response;
    auto hold(const boost::json::object& order,
              const std::function<bool()>& connected,
              std::unique_lock<std::mutex>& lock)
        -> std::optional<http_response>;
    auto work() -> void;
    auto end_run(const std::string& task, const std::string& how) -> void;
    auto extend_lease(const boost::json::object& order) -> void;
    auto write_entry() -> void;
    auto remove_lapsed_entries() -> void;
    [[nodiscard]] auto clock() const -> std::int64_t;
    [[nodiscard]] auto report(int status, const std::string& reason) const
        -> http_response;

    worker_facts m_facts;
    store& m_platform;
    record& m_seen;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::string m_id;
    bool m_up = false;
    std::uint64_t m_life = 0;
    steady::time_point m_born;
    std::int64_t m_born_ms = 0;
    steady::time_point m_cold_until;
    milliseconds m_cold_delay{0};
    steady::time_point m_next_entry;
    /// When each life wrote its entry last.
    std::map<std::string, steady::time_point> m_entries;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_token = 0;
    std::int64_t m_lease_end = 0;
    std::map<std::string, run> m_runs;
    /// Highest run of each task that was stopped or has ended here.
    std::map<std::string, std::uint64_t> m_over;
    std::deque<ended> m_ends;
    std::uint64_t m_last_end = 0;
    bool m_finished = false;
    int m_port = 0;
    http_server m_server;
    std::thread m_clockwork;
};

} // namespace review
