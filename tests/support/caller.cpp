#include "caller.hpp"

#include <httplib.h>

#include <functional> // hash
#include <map>        // map
#include <memory>     // unique_ptr
#include <mutex>      // mutex
#include <random>     // mt19937_64
#include <thread>     // jthread

namespace pimentoshunt::testing
{
namespace
{

constexpr std::uint64_t seed_stride = 7919;

auto parse_ran_header(const std::string& text) -> ran_header
{
    if (text == "yes")
    {
        return ran_header::yes;
    }
    if (text == "no")
    {
        return ran_header::no;
    }
    return text == "unknown" ? ran_header::unknown : ran_header::absent;
}

auto make_headers(const call_spec& spec) -> httplib::Headers
{
    httplib::Headers headers{{"X-Request-Id", spec.request_id}};
    if (!spec.idempotency_key.empty())
    {
        headers.emplace("Idempotency-Key", spec.idempotency_key);
    }
    return headers;
}

auto record_response(call_record& record, const httplib::Result& answer) -> void
{
    record.answered_at = boot_clock::now();
    if (!answer)
    {
        record.transport_error = httplib::to_string(answer.error());
        return;
    }
    record.answered = true;
    record.status = answer->status;
    record.ran = parse_ran_header(answer->get_header_value("Pimentoshunt-Ran"));
    record.has_retry_after = answer->has_header("Retry-After");
    record.worker = answer->get_header_value("X-Standin-Worker");
    record.received = digest_of(answer->body);
}

auto send_request(httplib::Client& client, const call_spec& spec) -> call_record
{
    call_record record;
    record.request_id = spec.request_id;
    record.workload = spec.workload;
    record.idempotent = spec.idempotent;
    record.idempotency_key = spec.idempotency_key;
    record.sent = digest_of(spec.body);
    record.sent_at = boot_clock::now();
    const auto path = "/services/" + spec.workload + "/" + spec.subpath;
    record_response(record, client.Post(path, make_headers(spec), spec.body,
                                        "application/octet-stream"));
    return record;
}

auto make_client(int port, milliseconds timeout)
    -> std::unique_ptr<httplib::Client>
{
    auto client = std::make_unique<httplib::Client>("127.0.0.1", port);
    client->set_connection_timeout(timeout);
    client->set_read_timeout(timeout);
    client->set_write_timeout(timeout);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    return client;
}

/// One caller of @ref run_callers. Sends one request at a time, over one
/// persistent connection per port.
class seeded_caller
{
  public:
    seeded_caller(const caller_options& options, std::size_t number)
        : m_options(options), m_number(number),
          m_random(options.seed * seed_stride + number)
    {
    }

    auto run() -> std::vector<call_record>
    {
        std::vector<call_record> records;
        records.reserve(m_options.requests_per_caller);
        for (std::size_t i = 0; i < m_options.requests_per_caller; ++i)
        {
            const auto port =
                m_options.ports[m_random() % m_options.ports.size()];
            records.push_back(send_request(client_for(port), next_spec(i)));
            if (m_options.pause.count() > 0)
            {
                std::this_thread::sleep_for(m_options.pause);
            }
        }
        return records;
    }

  private:
    auto client_for(int port) -> httplib::Client&
    {
        auto& client = m_clients[port];
        if (client == nullptr)
        {
            client = make_client(port, m_options.timeout);
        }
        return *client;
    }

    auto next_spec(std::size_t request) -> call_spec
    {
        std::uniform_int_distribution<std::size_t> size(
            m_options.min_body_size, m_options.max_body_size);
        std::uniform_int_distribution<std::int64_t> run(
            m_options.min_run_time.count(), m_options.max_run_time.count());
        call_spec spec;
        spec.request_id = m_options.id_prefix + "-" + std::to_string(m_number) +
                          "-" + std::to_string(request);
        spec.workload = m_options.workload;
        spec.idempotent = m_options.idempotent;
        spec.idempotency_key =
            m_options.with_keys ? "key-" + spec.request_id : "";
        spec.subpath = "x?run_ms=" + std::to_string(run(m_random));
        spec.body = make_body(spec.request_id, size(m_random), m_random());
        return spec;
    }

    const caller_options& m_options;
    std::size_t m_number;
    std::mt19937_64 m_random;
    std::map<int, std::unique_ptr<httplib::Client>> m_clients;
};

} // namespace

auto digest_of(const std::string& body) -> body_digest
{
    return {body.size(), std::hash<std::string>{}(body)};
}

auto make_body(const std::string& id, std::size_t size, std::uint64_t seed)
    -> std::string
{
    auto body = id + "\n";
    std::mt19937_64 random(seed);
    while (body.size() < size)
    {
        body += static_cast<char>(random());
    }
    return body;
}

auto call(int port, const call_spec& spec) -> call_record
{
    const auto client = make_client(port, spec.timeout);
    return send_request(*client, spec);
}

class caller_connections::implementation
{
  public:
    explicit implementation(milliseconds timeout) : m_timeout(timeout)
    {
    }

    auto client_for(int port) -> httplib::Client&
    {
        auto& client = m_clients[port];
        if (client == nullptr)
        {
            client = make_client(port, m_timeout);
        }
        return *client;
    }

  private:
    milliseconds m_timeout;
    std::map<int, std::unique_ptr<httplib::Client>> m_clients;
};

caller_connections::caller_connections(milliseconds timeout)
    : m_implementation(std::make_unique<implementation>(timeout))
{
}

caller_connections::~caller_connections() = default;

auto caller_connections::call(int port, const call_spec& spec) -> call_record
{
    return send_request(m_implementation->client_for(port), spec);
}

auto run_callers(const caller_options& options) -> std::vector<call_record>
{
    std::vector<call_record> all;
    std::mutex mutex;
    {
        std::vector<std::jthread> threads;
        threads.reserve(options.callers);
        for (std::size_t number = 0; number < options.callers; ++number)
        {
            threads.emplace_back(
                [&, number]
                {
                    const auto records = seeded_caller(options, number).run();
                    const std::lock_guard lock(mutex);
                    all.insert(all.end(), records.begin(), records.end());
                });
        }
    }
    return all;
}

} // namespace pimentoshunt::testing
