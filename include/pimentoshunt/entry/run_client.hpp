/// @file
/// Sends a caller's request to the worker that was granted for it.
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

/// @brief A caller's request as it is passed on; used again for each attempt.
struct run_request
{
    std::string method;
    /// Path and query below the workload's own, encoded as the caller sent it.
    std::string path;
    std::string body;
    std::vector<platform::http_header> headers;
};

/// @brief How an attempt ended, as far as the entry can tell.
enum class attempt_status
{
    /// The worker's own whole answer to this very attempt.
    answered,
    /// The worker refused to start it, so it did not run.
    refused,
    /// As refused, because somebody else holds the worker now.
    fenced,
    /// Nothing was sent: it did not run.
    never_sent,
    /// It may have run, may run, or may still start.
    unknown
};

/// @brief The end of an attempt.
struct attempt_result
{
    attempt_status state = attempt_status::unknown;
    int status = 0;
    std::string body;
    std::vector<platform::http_header> headers;
};

/// @brief Keep-alive connections to all workers; safe for many threads.
class run_client
{
  public:
    /// @param connect_timeout  for a new connection to a worker
    /// @param connections  most at once to one worker
    run_client(milliseconds connect_timeout, std::size_t connections)
        : m_connect_timeout(connect_timeout), m_connections(connections)
    {
    }

    /// @brief Runs one attempt; blocks until its answer or @p deadline.
    /// @param item  gives the resources, and the path before the caller's
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
