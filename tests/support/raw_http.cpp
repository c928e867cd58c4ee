#include "raw_http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>   // array
#include <cstdlib> // atoi

namespace pimentoshunt::testing
{
namespace
{

auto connect_to(int port) -> int
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

auto send_all(int descriptor, const std::string& bytes) -> void
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const auto sent_now = ::send(descriptor, bytes.data() + sent,
                                     bytes.size() - sent, MSG_NOSIGNAL);
        if (sent_now <= 0)
        {
            return;
        }
        sent += static_cast<std::size_t>(sent_now);
    }
}

auto wait_readable(int descriptor, time_point deadline) -> bool
{
    const auto remaining =
        std::chrono::duration_cast<milliseconds>(deadline - boot_clock::now());
    pollfd item{descriptor, POLLIN, 0};
    return remaining.count() > 0 &&
           ::poll(&item, 1, static_cast<int>(remaining.count())) > 0;
}

} // namespace

auto raw_answer::status() const -> int
{
    constexpr std::size_t after_version = 9;
    return bytes.compare(0, 5, "HTTP/") == 0 && bytes.size() > after_version
               ? std::atoi(bytes.c_str() + after_version)
               : 0;
}

auto raw_answer::has(const std::string& text) const -> bool
{
    return bytes.find(text) != std::string::npos;
}

auto raw_exchange(int port, const std::string& bytes, milliseconds bound,
                  const std::string& stop_text) -> raw_answer
{
    raw_answer answer;
    const int descriptor = connect_to(port);
    if (descriptor < 0)
    {
        return answer;
    }
    send_all(descriptor, bytes);
    const auto deadline = boot_clock::now() + bound;
    while ((stop_text.empty() || !answer.has(stop_text)) &&
           wait_readable(descriptor, deadline))
    {
        std::array<char, 4'096> buffer{};
        const auto received =
            ::recv(descriptor, buffer.data(), buffer.size(), 0);
        if (received <= 0)
        {
            answer.closed = true;
            break;
        }
        answer.bytes.append(buffer.data(), static_cast<std::size_t>(received));
    }
    ::close(descriptor);
    return answer;
}

} // namespace pimentoshunt::testing
