#include "fault_proxy.hpp"

#include "port_allocator.hpp"
#include "relay_connection.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>          // clamp, min
#include <atomic>             // atomic
#include <cerrno>             // errno
#include <chrono>             // ceil
#include <condition_variable> // condition_variable
#include <list>               // list
#include <mutex>              // mutex
#include <stdexcept>          // runtime_error
#include <thread>             // thread
#include <utility>            // move
#include <vector>             // vector

namespace pimentoshunt::testing
{
namespace
{

using detail::descriptor;
using detail::relay_connection;
using detail::relay_rules;

constexpr int listen_backlog = 4096;
constexpr milliseconds max_poll_wait{1'000};

auto loopback(int port) -> sockaddr_in
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

auto listen_on(int port) -> descriptor
{
    descriptor listener(
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const int enabled = 1;
    ::setsockopt(listener.get(), SOL_SOCKET, SO_REUSEADDR, &enabled,
                 sizeof enabled);
    const auto address = loopback(port);
    const auto* generic_address = reinterpret_cast<const sockaddr*>(&address);
    if (::bind(listener.get(), generic_address, sizeof address) != 0 ||
        ::listen(listener.get(), listen_backlog) != 0)
    {
        throw std::runtime_error("fault proxy cannot listen on port " +
                                 std::to_string(port));
    }
    return listener;
}

auto set_options(int socket) -> void
{
    const int enabled = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) | O_NONBLOCK);
}

/// Blocks for the connect only: on the loopback interface it succeeds or is
/// refused immediately.
auto connect_to(int port) -> descriptor
{
    descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const auto address = loopback(port);
    if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
    {
        return {};
    }
    set_options(socket.get());
    return socket;
}

} // namespace

class fault_proxy::implementation
{
  public:
    implementation(int target_port, std::uint64_t seed)
        : m_port(free_port()), m_target_port(target_port),
          m_listener(listen_on(m_port)), m_wakeup(::eventfd(0, EFD_CLOEXEC))
    {
        m_rules.random.seed(seed);
        m_thread = std::thread(
            [this]
            {
                serve();
            });
    }

    ~implementation()
    {
        m_stopping = true;
        wake();
        m_thread.join();
    }

    implementation(const implementation&) = delete;
    auto operator=(const implementation&) -> implementation& = delete;

    [[nodiscard]] auto port() const -> int
    {
        return m_port;
    }

    /// Changes the rules and waits until the proxy's thread has applied them.
    template<class Change>
    auto change_rules(Change&& change) -> void
    {
        std::unique_lock lock(m_mutex);
        change(m_rules);
        const auto requested_round = ++m_requested_round;
        wake();
        m_round_done.wait(lock,
                          [&]
                          {
                              return m_completed_round >= requested_round;
                          });
    }

    [[nodiscard]] auto rules() const -> relay_rules
    {
        const std::lock_guard lock(m_mutex);
        return m_rules;
    }

    [[nodiscard]] auto connections() const -> std::size_t
    {
        return m_connection_count;
    }

  private:
    auto wake() -> void
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written =
            ::write(m_wakeup.get(), &one, sizeof one);
    }

    auto serve() -> void
    {
        while (!m_stopping)
        {
            const auto polled = wait_for_events();
            const std::lock_guard lock(m_mutex);
            apply_cut();
            relay(polled);
            accept_all();
            m_connection_count = m_connections.size();
            m_completed_round = m_requested_round;
            m_round_done.notify_all();
        }
    }

    /// Polls the wake-up descriptor and the listener, then the client and the
    /// server side of each connection, in this order.
    auto wait_for_events() -> std::vector<pollfd>
    {
        std::vector<pollfd> polled;
        auto wait = max_poll_wait;
        {
            const std::lock_guard lock(m_mutex);
            const auto now = boot_clock::now();
            polled.push_back({m_wakeup.get(), POLLIN, 0});
            polled.push_back({m_listener.get(), POLLIN, 0});
            for (const auto& connection : m_connections)
            {
                add_to_poll(polled, connection, now);
                wait = std::min(wait, time_until_due(connection, now));
            }
        }
        ::poll(polled.data(), polled.size(), static_cast<int>(wait.count()));
        if ((polled.front().revents & POLLIN) != 0)
        {
            std::uint64_t count = 0;
            [[maybe_unused]] const auto received =
                ::read(m_wakeup.get(), &count, sizeof count);
        }
        return polled;
    }

