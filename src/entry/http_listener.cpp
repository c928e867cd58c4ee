#include <pimentoshunt/entry/http_listener.hpp>

#include <sys/socket.h>

#include <utility> // move

namespace pimentoshunt::entry
{
namespace
{

/// Connections that the kernel queues until a thread accepts them.
constexpr int backlog = 4'096;
/// Interval of the checks whether the server has started.
constexpr milliseconds start_poll_interval{1};
/// Requests served over one connection before it is closed.
constexpr std::size_t requests_per_connection = 1'000'000;

} // namespace

auto connection_thread_pool::enqueue(std::function<void()> task) -> void
{
    const std::lock_guard lock(m_mutex);
    m_tasks.push_back(std::move(task));
    const bool all_busy = m_tasks.size() > m_idle;
    if (all_busy && m_threads.size() < m_limit)
    {
        m_threads.emplace_back(
            [this]
            {
                work();
            });
    }
    m_changed.notify_one();
}

auto connection_thread_pool::shutdown() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (auto& thread : m_threads)
    {
        thread.join();
    }
    m_threads.clear();
}

auto connection_thread_pool::work() -> void
{
    for (;;)
    {
        std::function<void()> task;
        {
            std::unique_lock lock(m_mutex);
            ++m_idle;
            m_changed.wait(lock,
                           [this]
                           {
                               return m_stopping || !m_tasks.empty();
                           });
            --m_idle;
            if (m_tasks.empty())
            {
                return;
            }
            task = std::move(m_tasks.front());
            m_tasks.pop_front();
        }
        task();
    }
}

http_listener::http_listener(listener_limits limits) : m_limits(limits)
{
    m_server.new_task_queue = [limits]
    {
        return new connection_thread_pool(limits.connections);
    };
    m_server.set_keep_alive_max_count(requests_per_connection);
    m_server.set_keep_alive_timeout(limits.keep_alive_timeout.count());
    m_server.set_read_timeout(limits.io_timeout);
    m_server.set_write_timeout(limits.io_timeout);
    m_server.set_payload_max_length(limits.body_bytes);
    m_server.set_tcp_nodelay(true);
}

http_listener::~http_listener()
{
    stop();
}

auto http_listener::try_admit() -> bool
{
    if (m_in_flight.fetch_add(1) < m_limits.requests)
    {
        return true;
    }
    m_in_flight.fetch_sub(1);
    return false;
}

auto http_listener::end_request() -> void
{
    m_in_flight.fetch_sub(1);
}

auto http_listener::start(const std::string& host, int port) -> result<void>
{
    int descriptor = -1;
    m_server.set_socket_options(
        [&descriptor](socket_t socket)
        {
            descriptor = socket;
            const int on = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        });
    if (!m_server.bind_to_port(host, port))
    {
        return leaf::new_error(
            error{error_kind::settings, 110, host + ":" + std::to_string(port),
                  "cannot listen on this address",
                  "choose a free port in the settings, or stop the process "
                  "that uses it"});
    }
    // The library listens with a backlog of five; this call raises it.
    ::listen(descriptor, backlog);
    m_thread = std::thread(
        [this]
        {
            m_server.listen_after_bind();
        });
    // The library ignores a stop() before the server runs, and the join in
    // http_listener::stop() would then never return.
    while (!m_server.is_running())
    {
        std::this_thread::sleep_for(start_poll_interval);
    }
    return {};
}

auto http_listener::stop() -> void
{
    m_server.stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

} // namespace pimentoshunt::entry
