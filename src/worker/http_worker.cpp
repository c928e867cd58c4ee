#include <pimentoshunt/worker/http_worker.hpp>

#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/array.hpp>     // array
#include <boost/json/object.hpp>    // object
#include <boost/json/serialize.hpp> // serialize

#include <utility> // move

namespace pimentoshunt::worker
{
namespace
{

using platform::exchange_state;
using platform::http_call;
using platform::http_exchange;
namespace json_fields = platform::detail;

constexpr int status_ok = 200;
constexpr int status_created = 201;
constexpr int status_conflict = 409;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

auto fail_unknown(const std::string& url, const std::string& why)
    -> leaf::error_id
{
    return leaf::new_error(
        error{error_kind::worker, outcome_unknown, url,
              "the outcome at the worker is unknown: " + why,
              "look the attempt up at the worker before trying again"});
}

auto fail_not_sent(const std::string& url, const std::string& why)
    -> leaf::error_id
{
    return leaf::new_error(
        error{error_kind::worker, not_sent, url,
              "the worker could not be reached, nothing has run: " + why,
              "try another worker, and check this one's health"});
}

auto fail_status(const std::string& url, int status) -> leaf::error_id
{
    if (status >= first_client_error && status < first_server_error)
    {
        return leaf::new_error(
            error{error_kind::worker, call_refused, url,
                  "the worker refused with status " + std::to_string(status),
                  "compare the worker's version with docs/worker-contract.md"});
    }
    return fail_unknown(url, "status " + std::to_string(status));
}

auto running_of(const boost::json::object& from)
    -> std::vector<boost::json::object>
{
    std::vector<boost::json::object> out;
    const auto* items = json_fields::array_of(from, "running");
    if (items == nullptr)
    {
        return out;
    }
    for (const auto& item : *items)
    {
        if (item.is_object())
        {
            out.push_back(item.get_object());
        }
    }
    return out;
}

auto report_of(const boost::json::object& from) -> state_report
{
    state_report out;
    out.epoch =
        static_cast<epoch_number>(json_fields::number_of(from, "epoch"));
    out.holder = json_fields::text_of(from, "holder");
    out.leaving = json_fields::flag_of(from, "leaving");
    for (const auto& item : running_of(from))
    {
        out.running.push_back(
            {attempt_id(json_fields::text_of(item, "attempt")),
             workload_name(json_fields::text_of(item, "workload")),
             json_fields::resources_of(item, "resources"),
             job_id(json_fields::text_of(item, "job"))});
    }
    return out;
}

auto tasks_of(const boost::json::object& from) -> std::vector<running_task>
{
    std::vector<running_task> out;
    for (const auto& item : running_of(from))
    {
        out.push_back({attempt_id(json_fields::text_of(item, "attempt")),
                       job_id(json_fields::text_of(item, "job")),
                       json_fields::number_of(item, "task"),
                       workload_name(json_fields::text_of(item, "workload")),
                       json_fields::resources_of(item, "resources")});
    }
    return out;
}

/// Rejects a report without a "running" list: a truncated or unrelated answer
/// must not be taken for an idle worker.
auto parse_report(const std::string& body) -> std::optional<boost::json::object>
{
    auto parsed = json_fields::parse_object(body);
    if (!parsed || json_fields::array_of(*parsed, "running") == nullptr)
    {
        return std::nullopt;
    }
    return parsed;
}

auto serialize_start(const task_start& start) -> std::string
{
    return boost::json::serialize(
        boost::json::object{{"attempt", start.attempt.str()},
                            {"workload", start.workload.str()},
                            {"job", start.job.str()},
                            {"task", start.task},
                            {"epoch", start.epoch},
                            {"partition", start.partition},
                            {"partition_epoch", start.partition_epoch},
                            {"resources", json_fields::to_json(start.each)},
                            {"lease_ms", start.lease.count()},
                            {"run_ms", start.run_time.count()},
                            {"body", start.body}});
}

auto parse_state(const std::string& text) -> std::optional<attempt_state>
{
    if (text == "revoked")
    {
        return attempt_state::revoked;
    }
    if (text == "running")
    {
        return attempt_state::running;
    }
    if (text == "finished")
    {
        return attempt_state::finished;
    }
    if (text == "stopped")
    {
        return attempt_state::stopped;
    }
    return std::nullopt;
}

auto attempt_path(const attempt_id& attempt, const std::string& action)
    -> std::string
{
    return "/attempts/" + platform::encode_query(attempt.str()) + "/" + action;
}

} // namespace

auto to_string(refusal value) -> std::string
{
    switch (value)
    {
    case refusal::fenced:
        return "fenced";
    case refusal::revoked:
        return "revoked";
    case refusal::duplicate:
        return "duplicate";
    case refusal::capacity:
        return "capacity";
    case refusal::leaving:
        return "leaving";
    case refusal::other:
        break;
    }
    return "other";
}

auto parse_refusal(const std::string& text) -> refusal
{
    for (const auto value :
         {refusal::fenced, refusal::revoked, refusal::duplicate,
          refusal::capacity, refusal::leaving})
    {
        if (text == to_string(value))
        {
            return value;
        }
    }
    return refusal::other;
}

auto to_header(const resources& amounts) -> std::string
{
    return "slots=" + std::to_string(amounts.slots) +
           ",millicpus=" + std::to_string(amounts.millicpus) +
           ",memory_mb=" + std::to_string(amounts.memory_mb) +
           ",accelerators=" + std::to_string(amounts.accelerators);
}

http_worker::http_worker(http_worker_limits limits) : m_limits(limits)
{
}

auto http_worker::pool_of(const std::string& url)
    -> std::shared_ptr<platform::http_pool>
{
    const std::lock_guard lock(m_mutex);
    auto& pool = m_pools[url];
    if (pool == nullptr)
    {
        const auto peer = platform::parse_endpoint(url);
        if (!peer)
        {
            m_pools.erase(url);
            return nullptr;
        }
        pool = std::make_shared<platform::http_pool>(
            *peer, platform::pool_limits{m_limits.connections,
                                         m_limits.connect_timeout});
    }
    return pool;
}

auto http_worker::forget(const std::string& url) -> void
{
    const std::lock_guard lock(m_mutex);
    m_pools.erase(url);
}

auto http_worker::call(const std::string& url, const http_call& request)
    -> result<http_exchange>
{
    const auto pool = pool_of(url);
    if (pool == nullptr)
    {
        return fail_not_sent(url, "its base URL is not http://host:port/path");
    }
    auto answer = pool->call(request);
    if (answer.state == exchange_state::never_sent)
    {
        return fail_not_sent(url, answer.detail);
    }
    if (answer.state == exchange_state::unknown)
    {
        return fail_unknown(url, answer.detail);
    }
    return answer;
}

auto http_worker::post(const std::string& url, const std::string& path,
                       std::string body) -> result<http_exchange>
{
    http_call request;
    request.method = "POST";
    request.path = path;
    request.body = std::move(body);
    request.timeout = m_limits.timeout;
    request.repeatable = true;
    return call(url, request);
}

auto http_worker::fence(const std::string& url, epoch_number epoch,
                        const std::string& holder) -> result<fence_outcome>
{
    auto body = boost::json::serialize(
        boost::json::object{{"epoch", epoch}, {"holder", holder}});
    BOOST_LEAF_AUTO(answer, post(url, "/fence", std::move(body)));
    if (answer.status != status_ok && answer.status != status_conflict)
    {
        return fail_status(url, answer.status);
    }
    const auto parsed = parse_report(answer.body);
    if (!parsed)
    {
        return fail_unknown(url, "malformed state report");
    }
    return fence_outcome{answer.status == status_ok, report_of(*parsed)};
}

auto http_worker::state(const std::string& url) -> result<state_report>
{
    http_call request;
    request.method = "GET";
    request.path = "/state";
    request.timeout = m_limits.timeout;
    request.repeatable = true;
    BOOST_LEAF_AUTO(answer, call(url, request));
    if (answer.status != status_ok)
    {
        return fail_status(url, answer.status);
    }
    const auto parsed = parse_report(answer.body);
    if (!parsed)
    {
        return fail_unknown(url, "malformed state report");
    }
    return report_of(*parsed);
}

auto http_worker::start_task(const std::string& url, const task_start& start)
    -> result<start_outcome>
{
    http_call request;
    request.method = "POST";
    request.path = "/tasks";
    request.body = serialize_start(start);
    request.timeout = m_limits.timeout;
    BOOST_LEAF_AUTO(answer, call(url, request));
    if (answer.status == status_created)
    {
        return start_outcome{};
    }
    if (answer.status == status_conflict)
    {
        return start_outcome{
            parse_refusal(answer.header("Pimentoshunt-Refused"))};
    }
    return fail_status(url, answer.status);
}

auto http_worker::renew(const std::string& url,
                        const std::vector<attempt_id>& attempts,
                        milliseconds lease) -> result<std::vector<attempt_id>>
{
    boost::json::array names;
    for (const auto& attempt : attempts)
    {
        names.emplace_back(attempt.str());
    }
    auto body = boost::json::serialize(boost::json::object{
        {"attempts", std::move(names)}, {"lease_ms", lease.count()}});
    BOOST_LEAF_AUTO(answer, post(url, "/leases", std::move(body)));
    if (answer.status != status_ok)
    {
        return fail_status(url, answer.status);
    }
    const auto parsed = json_fields::parse_object(answer.body);
    const auto* items =
        parsed ? json_fields::array_of(*parsed, "lapsed") : nullptr;
    if (items == nullptr)
    {
        return fail_unknown(url, "malformed answer to a lease renewal");
    }
    std::vector<attempt_id> lapsed;
    for (const auto& item : *items)
    {
        if (item.is_string())
        {
            lapsed.emplace_back(std::string(item.get_string()));
        }
    }
    return lapsed;
}

auto http_worker::partition_fence(const std::string& url,
                                  const std::string& partition,
                                  std::uint64_t epoch)
    -> result<partition_fence_outcome>
{
    auto body = boost::json::serialize(
        boost::json::object{{"partition", partition}, {"epoch", epoch}});
    BOOST_LEAF_AUTO(answer, post(url, "/partition-fence", std::move(body)));
    if (answer.status == status_conflict)
    {
        return partition_fence_outcome{};
    }
    if (answer.status != status_ok)
    {
        return fail_status(url, answer.status);
    }
    const auto parsed = parse_report(answer.body);
    if (!parsed)
    {
        return fail_unknown(url, "malformed state report");
    }
    return partition_fence_outcome{true, tasks_of(*parsed)};
}

auto http_worker::revoke(const std::string& url, const attempt_id& attempt)
    -> result<attempt_report>
{
    BOOST_LEAF_AUTO(answer, post(url, attempt_path(attempt, "revoke"), {}));
    if (answer.status != status_ok)
    {
        return fail_status(url, answer.status);
    }
    const auto parsed = json_fields::parse_object(answer.body);
    const auto state = parsed
                           ? parse_state(json_fields::text_of(*parsed, "state"))
                           : std::nullopt;
    if (!state)
    {
        return fail_unknown(url, "malformed answer to a revocation");
    }
    attempt_report out{*state, std::nullopt};
    if (parsed->contains("exit"))
    {
        out.exit = static_cast<int>(json_fields::number_of(*parsed, "exit"));
    }
    return out;
}

auto http_worker::call_attempt_action(const std::string& url,
                                      const attempt_id& attempt,
                                      const std::string& action,
                                      std::string body, milliseconds timeout)
    -> result<void>
{
    http_call request;
    request.method = "POST";
    request.path = attempt_path(attempt, action);
    request.body = std::move(body);
    request.timeout = timeout;
    request.repeatable = true;
    BOOST_LEAF_AUTO(answer, call(url, request));
    if (answer.status != status_ok)
    {
        return fail_status(url, answer.status);
    }
    return {};
}

auto http_worker::stop(const std::string& url, const attempt_id& attempt)
    -> result<void>
{
    return call_attempt_action(url, attempt, "stop", {}, m_limits.stop_timeout);
}

auto http_worker::checkpoint(const std::string& url, const attempt_id& attempt)
    -> result<void>
{
    return call_attempt_action(url, attempt, "checkpoint", {},
                               m_limits.stop_timeout);
}

auto http_worker::throttle(const std::string& url, const attempt_id& attempt,
                           int percent) -> result<void>
{
    auto body =
        boost::json::serialize(boost::json::object{{"percent", percent}});
    return call_attempt_action(url, attempt, "throttle", std::move(body),
                               m_limits.timeout);
}

} // namespace pimentoshunt::worker
