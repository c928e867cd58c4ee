#include "crowd.hpp"

#include "process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>    // any_of, max, min
#include <array>        // array
#include <cerrno>       // errno
#include <cstdlib>      // atoi, strtoull
#include <filesystem>   // directory_iterator
#include <memory>       // unique_ptr
#include <string_view>  // string_view
#include <system_error> // error_code

namespace pimentoshunt::testing
{
namespace
{

constexpr milliseconds poll_interval{20};
/// Kept of what a connection receives.
constexpr std::size_t max_answer_bytes = 4'096;

/// One connection of a crowd; closed by the destructor.
class member
{
  public:
    explicit member(const crowd_options& options) : m_options(options)
    {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(options.port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_open =
            ::connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address),
                      sizeof address) == 0;
        const int flags = ::fcntl(m_descriptor, F_GETFL);
        ::fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
    }

    ~member()
    {
        ::close(m_descriptor);
    }

    member(const member&) = delete;
    auto operator=(const member&) -> member& = delete;

    [[nodiscard]] auto is_open() const -> bool
    {
        return m_open;
    }
    [[nodiscard]] auto is_sending() const -> bool
    {
        const bool more =
            m_sent < m_options.start.size() ||
            (!m_options.repeated.empty() && m_sent < m_options.bytes_each);
        return m_open && more;
    }
    [[nodiscard]] auto sent() const -> std::size_t
    {
        return m_sent;
    }
    [[nodiscard]] auto status() const -> int
    {
        constexpr std::size_t after_version = 9;
        return m_answer.size() > after_version
                   ? std::atoi(m_answer.c_str() + after_version)
                   : 0;
    }
    [[nodiscard]] auto poll_entry() const -> pollfd
    {
        const int wanted = (m_options.reads_answers ? POLLIN : 0) |
                           (is_sending() ? POLLOUT : 0);
        return {m_open ? m_descriptor : -1, static_cast<short>(wanted), 0};
    }

    auto act(short ready) -> void
    {
        if ((ready & (POLLIN | POLLHUP | POLLERR)) != 0)
        {
            receive();
        }
        if (m_open && (ready & POLLOUT) != 0)
        {
            send();
        }
    }

  private:
    auto receive() -> void
    {
        std::array<char, max_answer_bytes> buffer{};
        const auto got = ::recv(m_descriptor, buffer.data(), buffer.size(), 0);
        if (got > 0)
        {
            const auto free = max_answer_bytes - m_answer.size();
            m_answer.append(buffer.data(),
                            std::min(free, static_cast<std::size_t>(got)));
        }
        else if (got == 0 || (errno != EAGAIN && errno != EINTR))
        {
            m_open = false;
        }
    }

    auto send() -> void
    {
        std::string_view rest;
        if (m_sent < m_options.start.size())
        {
            rest = std::string_view(m_options.start).substr(m_sent);
        }
        else
        {
            const auto at =
                (m_sent - m_options.start.size()) % m_options.repeated.size();
            rest = std::string_view(m_options.repeated).substr(at);
        }
        const auto sent_now =
            ::send(m_descriptor, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (sent_now > 0)
        {
            m_sent += static_cast<std::size_t>(sent_now);
        }
        else if (errno != EAGAIN && errno != EINTR)
        {
            // An answer may have come before the reset.
            receive();
            m_open = false;
        }
    }

    const crowd_options& m_options;
    int m_descriptor = -1;
    bool m_open = false;
    std::size_t m_sent = 0;
    std::string m_answer;
};

using members = std::vector<std::unique_ptr<member>>;

/// Lets each connection send and receive once.
/// @return number of bytes sent
auto act_once(members& crowd) -> std::size_t
{
    std::vector<pollfd> polled;
    std::size_t before = 0;
    for (const auto& item : crowd)
    {
        polled.push_back(item->poll_entry());
        before += item->sent();
    }
    ::poll(polled.data(), polled.size(),
           static_cast<int>(poll_interval.count()));
    std::size_t after = 0;
    for (std::size_t i = 0; i < crowd.size(); ++i)
    {
        crowd[i]->act(polled[i].revents);
        after += crowd[i]->sent();
    }
    return after - before;
}

} // namespace

auto read_usage(pid_t pid) -> process_usage
{
    process_usage out;
    const auto folder = "/proc/" + std::to_string(pid);
    const auto status = read_file(folder + "/status");
    const std::string key = "VmHWM:";
    const auto found = status.find(key);
    if (found != std::string::npos)
    {
        constexpr std::size_t kibibyte = 1'024;
        out.peak_bytes =
            std::strtoull(status.c_str() + found + key.size(), nullptr, 10) *
            kibibyte;
    }
    std::error_code fault;
    for (const auto& item :
         std::filesystem::directory_iterator(folder + "/fd", fault))
    {
        static_cast<void>(item);
        ++out.descriptors;
    }
    return out;
}

auto run_crowd(const crowd_options& options, pid_t pid) -> crowd_result
{
    crowd_result out;
    members crowd;
    for (std::size_t i = 0; i < options.connections; ++i)
    {
        crowd.push_back(std::make_unique<member>(options));
        out.connected += crowd.back()->is_open() ? 1 : 0;
    }
    const auto end = boot_clock::now() + options.limit;
    auto last_progress = boot_clock::now();
    auto next_look = last_progress;
    for (auto now = last_progress;
         now < end && now - last_progress < options.idle_limit;
         now = boot_clock::now())
    {
        if (act_once(crowd) > 0)
        {
            last_progress = now;
        }
        if (now >= next_look)
        {
            next_look = now + poll_interval;
            const auto seen = read_usage(pid);
            out.most.peak_bytes =
                std::max(out.most.peak_bytes, seen.peak_bytes);
            out.most.descriptors =
                std::max(out.most.descriptors, seen.descriptors);
        }
        const bool any_open = std::any_of(crowd.begin(), crowd.end(),
                                          [](const auto& item)
                                          {
                                              return item->is_open();
                                          });
        if (!any_open)
        {
            break;
        }
    }
    for (const auto& item : crowd)
    {
        out.bytes_sent += item->sent();
        out.closed += item->is_open() ? 0 : 1;
        if (item->status() != 0)
        {
            out.statuses.push_back(item->status());
        }
    }
    const auto last = read_usage(pid);
    out.most.peak_bytes = std::max(out.most.peak_bytes, last.peak_bytes);
    out.most.descriptors = std::max(out.most.descriptors, last.descriptors);
    return out;
}

} // namespace pimentoshunt::testing
