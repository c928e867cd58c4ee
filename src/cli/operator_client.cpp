#include <pimentoshunt/cli/operator_client.hpp>

#include <pimentoshunt/platform/json_fields.hpp>

#include <httplib.h>

#include <utility> // move

namespace pimentoshunt::cli
{
namespace
{

constexpr int ok_status = 200;

auto make_client(const std::string& server, milliseconds timeout)
    -> httplib::Client
{
    httplib::Client client("http://" + server);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    client.set_tcp_nodelay(true);
    return client;
}

auto to_answer(const std::string& server, const httplib::Result& got)
    -> result<operator_answer>
{
    if (!got)
    {
        return leaf::new_error(
            error{error_kind::transport, operator_port_unreachable, server,
                  "no answer: " + httplib::to_string(got.error()),
                  "check --server, or name another instance's operator port"});
    }
    operator_answer answer;
    answer.status = got->status;
    if (auto body = platform::detail::parse_object(got->body))
    {
        answer.body = std::move(*body);
    }
    return answer;
}

} // namespace

operator_client::operator_client(std::string server, milliseconds timeout)
    : m_server(std::move(server)), m_timeout(timeout)
{
}

auto operator_client::get(const std::string& path) const
    -> result<operator_answer>
{
    return to_answer(m_server, make_client(m_server, m_timeout).Get(path));
}

auto operator_client::remove(const std::string& path) const
    -> result<operator_answer>
{
    return to_answer(m_server, make_client(m_server, m_timeout).Delete(path));
}

auto operator_client::post(const std::string& path, const std::string& body,
                           const std::string& key) const
    -> result<operator_answer>
{
    httplib::Headers headers;
    if (!key.empty())
    {
        headers.emplace("Idempotency-Key", key);
    }
    return to_answer(m_server,
                     make_client(m_server, m_timeout)
                         .Post(path, headers, body, "application/json"));
}

auto operator_client::put(const std::string& path,
                          const std::string& body) const
    -> result<operator_answer>
{
    return to_answer(
        m_server,
        make_client(m_server, m_timeout).Put(path, body, "application/json"));
}

auto operator_client::plan() const -> result<remote_plan>
{
    BOOST_LEAF_AUTO(answer, get("/plan"));
    const auto revision =
        platform::detail::number_of(answer.body, "revision", -1);
    if (answer.status != ok_status || revision < 0)
    {
        return leaf::new_error(error{
            error_kind::transport, unexpected_answer, m_server,
            "GET /plan was answered with status " +
                std::to_string(answer.status),
            "check that --server is an operator port, or try another one"});
    }
    remote_plan plan;
    plan.revision = static_cast<std::uint64_t>(revision);
    plan.text = platform::detail::text_of(answer.body, "text");
    plan.body = std::move(answer.body);
    return plan;
}

} // namespace pimentoshunt::cli
