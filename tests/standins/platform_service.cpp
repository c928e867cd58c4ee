#include "platform_service.hpp"

#include "http_server.hpp"
#include "json_access.hpp"

#include <algorithm> // max
#include <chrono>    // duration_cast, seconds
#include <exception> // exception
#include <thread>    // sleep_for
#include <utility>   // move

namespace pimentoshunt::standins
{
namespace
{

constexpr std::size_t history_seconds = 600;
constexpr std::size_t default_scan_limit = 1000;

auto row_json(const platform::row& row) -> json::object
{
    return {{"key", row.key},
            {"value", row.value},
            {"version", row.version},
            {"write_id", row.write_id}};
}

auto conflict_json(const platform::row& row) -> json::object
{
    return {
        {"key", row.key}, {"version", row.version}, {"write_id", row.write_id}};
}

auto parse_operation(const json::object& object) -> platform::operation
{
    platform::operation operation;
    operation.key = text_of(object, "key");
    operation.expect = number_of(object, "expect", platform::expect_any);
    if (!flag_of(object, "delete"))
    {
        operation.value = text_of(object, "value");
    }
    return operation;
}

auto parse_transaction(const std::string& text) -> platform::transaction
{
    const auto document = json::parse(text);
    const auto& object = document.as_object();
    platform::transaction change;
    change.write_id = text_of(object, "write_id");
    for (const auto& operation : object.at("ops").as_array())
    {
        change.operations.push_back(parse_operation(operation.as_object()));
    }
    return change;
}

auto commit_json(const commit_result& answer) -> std::string
{
    if (answer.committed)
    {
        const json::array versions(answer.versions.begin(),
                                   answer.versions.end());
        return json::serialize(json::object{{"versions", versions}});
    }
    json::array conflicts;
    for (const auto& row : answer.conflicts)
    {
        conflicts.push_back(conflict_json(row));
    }
    return json::serialize(json::object{{"conflicts", conflicts}});
}

auto scan_limit(const httplib::Request& request) -> std::size_t
{
    if (!request.has_param("limit"))
    {
        return default_scan_limit;
    }
    return std::stoul(request.get_param_value("limit"));
}

auto parse_outage(const std::string& text) -> outage_mode
{
    if (text == "hang")
    {
        return outage_mode::hang;
    }
    return text == "refuse" ? outage_mode::refuse : outage_mode::none;
}

} // namespace

auto call_meter::count_read(time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    advance_to(now);
    ++m_total.reads;
    ++m_current.reads;
}

auto call_meter::count_write(time_point now) -> void
{
    const std::lock_guard lock(m_mutex);
    advance_to(now);
    ++m_total.writes;
    ++m_current.writes;
}

auto call_meter::count_conflict() -> void
{
    const std::lock_guard lock(m_mutex);
    ++m_conflicts;
}

auto call_meter::count_refused() -> void
{
    const std::lock_guard lock(m_mutex);
    ++m_refused;
}

auto call_meter::count_dropped_reply() -> void
{
    const std::lock_guard lock(m_mutex);
    ++m_dropped_replies;
}

auto call_meter::to_json(time_point now) -> std::string
{
    const std::lock_guard lock(m_mutex);
    advance_to(now);
    json::array seconds;
    for (const auto& counts : m_seconds)
    {
        seconds.push_back(
            json::object{{"reads", counts.reads}, {"writes", counts.writes}});
    }
    const auto last = m_seconds.empty() ? call_counts{} : m_seconds.back();
    return json::serialize(json::object{{"reads", m_total.reads},
                                        {"writes", m_total.writes},
                                        {"conflicts", m_conflicts},
                                        {"refused", m_refused},
                                        {"dropped_replies", m_dropped_replies},
                                        {"reads_last_second", last.reads},
                                        {"writes_last_second", last.writes},
                                        {"reads_peak", m_peak.reads},
                                        {"writes_peak", m_peak.writes},
                                        {"seconds", seconds}});
}

auto call_meter::advance_to(time_point now) -> void
{
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
            .count();
    if (m_second == 0)
    {
        m_second = second;
    }
    // After a long time without calls, only the seconds that the history can
    // hold are added.
    m_second = std::max(
        m_second, second - static_cast<std::int64_t>(history_seconds) - 1);
    while (m_second < second)
    {
        m_peak.reads = std::max(m_peak.reads, m_current.reads);
        m_peak.writes = std::max(m_peak.writes, m_current.writes);
        m_seconds.push_back(m_current);
        m_current = {};
        ++m_second;
        if (m_seconds.size() > history_seconds)
        {
            m_seconds.pop_front();
        }
    }
}

auto platform_service::install(httplib::Server& server) -> void
{
    server.set_exception_handler(
        [](const httplib::Request&, httplib::Response& response,
           const std::exception_ptr&)
        {
            answer_json(response, 400, R"({"error":"malformed request"})");
        });
    install_table(server);
    install_objects(server);
    install_control(server);
}

auto platform_service::install_table(httplib::Server& server) -> void
{
    server.Get(
        "/table",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            if (!apply_faults(response))
            {
                return;
            }
            m_meter.count_read(boot_clock::now());
            const auto rows = m_table.scan(request.get_param_value("prefix"),
                                           request.get_param_value("after"),
                                           scan_limit(request));
            json::array out;
            for (const auto& row : rows)
            {
                out.push_back(row_json(row));
            }
            answer_json(response, 200,
                        json::serialize(json::object{{"rows", out}}));
        });
    server.Get(
        "/table/(.+)",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            if (!apply_faults(response))
            {
                return;
            }
            m_meter.count_read(boot_clock::now());
            const auto row = m_table.read(request.matches[1]);
            if (!row.has_value())
            {
                answer_json(response, 404, "{}");
                return;
            }
            answer_json(response, 200, json::serialize(row_json(*row)));
        });
    server.Post(
        "/commit",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            commit(request, response);
        });
}

