#include "platform_wire.hpp"

#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <httplib.h>     // parse_query_text
#include <openssl/evp.h> // EVP_EncodeBlock, EVP_DecodeBlock

#include <algorithm> // min
#include <chrono>    // hours
#include <cstdlib>   // strtoull
#include <limits>    // numeric_limits
#include <map>       // map

namespace pimentoshunt::soak
{
namespace
{

namespace json = boost::json;
using platform::detail::array_of;
using platform::detail::number_of;
using platform::detail::parse_object;
using platform::detail::text_of;

auto unsigned_of(const json::object& from, std::string_view name)
    -> std::uint64_t
{
    return static_cast<std::uint64_t>(number_of(from, name));
}

auto encode_base64(const std::string& bytes) -> std::string
{
    std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const auto length =
        ::EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                          reinterpret_cast<const unsigned char*>(bytes.data()),
                          static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(length));
    return out;
}

auto decode_base64(const std::string& text) -> std::string
{
    std::string out(text.size() / 4 * 3 + 1, '\0');
    const auto length =
        ::EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                          reinterpret_cast<const unsigned char*>(text.data()),
                          static_cast<int>(text.size()));
    const auto end = text.find('=');
    const auto padding = end == std::string::npos ? 0 : text.size() - end;
    out.resize(static_cast<std::size_t>(std::max(length, 0)) -
               std::min<std::size_t>(padding, 2));
    return out;
}

auto key_of(const json::object& from) -> cell::row_key
{
    return {text_of(from, "table"), text_of(from, "part"),
            text_of(from, "key")};
}

/// Calls @p take with each object of the array @p name; skips other elements.
template<class Take>
auto for_each_object(const json::object& from, std::string_view name,
                     Take&& take) -> void
{
    const auto* const items = array_of(from, name);
    for (std::size_t i = 0; items != nullptr && i < items->size(); ++i)
    {
        if ((*items)[i].is_object())
        {
            take((*items)[i].get_object());
        }
    }
}

auto read_transaction(const std::string& body)
    -> std::optional<cell::row_transaction>
{
    const auto root = parse_object(body);
    if (!root)
    {
        return std::nullopt;
    }
    cell::row_transaction out;
    for_each_object(
        *root, "expected",
        [&](const json::object& row)
        {
            out.conditions.push_back({key_of(row), unsigned_of(row, "ver")});
        });
    for_each_object(
        *root, "puts",
        [&](const json::object& row)
        {
            out.writes.push_back(
                {key_of(row), decode_base64(text_of(row, "value"))});
        });
    for_each_object(*root, "remove",
                    [&](const json::object& row)
                    {
                        out.removals.push_back(key_of(row));
                    });
    const auto* const across = root->if_contains("across");
    const bool may_span_parts =
        across != nullptr && across->is_bool() && across->get_bool();
    if (!may_span_parts && cell::parts_of(out).size() > 1)
    {
        return std::nullopt;
    }
    return out;
}

auto path_of(const net::server_request& request) -> std::string
{
    return request.target.substr(0, request.target.find('?'));
}

auto query_of(const net::server_request& request) -> httplib::Params
{
    httplib::Params out;
    const auto mark = request.target.find('?');
    if (mark != std::string::npos)
    {
        httplib::detail::parse_query_text(request.target.substr(mark + 1), out);
    }
    return out;
}

auto value_of(const httplib::Params& query, const std::string& name)
    -> std::string
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

auto number_in(const httplib::Params& query, const std::string& name)
    -> std::uint64_t
{
    return std::strtoull(value_of(query, name).c_str(), nullptr, 10);
}

auto amounts(const resources& from) -> json::object
{
    return {{"cpu", from.millicpus},
            {"memMb", from.memory_mb},
            {"gpu", from.accelerators}};
}

auto queue_object(const queue_facts& from) -> json::object
{
    json::object out{{"name", from.name},
                     {"host", queue_host},
                     {"pathPrefix", from.path_prefix},
                     {"type", "unsafe"},
                     {"timeoutMs", 3000},
                     {"targetDurationMs", 250},
                     {"priority", from.approvals ? 1 : 0},
                     {"service", from.service},
                     {"maxAttempts", from.most_failures},
                     {"stretch", 1.5}};
    if (from.is_public)
    {
        out["public"] = true;
    }
    if (from.approvals)
    {
        out["advice"] = json::object{{"decisionMs", 28.0},
                                     {"perItemMs", 0.39},
                                     {"validMs", ticket_lifetime.count()}};
    }
    return out;
}

} // namespace

