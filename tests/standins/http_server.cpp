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
constexpr std::size_t keep_alive_requests = 1'000'000'000;
constexpr std::time_t keep_alive_seconds = 60;
constexpr std::chrono::seconds io_timeout{120};

/// The listening descriptor, which only the option callback sees.
int listening_socket = -1;

} // namespace

elastic_pool::elastic_pool(std::size_t limit) : m_limit(limit)
{
}

auto elastic_pool::enqueue(std::function<void()> task) -> void
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    if (m_idle < m_tasks.size() && m_threads.size() < m_limit)
    {
        m_threads.emplace_back(
            [this]
            {
                work();
            });
    }
    m_wakeup.notify_one();
}

auto elastic_pool::shutdown() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeup.notify_all();
    for (auto& thread : m_threads)
    {
        thread.join();
    }
}

auto elastic_pool::work() -> void
{
    std::unique_lock lock(m_mutex);
    while (true)
    {
        ++m_idle;
        m_wakeup.wait(lock,
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

auto configure(httplib::Server& server, std::size_t threads) -> void
{
    server.new_task_queue = [threads]
    {
        return new elastic_pool(threads);
    };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(keep_alive_requests);
    server.set_keep_alive_timeout(keep_alive_seconds);
    server.set_read_timeout(io_timeout);
    server.set_write_timeout(io_timeout);
    // Without SO_REUSEPORT, which the library would set: a port that is in
    // use must be an error.
    server.set_socket_options(
        [](socket_t descriptor)
        {
            const int yes = 1;
            ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes,
                         sizeof yes);
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
    // A second listen on the same descriptor raises the library's backlog.
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
    // The body is announced longer than what can follow, even when empty.
    const auto announced = body.size() + 1;
    const auto shared = std::make_shared<std::string>(std::move(body));
    const auto until = std::min(sent, shared->size());
    response.set_content_provider(
        announced, "application/octet-stream",
        [shared, until](std::size_t offset, std::size_t,
                        httplib::DataSink& sink)
        {
            if (offset >= until)
            {
                return false;
            }
            return sink.write(shared->data() + offset, until - offset);
        });
}

} // namespace pimentoshunt::standins
