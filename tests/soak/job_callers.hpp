/// @file
/// Simulated callers. They submit jobs, retry after refused or lost answers,
/// cancel some jobs and look up states, and record every answer.
#pragma once

#include "record.hpp"

#include <atomic>     // atomic
#include <cstdint>    // uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <random>     // mt19937_64
#include <string>     // string
#include <thread>     // thread
#include <vector>     // vector

namespace httplib
{
class Client;
}

namespace pimentoshunt::soak
{

/// @brief One caller with its own thread. Its connections are kept alive until
/// the instance's process ends. Public functions are called by the thread that
/// runs the soak.
class job_caller
{
  public:
    /// @param ports  loopback ports of the instances' caller addresses
    /// @param seed  seed of all random choices
    /// @param mean_interval  mean time between two submissions
    job_caller(std::vector<int> ports, std::uint64_t seed,
               milliseconds mean_interval);
    ~job_caller();
    job_caller(const job_caller&) = delete;
    auto operator=(const job_caller&) -> job_caller& = delete;

    /// @brief Stops new submissions and looks up accepted jobs until all have
    /// ended. Returns at once.
    auto settle() -> void;
    /// @brief Whether all accepted jobs without a cancellation have ended.
    [[nodiscard]] auto is_settled() const -> bool;
    /// @brief Ends the thread and moves the recorded jobs into @p out.
    auto finish(std::map<std::string, job_record>& out) -> void;

  private:
    auto run() -> void;
    auto run_scheduled() -> void;
    auto look_up_unfinished() -> void;
    auto schedule(milliseconds minimum, milliseconds maximum,
                  std::function<void()> action) -> void;
    auto new_job() -> job_record;
    auto submit(job_record& job) -> void;
    auto schedule_follow_ups(job_record& job) -> void;
    auto cancel(job_record& job) -> void;
    auto look_up_state(job_record& job) -> bool;
    auto call(const std::string& method, const job_record& job)
        -> answer_record;
    auto choose_instance() -> std::size_t;
    auto random_instance() -> std::size_t;
    auto random_number(std::int64_t minimum, std::int64_t maximum)
        -> std::int64_t;
    auto random_bool(double probability) -> bool;

    std::vector<int> m_ports;
    std::vector<std::unique_ptr<httplib::Client>> m_clients;
    std::mt19937_64 m_random;
    milliseconds m_mean_interval;
    std::size_t m_preferred_instance;
    std::map<std::string, job_record> m_jobs;
    std::multimap<time_point, std::function<void()>> m_scheduled;
    std::atomic<bool> m_settling{false};
    std::atomic<bool> m_settled{false};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace pimentoshunt::soak