auto read_order(const net::server_request& request)
    -> std::optional<worker_order>
{
    const std::map<std::string, order_kind> kinds{
        {"/pimentoshunt/run-start", order_kind::start},
        {"/pimentoshunt/run-stop", order_kind::stop},
        {"/pimentoshunt/hold", order_kind::heartbeat}};
    const auto root = parse_object(request.body);
    const auto kind = kinds.find(request.target);
    if (!root || kind == kinds.end())
    {
        return std::nullopt;
    }
    return worker_order{kind->second,
                        text_of(*root, "task"),
                        unsigned_of(*root, "run"),
                        text_of(*root, "spec"),
                        text_of(*root, "ticket"),
                        unsigned_of(*root, "fencingToken"),
                        unsigned_of(*root, "lastSeen"),
                        milliseconds(number_of(*root, "deadlineMs")),
                        milliseconds(number_of(*root, "waitMs"))};
}

auto write_answer(const worker_answer& from) -> net::server_response
{
    json::object out{{"clockMs", from.clock.count()}, {"born", from.born_ms}};
    if (!from.reason.empty())
    {
        out["reason"] = from.reason;
    }
    if (from.with_lists)
    {
        json::array running;
        for (const auto& [task, run] : from.running)
        {
            running.push_back(json::array{task, run, "", 50, 0});
        }
        json::array ended;
        for (const auto& end : from.ended)
        {
            ended.push_back(
                json::array{end.number, end.task, end.run, end.outcome, ""});
        }
        out["running"] = std::move(running);
        out["endedRuns"] = std::move(ended);
    }
    return {from.status, json::serialize(out)};
}

auto write_worker(const worker_facts& from, std::uint64_t sequence,
                  milliseconds clock) -> std::string
{
    return json::serialize(json::object{{"service", from.service},
                                        {"address", from.address},
                                        {"zone", "zone-a"},
                                        {"machine", "m-" + from.id},
                                        {"version", "v1"},
                                        {"slots", 64},
                                        {"state", "ready"},
                                        {"coldRemainingMs", 0},
                                        {"capacity", amounts(from.capacity)},
                                        {"labels", json::array{"a", from.rack}},
                                        {"clockMs", clock.count()},
                                        {"born", from.born_ms},
                                        {"sequence", sequence}});
}

auto write_odd_worker(worker_facts from, std::size_t kind,
                      const std::string& other_address) -> std::string
{
    constexpr std::size_t depth = 20'000;
    constexpr auto day_ms = std::chrono::milliseconds(std::chrono::hours(24));
    constexpr auto largest = std::numeric_limits<std::int64_t>::max();
    const std::string host = "127.0.0.1:";
    switch (kind)
    {
    case 0:
        return std::string(depth, '[') + std::string(depth, ']');
    case 1:
        from.address = host + "99999";
        break;
    case 2:
        from.born_ms = largest;
        break;
    case 3:
        from.capacity = {0, largest, largest, largest};
        break;
    case 4:
        from.address = other_address;
        from.born_ms += day_ms.count();
        break;
    default:
        // A port at which nothing listens.
        from.address = host + "1";
        from.born_ms -= day_ms.count();
        break;
    }
    return write_worker(from, 1, milliseconds(1));
}

auto read_store_call(const net::server_request& request)
    -> std::optional<store_call>
{
    const auto path = path_of(request);
    if (request.method == "POST" && path == "/pimentoshunt/rows-tx")
    {
        auto read = read_transaction(request.body);
        return read ? std::optional<store_call>(std::move(*read))
                    : std::nullopt;
    }
    const auto query = query_of(request);
    if (request.method == "GET" && path == "/pimentoshunt/rows-get")
    {
        return read_call{{value_of(query, "table"), value_of(query, "part"),
                          value_of(query, "from"), value_of(query, "to")},
                         number_in(query, "limit")};
    }
    if (request.method == "GET" && path == "/pimentoshunt/rows-feed")
    {
        return follow_call{value_of(query, "table"), number_in(query, "after"),
                           milliseconds(number_in(query, "waitMs"))};
    }
    return std::nullopt;
}

