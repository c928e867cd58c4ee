/// @file
/// Callers that send a message without end to one instance of `pimentoshunt serve`:
/// it lives, stays within its memory and descriptors, and answers afterwards.
#include "support/cell.hpp"
#include "support/crowd.hpp"
#include "support/wait_until.hpp"

#include <criterion/criterion.h>
#include <criterion/logging.h>
#include <httplib.h>

#include <string> // string

using namespace pimentoshunt;
using namespace pimentoshunt::testing;

namespace
{

constexpr milliseconds answer_timeout{20'000};
constexpr std::size_t mebibyte = 1u << 20;
constexpr std::size_t body_bytes = mebibyte;
/// Header and buffers of a connection, and the stack of its thread.
constexpr std::size_t connection_slack = mebibyte;
/// An instance without callers.
constexpr std::size_t base_bytes = 64 * mebibyte;
constexpr std::size_t base_descriptors = 128;

constexpr const char* plan_text = R"({
  "workspaces": [{"name": "dock", "quota": {"slots": 100}}],
  "services": [
    {"name": "desk", "workspace": "dock", "path": "/desk", "deadline_ms": 20000}]})";

const std::string chunked_request =
    "POST /services/desk/crowd HTTP/1.1\r\nHost: a\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

auto one_instance_options() -> cell_options
{
    cell_options options;
    options.instances = 1;
    options.workers_per_process = 2;
    options.settings["max_body_bytes"] = body_bytes;
    return options;
}

auto serves_a_request(int port) -> bool
{
    httplib::Client client("127.0.0.1", port);
    client.set_read_timeout(answer_timeout);
    return wait_until(
        [&]
        {
            const auto answer = client.Get("/services/desk/ordinary");
            return answer && answer->status == 200;
        },
        answer_timeout, milliseconds(100));
}

/// Runs a crowd at the callers' address and checks that it does no harm.
auto withstand(const std::string& start, const std::string& repeated) -> void
{
    cell running(one_instance_options());
    const auto start_error = running.start();
    cr_assert(start_error.empty(), "%s", start_error.c_str());
    auto& instance = running.instances()[0];
    httplib::Client client("127.0.0.1", instance.operator_port);
    const auto put =
        client.Put("/plan?revision=0", plan_text, "application/json");
    cr_assert(put && put->status == 200);
    cr_assert(serves_a_request(instance.caller_port));

    crowd_options crowd;
    crowd.port = instance.caller_port;
    crowd.start = start;
    crowd.repeated = repeated;
    const auto seen = run_crowd(crowd, instance.program.pid());
    constexpr auto held_each = 2 * body_bytes + connection_slack;
    const auto max_bytes = base_bytes + crowd.connections * held_each;
    cr_log_info("%zu of %zu connected, %zu closed, %zu answered, %zu KiB sent; "
                "peak %zu KiB, %zu descriptors",
                seen.connected, crowd.connections, seen.closed,
                seen.statuses.size(), seen.bytes_sent / 1'024,
                seen.most.peak_bytes / 1'024, seen.most.descriptors);
    cr_expect(instance.program.is_running(), "the instance ended");
    cr_expect(seen.connected == crowd.connections);
    cr_expect(seen.most.peak_bytes > 0);
    cr_expect(seen.most.peak_bytes <= max_bytes,
              "peak memory is %zu KiB of at most %zu",
              seen.most.peak_bytes / 1'024, max_bytes / 1'024);
    cr_expect(seen.most.descriptors <= base_descriptors + crowd.connections,
              "%zu descriptors", seen.most.descriptors);
    cr_expect(serves_a_request(instance.caller_port), "no answer");
}

auto header_line() -> std::string
{
    return "X-Filler: " + std::string(1'000, 'a') + "\r\n";
}

} // namespace

Test(serve_limits, trailers_without_end)
{
    withstand(chunked_request + "4\r\nbody\r\n0\r\n", header_line());
}

Test(serve_limits, chunk_extension_without_end)
{
    withstand(chunked_request + "4;", std::string(1'024, 'a'));
}

Test(serve_limits, header_lines_without_end)
{
    withstand("GET /services/desk/crowd HTTP/1.1\r\n", header_line());
}

Test(serve_limits, one_header_line_without_end)
{
    withstand("GET /services/desk/crowd HTTP/1.1\r\nX-Filler: ",
              std::string(1'024, 'a'));
}
