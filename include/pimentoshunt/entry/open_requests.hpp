/// @file
/// Registry of the requests that this instance has not answered yet, by request
/// id, so that callers can cancel them.
#pragma once

#include <pimentoshunt/entry/queued_request.hpp>

#include <map>      // multimap
#include <memory>   // shared_ptr
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <utility>  // move
#include <vector>   // vector

namespace pimentoshunt::entry
{

/// @brief The progress of one request, shared by the thread that serves the
/// request and threads that cancel it. Thread-safe.
class open_request
{
  public:
    /// @brief Records the queue entry on which the request is about to wait.
    /// @return false when the request was cancelled before
    auto begin_waiting(const queued_request_ptr& item) -> bool;

    /// @brief Records the attempt that is about to be sent.
    /// @return false when the request was cancelled before; nothing may be sent
    auto begin(const grant& where) -> bool;

    /// @brief Records that the attempt has ended.
    auto end() -> void;

    /// @brief Cancels the request, and refuses it if it is queued.
    /// @return the attempt that has to be stopped, if one is running
    auto cancel() -> std::optional<grant>;

    [[nodiscard]] auto cancelled() const -> bool;

  private:
    mutable std::mutex m_mutex;
    bool m_cancelled = false;
    queued_request_ptr m_waiting;
    std::optional<grant> m_running;
};

/// @brief The result of a cancellation.
struct cancellation
{
    /// Number of requests with the id.
    std::size_t requests = 0;
    /// Attempts that have to be stopped at their workers.
    std::vector<grant> running;
};

/// @brief All open requests by id. Thread-safe.
class open_requests
{
  public:
    /// @brief Registers a request; several may have the same id.
    auto open(const std::string& id) -> std::shared_ptr<open_request>;

    /// @brief Removes an answered request.
    auto close(const std::string& id,
               const std::shared_ptr<open_request>& request) -> void;

    /// @brief Cancels all requests with the id.
    auto cancel(const std::string& id) -> cancellation;

  private:
    std::mutex m_mutex;
    std::multimap<std::string, std::shared_ptr<open_request>> m_requests;
};

/// @brief Registers a request for the lifetime of the guard.
class open_request_guard
{
  public:
    open_request_guard(open_requests& all, std::string id)
        : m_all(all), m_id(std::move(id)), m_request(all.open(m_id))
    {
    }
    ~open_request_guard()
    {
        m_all.close(m_id, m_request);
    }
    open_request_guard(const open_request_guard&) = delete;
    auto operator=(const open_request_guard&) -> open_request_guard& = delete;

    [[nodiscard]] auto request() const -> open_request&
    {
        return *m_request;
    }

  private:
    open_requests& m_all;
    std::string m_id;
    std::shared_ptr<open_request> m_request;
};

} // namespace pimentoshunt::entry