auto write_rows(int status, const std::vector<cell::stored_row>& rows,
                std::uint64_t version, bool more) -> net::server_response
{
    json::array list;
    for (const auto& row : rows)
    {
        json::object item{{"table", row.at.table},
                          {"part", row.at.part},
                          {"key", row.at.key},
                          {"ver", row.version}};
        if (row.removed)
        {
            item["tombstone"] = true;
        }
        else
        {
            item["value"] = encode_base64(row.value);
        }
        list.push_back(std::move(item));
    }
    const auto now = boot_clock::now().time_since_epoch();
    return {
        status,
        json::serialize(json::object{
            {"rows", std::move(list)},
            {"hasMore", more},
            {"ver", version},
            {"nowMs", std::chrono::duration_cast<milliseconds>(now).count()}})};
}

auto read_approval_call(const net::server_request& request)
    -> std::optional<approval_call>
{
    const auto root = parse_object(request.body);
    const auto* const workers = root ? array_of(*root, "workers") : nullptr;
    if (request.target != "/pimentoshunt/advise" || workers == nullptr)
    {
        return std::nullopt;
    }
    approval_call out{text_of(*root, "step"), {}};
    for (const auto& id : *workers)
    {
        out.workers.emplace_back(id.is_string() ? id.get_string().c_str() : "");
    }
    return out;
}

auto write_approvals(
    const std::vector<std::pair<std::string, std::string>>& approved)
    -> net::server_response
{
    json::array rows;
    for (const auto& [id, ticket] : approved)
    {
        rows.push_back(json::array{id, ticket});
    }
    return {200, json::serialize(
                     json::object{{"approved", std::move(rows)},
                                  {"validMs", ticket_lifetime.count()}})};
}

auto write_configuration(
    const std::vector<queue_facts>& queues, std::uint64_t version,
    const std::optional<std::vector<workspace_facts>>& workspaces)
    -> std::string
{
    json::array routes;
    json::array services;
    for (const auto& queue : queues)
    {
        routes.push_back(queue_object(queue));
    }
    services.push_back(json::object{{"name", queues.front().service},
                                    {"healthPath", "/health"},
                                    {"maxConnections", 64},
                                    {"protocol", "h1"},
                                    {"tls", false},
                                    {"rejectsOverload", false},
                                    {"standby", false}});
    json::object out{{"version", version},
                     {"routes", std::move(routes)},
                     {"services", std::move(services)},
                     {"limits", json::object{{"maxHeaderBytes", 16384},
                                             {"maxBodyBytes", 262144},
                                             {"headerTimeoutMs", 3000},
                                             {"idleTimeoutMs", 15000}}}};
    if (workspaces)
    {
        auto& list = out["tenants"].emplace_array();
        for (const auto& one : *workspaces)
        {
            list.push_back(json::object{
                {"name", one.name},
                {"apiKeys", json::array(one.keys.begin(), one.keys.end())}});
        }
    }
    return json::serialize(out);
}

auto configuration_key() -> cell::row_key
{
    return {"op", "", "config"};
}

auto worker_key(const std::string& id) -> cell::row_key
{
    return {"servers", "", id};
}

auto is_protected_table(const std::string& table) -> bool
{
    return table == "op" || table == "servers";
}

auto ready_path() -> std::string
{
    return "/pimentoshunt/ready";
}

auto write_job(const std::string& payload, const std::vector<step_facts>& steps)
    -> std::string
{
    json::array phases;
    for (const auto& step : steps)
    {
        auto item = amounts(step.need);
        item["count"] = step.count;
        item["estimatedMs"] = step.estimate.count();
        if (!phases.empty())
        {
            item["after"] = json::array{phases.size() - 1};
        }
        phases.push_back(std::move(item));
    }
    return json::serialize(
        json::object{{"spec", payload}, {"phases", std::move(phases)}});
}

auto read_state(const std::string& text) -> std::string
{
    const auto root = parse_object(text);
    return root ? text_of(*root, "state") : std::string();
}

} // namespace pimentoshunt::soak
