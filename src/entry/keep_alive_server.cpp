/// @file
/// Connection handling with poll() and a read buffer of its own, in place of
/// the library's.
#include <pimentoshunt/entry/keep_alive_server.hpp>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm> // min
#include <array>     // array
#include <cerrno>    // errno
#include <chrono>    // milliseconds
#include <cstring>   // memcpy

namespace pimentoshunt::entry
{
namespace
{

using std::chrono::milliseconds;

/// Interval at which an idle connection checks whether the server stops.
constexpr milliseconds stop_poll_interval{200};

/// Waits up to @p bound for one of @p events on a socket.
auto wait_for(socket_t socket, short events, milliseconds bound) -> bool
{
    ::pollfd item{socket, events, 0};
    int found = 0;
    do
    {
        found = ::poll(&item, 1, static_cast<int>(bound.count()));
    } while (found < 0 && errno == EINTR);
    return found > 0;
}

struct io_timeouts
{
    milliseconds read{0};
    milliseconds write{0};
};

/// Converts a socket address to text and port.
auto describe(const ::sockaddr_storage& address, std::string& ip, int& port)
    -> void
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET)
    {
        const auto& v4 = reinterpret_cast<const ::sockaddr_in&>(address);
        ::inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        port = ntohs(v4.sin_port);
    }
    else if (address.ss_family == AF_INET6)
    {
        const auto& v6 = reinterpret_cast<const ::sockaddr_in6&>(address);
        ::inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        port = ntohs(v6.sin6_port);
    }
    ip = text.data();
}

/// A connection with a read buffer that is kept over all its requests.
class buffered_stream : public httplib::Stream
{
  public:
    buffered_stream(socket_t socket, io_timeouts limits)
        : m_socket(socket), m_limits(limits)
    {
    }

    [[nodiscard]] auto has_buffered_bytes() const -> bool
    {
        return m_begin < m_end;
    }

    [[nodiscard]] auto is_readable() const -> bool override
    {
        return has_buffered_bytes() ||
               wait_for(m_socket, POLLIN, m_limits.read);
    }

    [[nodiscard]] auto is_writable() const -> bool override
    {
        return wait_for(m_socket, POLLOUT, m_limits.write);
    }

    auto read(char* data, std::size_t size) -> ssize_t override
    {
        if (!has_buffered_bytes())
        {
            const auto filled = fill();
            if (filled <= 0)
            {
                return filled;
            }
        }
        const auto count = std::min(size, m_end - m_begin);
        std::memcpy(data, m_buffer.data() + m_begin, count);
        m_begin += count;
        return static_cast<ssize_t>(count);
    }

    auto write(const char* data, std::size_t size) -> ssize_t override
    {
        if (!is_writable())
        {
            return -1;
        }
        return ::send(m_socket, data, size, MSG_NOSIGNAL);
    }

    auto get_remote_ip_and_port(std::string& ip, int& port) const
        -> void override
    {
        ::sockaddr_storage address{};
        ::socklen_t size = sizeof address;
        ::getpeername(m_socket, reinterpret_cast<::sockaddr*>(&address), &size);
        describe(address, ip, port);
    }

    auto get_local_ip_and_port(std::string& ip, int& port) const
        -> void override
    {
        ::sockaddr_storage address{};
        ::socklen_t size = sizeof address;
        ::getsockname(m_socket, reinterpret_cast<::sockaddr*>(&address), &size);
        describe(address, ip, port);
    }

    [[nodiscard]] auto socket() const -> socket_t override
    {
        return m_socket;
    }

  private:
    auto fill() -> ssize_t
    {
        if (!wait_for(m_socket, POLLIN, m_limits.read))
        {
            return -1;
        }
        const auto got = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        m_begin = 0;
        m_end = got > 0 ? static_cast<std::size_t>(got) : 0;
        return got;
    }

    socket_t m_socket;
    io_timeouts m_limits;
    std::array<char, 16'384> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace

auto keep_alive_server::wait_for_request(socket_t socket,
                                         milliseconds idle) const -> bool
{
    while (svr_sock_ != INVALID_SOCKET && idle > milliseconds::zero())
    {
        const auto slice = std::min(idle, stop_poll_interval);
        if (wait_for(socket, POLLIN, slice))
        {
            return true;
        }
        idle -= slice;
    }
    return false;
}

auto keep_alive_server::process_and_close_socket(socket_t socket) -> bool
{
    const io_timeouts limits{std::chrono::seconds(read_timeout_sec_) +
                                 milliseconds(read_timeout_usec_ / 1'000),
                             std::chrono::seconds(write_timeout_sec_) +
                                 milliseconds(write_timeout_usec_ / 1'000)};
    const milliseconds idle = std::chrono::seconds(keep_alive_timeout_sec_);
    buffered_stream stream(socket, limits);
    bool good = true;
    for (auto left = keep_alive_max_count_; good && left > 0; --left)
    {
        if (!stream.has_buffered_bytes() && !wait_for_request(socket, idle))
        {
            break;
        }
        bool closed = false;
        good = process_request(stream, left == 1, closed, nullptr) && !closed;
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return good;
}

} // namespace pimentoshunt::entry
