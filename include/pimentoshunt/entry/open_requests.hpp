/// @file
/// The requests that this entry has not answered yet, so that their callers
/// can cancel them.
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

/// @brief How far one request has come; shared by the thread that serves it
/// and those that cancel it.
class open_request
{
  public:
    /// @brief Notes the ticket with which it is about to wait.
    /// @return false when it was cancelled before
    auto begin_waiting(const queued_request_ptr& item) -> bool;

    /// @brief Notes the attempt that is about to be sent.
    /// @return false when it was cancelled before: nothing may be sent
    auto begin(const grant& where) -> bool;

    /// @brief Notes that the attempt has ended.
    auto end() -> void;

    /// @brief Cancels it, and refuses it if it waits.
    /// @return the attempt that is to be stopped, if one was begun
    auto cancel() -> std::optional<grant>;

    [[nodiscard]] auto cancelled() const -> bool;

  private:
    mutable std::mutex m_mutex;
    bool m_cancelled = false;
    queued_request_ptr m_waiting;
    std::optional<grant> m_running;
};

/// @brief What a cancellation found.
struct cancellation
{
    std::size_t requests = 0;
    /// Attempts that are to be stopped at their workers.
    std::vector<grant> running;
};

/// @brief All of them by id; safe for many threads.
class open_requests
{
  public:
    /// @brief Opens a request; several may have the same id.
    auto open(const std::string& id) -> std::shared_ptr<open_request>;

    /// @brief Forgets an answered request.
    auto close(const std::string& id,
               const std::shared_ptr<open_request>& request) -> void;

    /// @brief Cancels all requests of that id.
    auto cancel(const std::string& id) -> cancellation;

  private:
    std::mutex m_mutex;
    std::multimap<std::string, std::shared_ptr<open_request>> m_requests;
};

/// @brief Keeps a request open for as long as it lives.
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
