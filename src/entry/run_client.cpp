#include <pimentoshunt/entry/run_client.hpp>

#include <pimentoshunt/worker/port.hpp>

#include <algorithm> // max

namespace pimentoshunt::entry
{
namespace
{

constexpr int conflict_status = 409;

auto to_call(const grant& where, const plan::workload& item,
             const run_request& request, milliseconds timeout)
    -> platform::http_call
{
    platform::http_call call;
    call.method = request.method;
    call.path = "/run" + item.path + request.path;
    call.body = request.body;
    call.content_type.clear();
    call.headers = request.headers;
    call.headers.push_back({"Pimentoshunt-Attempt", where.attempt.str()});
    call.headers.push_back({"Pimentoshunt-Epoch", std::to_string(where.epoch)});
    call.headers.push_back({"Pimentoshunt-Workload", where.workload.str()});
    call.headers.push_back(
        {"Pimentoshunt-Resources", worker::to_header(item.each)});
    call.timeout = timeout;
    return call;
}

auto classify(const grant& where, platform::http_exchange exchange)
    -> attempt_result
{
    attempt_result end;
    if (exchange.state == platform::exchange_state::never_sent)
    {
        end.state = attempt_status::never_sent;
        return end;
    }
    if (exchange.state == platform::exchange_state::unknown)
    {
        return end;
    }
    const auto refusal = exchange.header("Pimentoshunt-Refused");
    if (exchange.status == conflict_status && !refusal.empty())
    {
        const auto reason = worker::parse_refusal(refusal);
        // A duplicate means that the worker has already received this attempt.
        if (reason == worker::refusal::duplicate)
        {
            return end;
        }
        end.state = reason == worker::refusal::fenced ? attempt_status::fenced
                                                      : attempt_status::refused;
        return end;
    }
    // A response to another attempt says nothing about this one.
    if (exchange.header("Pimentoshunt-Attempt") != where.attempt.str())
    {
        return end;
    }
    end.state = attempt_status::answered;
    end.status = exchange.status;
    end.body = std::move(exchange.body);
    end.headers = std::move(exchange.headers);
    return end;
}

} // namespace

auto run_client::pool_of(const std::string& base_url)
    -> std::shared_ptr<platform::http_pool>
{
    const std::lock_guard lock(m_mutex);
    auto& pool = m_pools[base_url];
    const auto peer = platform::parse_endpoint(base_url);
    if (!pool && peer)
    {
        platform::pool_limits limits;
        limits.connections = m_connections;
        limits.connect_timeout = m_connect_timeout;
        pool = std::make_shared<platform::http_pool>(*peer, limits);
    }
    return pool;
}

auto run_client::run(const grant& where, const plan::workload& item,
                     const run_request& request, time_point deadline)
    -> attempt_result
{
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - boot_clock::now());
    const auto pool = pool_of(where.base_url);
    if (pool == nullptr || left <= milliseconds::zero())
    {
        attempt_result end;
        end.state = attempt_status::never_sent;
        return end;
    }
    return classify(where, pool->call(to_call(where, item, request, left)));
}

} // namespace pimentoshunt::entry