    auto add_to_poll(std::vector<pollfd>& polled,
                     const relay_connection& connection, time_point now) const
        -> void
    {
        const auto client = connection.client_events(m_rules, now);
        const auto server = connection.server_events(m_rules, now);
        // A side without events to wait for gets descriptor -1, which poll
        // ignores: poll reports a hang-up even with an empty event set and
        // would return immediately each time.
        polled.push_back(
            {client == 0 ? -1 : connection.client_descriptor(), client, 0});
        polled.push_back(
            {server == 0 ? -1 : connection.server_descriptor(), server, 0});
    }

    auto time_until_due(const relay_connection& connection,
                        time_point now) const -> milliseconds
    {
        const auto due = connection.next_due();
        if (!due.has_value() || *due <= now || m_rules.faults.freeze)
        {
            return max_poll_wait;
        }
        return std::chrono::ceil<milliseconds>(*due - now);
    }

    auto apply_cut() -> void
    {
        if (m_rules.faults.cut)
        {
            m_listener.close();
            for (auto& connection : m_connections)
            {
                connection.reset();
            }
            m_connections.clear();
        }
        else if (m_listener.get() < 0)
        {
            m_listener = listen_on(m_port);
        }
    }

    auto relay(const std::vector<pollfd>& polled) -> void
    {
        const auto now = boot_clock::now();
        std::size_t entry = 2;
        for (auto next = m_connections.begin(); next != m_connections.end();)
        {
            const auto client = polled[entry].revents;
            const auto server = polled[entry + 1].revents;
            entry += 2;
            const auto stays_open = next->step(client, server, m_rules, now);
            next = stays_open ? std::next(next) : m_connections.erase(next);
        }
    }

    auto accept_all() -> void
    {
        while (m_listener.get() >= 0)
        {
            descriptor client(
                ::accept4(m_listener.get(), nullptr, nullptr, SOCK_CLOEXEC));
            if (client.get() < 0)
            {
                return;
            }
            set_options(client.get());
            auto server = connect_to(m_target_port);
            if (server.get() < 0)
            {
                client.reset();
                continue;
            }
            m_connections.emplace_back(std::move(client), std::move(server));
        }
    }

    const int m_port;
    const int m_target_port;
    descriptor m_listener;
    descriptor m_wakeup;
    mutable std::mutex m_mutex;
    std::condition_variable m_round_done;
    relay_rules m_rules;
    std::uint64_t m_requested_round = 0;
    std::uint64_t m_completed_round = 0;
    std::list<relay_connection> m_connections;
    std::atomic<std::size_t> m_connection_count{0};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

fault_proxy::fault_proxy(int target_port, std::uint64_t seed)
    : m_implementation(std::make_unique<implementation>(target_port, seed))
{
}

fault_proxy::~fault_proxy() = default;

auto fault_proxy::port() const -> int
{
    return m_implementation->port();
}

auto fault_proxy::set_faults(const link_faults& faults) -> void
{
    m_implementation->change_rules(
        [&](relay_rules& rules)
        {
            rules.faults = faults;
        });
}

auto fault_proxy::faults() const -> link_faults
{
    return m_implementation->rules().faults;
}

auto fault_proxy::clear_faults() -> void
{
    m_implementation->change_rules(
        [](relay_rules& rules)
        {
            rules.faults = {};
            rules.exchanges.clear();
        });
}

auto fault_proxy::add(const exchange_rule& rule) -> void
{
    m_implementation->change_rules(
        [&](relay_rules& rules)
        {
            rules.exchanges.push_back(rule);
        });
}

auto fault_proxy::triggered_count() const -> std::int64_t
{
    return m_implementation->rules().triggered_count;
}

auto fault_proxy::connections() const -> std::size_t
{
    return m_implementation->connections();
}

} // namespace pimentoshunt::testing
