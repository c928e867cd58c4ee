#include "http_server.hpp"

#include <sys/socket.h>

#include <algorithm> // min
#include <chrono>    // seconds
#include <iostream>  // cout, cerr
#include <memory>    // make_shared
#include <utility>   // move

namespace pimentoshunt::standins
{
namespace
{

constexpr int listen_backlog = 4096;
constexpr std::size_t max_keep_alive_requests = 1'000'000'000;
constexpr std::time_t keep_alive_seconds = 60;
constexpr std::chrono::seconds io_timeout{120};

/// Listening socket; the library passes the descriptor only to the callback
/// that sets socket options.
int listening_socket = -1;

} // namespace

on_demand_thread_pool::on_demand_thread_pool(std::size_t limit) : m_limit(limit)
{
}

auto on_demand_thread_pool::enqueue(std::function<void()> task) -> void
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_idle < m_tasks.size() && m_threads.size() < m_limit)
    {
        m_threads.emplace_back(
            [this]
            {
                run_tasks();
            });
    }
    m_task_available.notify_one();
}

auto on_demand_thread_pool::shutdown() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_task_available.notify_all();
    for (auto& thread : m_threads)
    {
        thread.join();
    }
}

auto on_demand_thread_pool::run_tasks() -> void
{
    std::unique_lock lock(m_mutex);
    while (true)
    {
        ++m_idle;
        m_task_available.wait(lock,
                              [this]
                              {
                                  return m_stopping || !m_tasks.empty();
                              });
        --m_idle;
        if (m_tasks.empty())
        {
            return;
        }
        auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

auto configure_server(httplib::Server& server, std::size_t threads) -> void
{
    server.new_task_queue = [threads]
    {
        return new on_demand_thread_pool(threads);
    };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(max_keep_alive_requests);
    server.set_keep_alive_timeout(keep_alive_seconds);
    server.set_read_timeout(io_timeout);
    server.set_write_timeout(io_timeout);
    // The library's default sets SO_REUSEPORT, with which several processes
    // could share a port; binding a port that is in use must be an error.
    server.set_socket_options(
        [](socket_t descriptor)
        {
            const int enabled = 1;
            ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled,
                         sizeof enabled);
            listening_socket = descriptor;
        });
}

auto serve(httplib::Server& server, int port) -> int
{
    if (!server.bind_to_port("127.0.0.1", port))
    {
        std::cerr << "cannot bind 127.0.0.1:" << port
                  << "; choose a free port with --port\n";
        return 1;
    }
    // The library's backlog is too small for bursts; a second listen() on the
    // same socket raises it.
    ::listen(listening_socket, listen_backlog);
    std::cout << "ready " << port << std::endl;
    return server.listen_after_bind() ? 0 : 1;
}

auto answer_json(httplib::Response& response, int status,
                 const std::string& text) -> void
{
    response.status = status;
    response.set_content(text, "application/json");
}

auto answer_truncated(httplib::Response& response, std::string body,
                      std::size_t sent) -> void
{
    // One byte more than the body holds, so that the answer is truncated even
    // if the whole body, or an empty one, is sent.
    const auto announced = body.size() + 1;
    const auto shared = std::make_shared<std::string>(std::move(body));
    const auto sent_size = std::min(sent, shared->size());
    response.set_content_provider(
        announced, "application/octet-stream",
        [shared, sent_size](std::size_t offset, std::size_t,
                            httplib::DataSink& sink)
        {
            if (offset >= sent_size)
            {
                return false;
            }
            return sink.write(shared->data() + offset, sent_size - offset);
        });
}

} // namespace pimentoshunt::standins
