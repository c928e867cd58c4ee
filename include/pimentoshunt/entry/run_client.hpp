/// @file
/// HTTP client that sends a caller's request to the worker granted for it and
/// classifies how the attempt ended.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/queued_request.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/platform/http_pool.hpp>

#include <memory>        // shared_ptr
#include <mutex>         // mutex
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

namespace pimentoshunt::entry
{

/// @brief A caller's request as forwarded to workers; the same for each
/// attempt.
struct run_request
{
    std::string method;
    /// Path and query below the workload's path, encoded as the caller sent
    /// them.
    std::string path;
    std::string body;
    std::vector<platform::http_header> headers;
};

/// @brief How an attempt ended, as far as this instance can tell.
enum class attempt_status
{
    /// The worker's whole response to this attempt was received.
    answered,
    /// The worker refused to start the attempt, so it did not run.
    refused,
    /// As refused, because another instance owns the worker now.
    fenced,
    /// Nothing was sent, so the attempt did not run.
    never_sent,
    /// The attempt may have run, may be running, or may still start.
    unknown
};

/// @brief The result of an attempt. Status, body and headers are set when it
/// was answered.
struct attempt_result
{
    attempt_status state = attempt_status::unknown;
    int status = 0;
    std::string body;
    std::vector<platform::http_header> headers;
};

/// @brief Sends attempts over keep-alive connections to all workers.
/// Thread-safe.
class run_client
{
  public:
    /// @param connect_timeout  for a new connection to a worker
    /// @param connections  most open connections to one worker
    run_client(milliseconds connect_timeout, std::size_t connections)
        : m_connect_timeout(connect_timeout), m_connections(connections)
    {
    }

    /// @brief Runs one attempt; blocks until its response or @p deadline.
    /// @param item  the workload: resources, and the path prefix of the request
    [[nodiscard]] auto run(const grant& where, const plan::workload& item,
                           const run_request& request, time_point deadline)
        -> attempt_result;

  private:
    auto pool_of(const std::string& base_url)
        -> std::shared_ptr<platform::http_pool>;

    milliseconds m_connect_timeout;
    std::size_t m_connections;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::shared_ptr<platform::http_pool>>
        m_pools;
};

} // namespace pimentoshunt::entry
