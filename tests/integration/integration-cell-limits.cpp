/// @file
/// Clients that don't behave against one instance of a cell as a real process:
/// it lives, stays within its memory and descriptors, and answers afterwards.
#include "soak/instance_host.hpp"
#include "soak/platform.hpp"
#include "support/crowd.hpp"
#include "support/wait_until.hpp"

#include <criterion/criterion.h>
#include <criterion/logging.h>
#include <httplib.h>

#include <cstdlib>    // getenv, mkdtemp
#include <filesystem> // read_symlink, remove_all
#include <string>     // string

using namespace pimentoshunt;
using namespace pimentoshunt::testing;

namespace
{

constexpr milliseconds ready_timeout{20'000};
constexpr milliseconds answer_timeout{20'000};
constexpr std::size_t workers = 4;
constexpr std::size_t mebibyte = 1u << 20;
/// Limits of one request, as the platform's configuration has them.
constexpr std::size_t header_bytes = 16'384;
constexpr std::size_t body_bytes = 262'144;
/// Buffers of a connection beyond its request.
constexpr std::size_t connection_slack = 65'536;
/// Part of a connection's read buffer beyond the largest header.
constexpr std::size_t buffer_slack = 4'096;
/// What all connections of a server may hold, as the settings have it.
constexpr std::size_t connection_memory_mb = 16;
/// An instance without callers.
constexpr std::size_t base_bytes = 48 * mebibyte;
constexpr std::size_t base_descriptors = 96;

auto make_folder() -> std::string
{
    std::string path = "/tmp/pimentoshunt-limits-XXXXXX";
    cr_assert(::mkdtemp(path.data()) != nullptr);
    return path;
}

auto product_path() -> std::string
{
    const auto* const build = std::getenv("PIMENTOSHUNT_BUILD");
    return (build == nullptr ? std::filesystem::read_symlink("/proc/self/exe")
                                   .parent_path()
                                   .string()
                             : std::string(build)) +
           "/pimentoshunt";
}

/// One ready instance on a platform without faults.
class limited_instance
{
  public:
    limited_instance()
        : m_folder(make_folder()), m_platform(workers, 1),
          m_host(0, {product_path(), m_folder, m_platform.store_port(),
                     m_platform.approval_port(), connection_memory_mb})
    {
        m_host.start();
        cr_assert(wait_until(
                      [this]
                      {
                          return m_host.is_ready();
                      },
                      ready_timeout),
                  "the instance did not become ready: %s",
                  m_host.log().c_str());
    }

    ~limited_instance()
    {
        m_host.process().kill();
        std::filesystem::remove_all(m_folder);
    }

    limited_instance(const limited_instance&) = delete;
    auto operator=(const limited_instance&) -> limited_instance& = delete;

    [[nodiscard]] auto host() -> soak::instance_host&
    {
        return m_host;
    }

    /// Submits a job, as an ordinary caller that tries again after a refusal.
    [[nodiscard]] auto accepts_a_job() -> bool
    {
        httplib::Client client("127.0.0.1", m_host.caller_port());
        const httplib::Headers headers{{"Host", soak::queue_host},
                                       {"Deadline-Ms", "2400"}};
        soak::step_facts step;
        step.need = {0, 500, 200, 0};
        step.estimate = milliseconds(50);
        const auto body =
            soak::write_job("ms 50;queue brief;need 500 200", {step});
        return wait_until(
            [&]
            {
                const auto answer =
                    client.Post("/brief/00000000000000a1", headers, body,
                                "application/json");
                return answer && answer->status >= 200 && answer->status < 300;
            },
            answer_timeout, milliseconds(200));
    }

    /// Runs a crowd and checks that it does the instance no harm.
    /// @param held_each  most that one connection may make the instance hold
    auto withstand(const crowd_options& crowd,
                   std::size_t held_each = header_bytes + body_bytes +
                                           connection_slack) -> crowd_result
    {
        const auto pid = m_host.process().pid();
        auto seen = run_crowd(crowd, pid);
        const auto max_bytes = base_bytes + crowd.connections * held_each;
        const auto max_descriptors = base_descriptors + crowd.connections;
        cr_log_info("%zu of %zu connected, %zu closed, %zu answered, %zu KiB "
                    "sent; peak %zu KiB, %zu descriptors",
                    seen.connected, crowd.connections, seen.closed,
                    seen.statuses.size(), seen.bytes_sent / 1'024,
                    seen.most.peak_bytes / 1'024, seen.most.descriptors);
        cr_expect(m_host.process().is_running(), "the instance ended: %s",
                  m_host.log().c_str());
        cr_expect(seen.connected == crowd.connections);
        cr_expect(seen.most.peak_bytes > 0);
        cr_expect(seen.most.peak_bytes <= max_bytes,
                  "peak memory is %zu KiB of at most %zu after %zu KiB sent",
                  seen.most.peak_bytes / 1'024, max_bytes / 1'024,
                  seen.bytes_sent / 1'024);
        cr_expect(seen.most.descriptors <= max_descriptors,
                  "%zu descriptors of at most %zu", seen.most.descriptors,
                  max_descriptors);
        cr_expect(m_host.is_ready(), "no answer at the status address");
        cr_expect(accepts_a_job(), "no answer at the callers' address");
        return seen;
    }

  private:
    const std::string m_folder;
    soak::platform m_platform;
    soak::instance_host m_host;
};

auto chunked_request() -> std::string
{
    return "POST /brief/crowd HTTP/1.1\r\nHost: " + soak::queue_host +
           "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

auto header_line() -> std::string
{
    constexpr std::size_t length = 1'000;
    return "X-Filler: " + std::string(length, 'a') + "\r\n";
}

/// Complete trailer lines behind the last chunk, but never the empty line.
auto trailers_without_end(int port) -> crowd_options
{
    crowd_options out;
    out.port = port;
    out.start = chunked_request() + "4\r\nbody\r\n0\r\n";
    out.repeated = header_line();
    return out;
}

} // namespace

Test(cell_limits, trailers_without_end_at_the_callers_address)
{
    limited_instance instance;
    static_cast<void>(instance.withstand(
        trailers_without_end(instance.host().caller_port())));
}

Test(cell_limits, trailers_without_end_at_the_status_address)
{
    limited_instance instance;
    static_cast<void>(instance.withstand(
        trailers_without_end(instance.host().status_port())));
}

Test(cell_limits, chunk_extension_without_end)
{
    limited_instance instance;
    crowd_options crowd;
    crowd.port = instance.host().caller_port();
    crowd.start = chunked_request() + "4;";
    crowd.repeated = std::string(1'024, 'a');
    static_cast<void>(instance.withstand(crowd));
}

// Each request is inside the limits, but is never completed.
Test(cell_limits, many_incomplete_bodies)
{
    limited_instance instance;
    crowd_options crowd;
    crowd.port = instance.host().caller_port();
    crowd.connections = 500;
    crowd.start = "POST /brief/crowd HTTP/1.1\r\nHost: " + soak::queue_host +
                  "\r\nContent-Length: " + std::to_string(body_bytes) +
                  "\r\n\r\n";
    crowd.repeated = std::string(4'096, 'b');
    crowd.bytes_each = body_bytes - 2 * crowd.repeated.size();
    constexpr auto held = connection_memory_mb * mebibyte;
    static_cast<void>(instance.withstand(
        crowd, held / crowd.connections + header_bytes + buffer_slack));
}

Test(cell_limits, header_lines_without_end)
{
    limited_instance instance;
    crowd_options crowd;
    crowd.port = instance.host().caller_port();
    crowd.start = "GET /brief/crowd HTTP/1.1\r\n";
    crowd.repeated = header_line();
    static_cast<void>(instance.withstand(crowd));
}