auto platform_service::install_objects(httplib::Server& server) -> void
{
    // A content reader gets the raw body; a handler without one has the
    // library parse bodies of some content types.
    server.Put("/objects/(.+)",
               [this](const httplib::Request& request,
                      httplib::Response& response,
                      const httplib::ContentReader& reader)
               {
                   std::string bytes;
                   reader(
                       [&](const char* data, std::size_t size)
                       {
                           bytes.append(data, size);
                           return true;
                       });
                   if (!apply_faults(response))
                   {
                       return;
                   }
                   m_meter.count_write(boot_clock::now());
                   m_objects.put(request.matches[1], std::move(bytes));
                   answer_json(response, 201, "{}");
               });
    server.Get(
        "/objects/(.+)",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            if (!apply_faults(response))
            {
                return;
            }
            m_meter.count_read(boot_clock::now());
            const auto bytes = m_objects.get(request.matches[1]);
            if (!bytes.has_value())
            {
                answer_json(response, 404, "{}");
                return;
            }
            response.set_content(*bytes, "application/octet-stream");
        });
    server.Get(
        "/instances",
        [this](const httplib::Request&, httplib::Response& response)
        {
            if (!apply_faults(response))
            {
                return;
            }
            const auto list = m_instances.published_entries(boot_clock::now());
            answer_json(response, 200,
                        json::serialize(json::object{{"instances", list}}));
        });
}

auto platform_service::install_control(httplib::Server& server) -> void
{
    server.Get("/control/stats",
               [this](const httplib::Request&, httplib::Response& response)
               {
                   answer_json(response, 200,
                               m_meter.to_json(boot_clock::now()));
               });
    server.Get("/control/instances",
               [this](const httplib::Request&, httplib::Response& response)
               {
                   const json::object list{
                       {"instances", m_instances.current_entries()}};
                   answer_json(response, 200, json::serialize(list));
               });
    server.Post(
        "/control/instances",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            const auto document = json::parse(request.body);
            const auto& entries =
                document.as_object().at("instances").as_array();
            if (request.get_param_value("mode") == "add")
            {
                m_instances.add(entries, boot_clock::now());
            }
            else
            {
                m_instances.replace(entries, boot_clock::now());
            }
            answer_json(response, 200, "{}");
        });
    server.Post(
        "/control/instances/state",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            const auto document = json::parse(request.body);
            const auto& object = document.as_object();
            const auto id = text_of(object, "id");
            const auto state = text_of(object, "state");
            const auto now = boot_clock::now();
            const auto found = state == "gone"
                                   ? m_instances.remove(id, now)
                                   : m_instances.set_state(id, state, now);
            answer_json(response, found ? 200 : 404, "{}");
        });
    server.Post(
        "/control/faults",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            set_faults(request, response);
        });
}

auto platform_service::apply_faults(httplib::Response& response) -> bool
{
    const auto latency = milliseconds(m_latency_ms.load());
    if (latency.count() > 0)
    {
        std::this_thread::sleep_for(latency);
    }
    std::unique_lock lock(m_mutex);
    if (m_outage == outage_mode::none)
    {
        return true;
    }
    m_outage_changed.wait(lock,
                          [this]
                          {
                              return m_outage != outage_mode::hang;
                          });
    m_meter.count_refused();
    answer_json(response, 503, R"({"error":"outage"})");
    return false;
}

auto platform_service::commit(const httplib::Request& request,
                              httplib::Response& response) -> void
{
    if (!apply_faults(response))
    {
        return;
    }
    m_meter.count_write(boot_clock::now());
    const auto answer = m_table.commit(parse_transaction(request.body));
    if (!answer.committed)
    {
        m_meter.count_conflict();
        answer_json(response, 409, commit_json(answer));
        return;
    }
    if (take_dropped_reply())
    {
        m_meter.count_dropped_reply();
        answer_truncated(response, commit_json(answer), 0);
        return;
    }
    answer_json(response, 200, commit_json(answer));
}

auto platform_service::set_faults(const httplib::Request& request,
                                  httplib::Response& response) -> void
{
    const auto document = json::parse(request.body);
    const auto& object = document.as_object();
    if (object.contains("outage"))
    {
        const std::lock_guard lock(m_mutex);
        m_outage = parse_outage(text_of(object, "outage"));
        m_outage_changed.notify_all();
    }
    m_latency_ms = number_of(object, "latency_ms", m_latency_ms);
    m_replies_to_drop = number_of(object, "drop_replies", m_replies_to_drop);
    if (object.contains("list_lag_ms"))
    {
        m_instances.set_lag(milliseconds(number_of(object, "list_lag_ms")));
    }
    if (object.contains("freeze_list"))
    {
        m_instances.set_frozen(flag_of(object, "freeze_list"),
                               boot_clock::now());
    }
    answer_json(response, 200, "{}");
}

auto platform_service::take_dropped_reply() -> bool
{
    auto left = m_replies_to_drop.load();
    while (left > 0)
    {
        if (m_replies_to_drop.compare_exchange_weak(left, left - 1))
        {
            return true;
        }
    }
    return false;
}

} // namespace pimentoshunt::standins
