#include "port_allocator.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>    // atomic
#include <stdexcept> // runtime_error

namespace pimentoshunt::testing
{
namespace
{

constexpr int first_port = 10'000;
constexpr int port_count = 22'000;
constexpr int ports_per_process = 97;

auto is_free(int port) -> bool
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled,
                 sizeof enabled);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const auto bound =
        ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) == 0;
    ::close(descriptor);
    return bound;
}

} // namespace

auto free_port() -> int
{
    static std::atomic<int> next{::getpid() * ports_per_process % port_count};
    for (int tries = 0; tries < port_count; ++tries)
    {
        const int port = first_port + next.fetch_add(1) % port_count;
        if (is_free(port))
        {
            return port;
        }
    }
    throw std::runtime_error("no free port on 127.0.0.1");
}

} // namespace pimentoshunt::testing
