/// @file
/// Operators' routes. Status comes from a snapshot that the control thread
/// prepares on request; plans and drained workers are written to the platform.
#include <pimentoshunt/entry/operator_server.hpp>

#include <pimentoshunt/entry/json_response.hpp>
#include <pimentoshunt/plan/diff.hpp>
#include <pimentoshunt/plan/parse.hpp>
#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv> // from_chars
#include <future>   // promise
#include <memory>   // make_shared

namespace pimentoshunt::entry
{
namespace
{

namespace json = boost::json;

constexpr int accepted_status = 202;
constexpr int bad_request_status = 400;
constexpr int conflict_status = 409;
/// How long the control thread may take to report its status.
constexpr milliseconds status_timeout{2'000};

auto query_status(operator_context& context)
    -> std::optional<control::cell_status>
{
    auto status_promise =
        std::make_shared<std::promise<control::cell_status>>();
    auto status_future = status_promise->get_future();
    context.control.post(control::status_requested{std::move(status_promise)});
    if (status_future.wait_for(status_timeout) != std::future_status::ready)
    {
        return std::nullopt;
    }
    return status_future.get();
}

auto write_control_timeout(httplib::Response& response) -> void
{
    write_json(response, unavailable_status,
               {{"error", "the control thread does not respond"},
                {"remedy", "ask another instance, and check the logs"}});
}

auto instances_json(const control::cell_status& status) -> json::array
{
    json::array list;
    for (const auto& item : status.instances)
    {
        list.push_back(
            json::object{{"id", item.id.str()},
                         {"data_centre", item.data_centre.str()},
                         {"state", item.alive ? to_string(item.state) : "dead"},
                         {"age_ms", item.silent.count()},
                         {"workers_held", item.workers_held},
                         {"revision", item.plan_revision}});
    }
    return list;
}

auto workers_json(const control::cell_status& status) -> json::array
{
    json::array list;
    for (const auto& item : status.workers)
    {
        const char* const state = !item.held             ? "elsewhere"
                                  : item.open_for_grants ? "open"
                                                         : "closed";
        list.push_back(json::object{
            {"id", item.id.str()},
            {"state", state},
            {"owner", item.held ? status.instance.str() : std::string()},
            {"free", platform::detail::to_json(item.free)},
            {"capacity", platform::detail::to_json(item.capacity)},
            {"holdings", item.reservations}});
    }
    return list;
}

auto queues_json(const operator_context& context,
                 const control::cell_status& status) -> json::array
{
    constexpr double half = 0.5;
    constexpr double nearly_all = 0.99;
    json::array list;
    for (const auto& item : status.queues)
    {
        const metrics::label_set wanted{
            item.workspace.str(), item.cls, item.workload.str(), {}};
        const auto waited = [&](double p)
        {
            return context.meters
                .time_quantile(metrics::measure::waiting, wanted, p)
                .count();
        };
        list.push_back(json::object{{"workload", item.workload.str()},
                                    {"workspace", item.workspace.str()},
                                    {"class", item.cls},
                                    {"length", item.length},
                                    {"wait_p50_ms", waited(half)},
                                    {"wait_p99_ms", waited(nearly_all)}});
    }
    return list;
}

auto plan_json(const control::cell_status& status) -> json::object
{
    json::object body{{"revision", status.plan_revision},
                      {"confirmed_ms_ago", status.plan_confirmed.count()}};
    return body;
}

auto get_status(operator_context& context, httplib::Response& response) -> void
{
    const auto status = query_status(context);
    if (!status)
    {
        write_control_timeout(response);
        return;
    }
    write_json(response, ok_status,
               {{"instance", status->instance.str()},
                {"state", to_string(status->state)},
                {"plan", plan_json(*status)},
                {"instances", instances_json(*status)},
                {"workers", workers_json(*status)},
                {"queues", queues_json(context, *status)}});
}

auto get_plan(operator_context& context, httplib::Response& response) -> void
{
    const auto status = query_status(context);
    if (!status)
    {
        write_control_timeout(response);
        return;
    }
    const auto in_force = context.in_force.get();
    json::object body{{"revision", in_force->revision},
                      {"text", in_force->text},
                      {"confirmed_ms_ago", status->plan_confirmed.count()},
                      {"instances", instances_json(*status)}};
    if (in_force->revision != 0)
    {
        const auto since = std::chrono::duration_cast<milliseconds>(
            boot_clock::now() - context.in_force.since());
        body["since_ms"] = since.count();
    }
    write_json(response, ok_status, body);
}

auto read_revision(const httplib::Request& request, std::uint64_t& revision)
    -> bool
{
    const auto text = request.get_param_value("revision");
    const auto* const last = text.data() + text.size();
    const auto read = std::from_chars(text.data(), last, revision);
    return !text.empty() && read.ec == std::errc{} && read.ptr == last;
}

auto faults_json(const std::vector<plan::plan_fault>& faults) -> json::array
{
    json::array list;
    for (const auto& item : faults)
    {
        list.push_back(json::object{{"pointer", item.pointer},
                                    {"line", item.line},
                                    {"message", item.message},
                                    {"remedy", item.remedy}});
    }
    return list;
}

auto worker_capacities(operator_context& context) -> std::vector<resources>
{
    std::vector<resources> capacities;
    if (const auto status = query_status(context))
    {
        for (const auto& item : status->workers)
        {
            capacities.push_back(item.capacity);
        }
    }
    return capacities;
}

/// The text of a revision, or of the newest without one; nothing when it cannot
/// be read.
auto text_of(operator_context& context, std::optional<std::uint64_t> revision)
    -> std::optional<std::string>
{
    return handle(
        [&]() -> result<std::optional<std::string>>
        {
            BOOST_LEAF_AUTO(stored, revision ? context.plans.read(*revision)
                                             : context.plans.read());
            return stored ? std::optional<std::string>(std::move(stored->text))
                          : std::nullopt;
        },
        [](const error&)
        {
            return std::optional<std::string>();
        });
}

auto changes_since(operator_context& context, std::uint64_t read) -> json::array
{
    json::array list;
    // Revision 0 is the empty plan, which is not stored.
    const auto before =
        read == 0 ? std::optional<std::string>("") : text_of(context, read);
    const auto after = text_of(context, std::nullopt);
    if (before && after)
    {
        for (const auto& item : plan::diff(*before, *after))
        {
            list.emplace_back(plan::to_string(item));
        }
    }
    return list;
}

/// Responds to a plan based on an outdated revision with the changes made since
/// by another operator.
auto write_stale_revision(operator_context& context,
                          httplib::Response& response, std::uint64_t read,
                          const error& fault) -> void
{
    const auto current = handle(
        [&]() -> result<std::uint64_t>
        {
            return context.plans.read_revision();
        },
        [&](const error&)
        {
            return context.in_force.get()->revision;
        });
    write_json(response, conflict_status,
               {{"error", fault.message()},
                {"remedy", fault.remedy},
                {"read", read},
                {"current", current},
                {"changes", changes_since(context, read)}});
}

auto publish(operator_context& context, std::uint64_t revision,
             const std::string& text, time_point asked_at) -> void
{
    auto accepted = std::make_shared<plan::revisioned_plan>();
    accepted->revision = revision;
    accepted->text = text;
    accepted->parsed = handle(
        [&]() -> result<plan::document>
        {
            return plan::parse(text);
        },
        [](const error&)
        {
            return plan::document();
        });
    context.control.post(control::plan_accepted{std::move(accepted), asked_at});
}

auto put_plan(operator_context& context, const httplib::Request& request,
              httplib::Response& response) -> void
{
    std::uint64_t based_on = 0;
    if (!read_revision(request, based_on))
    {
        write_json(
            response, bad_request_status,
            {{"error", "the query has no valid revision"},
             {"remedy", "add ?revision=N, with the revision that GET /plan "
                        "returned"}});
        return;
    }
    const auto faults = plan::check(request.body, worker_capacities(context));
    if (!faults.empty())
    {
        write_json(response, unprocessable_status,
                   {{"faults", faults_json(faults)}});
        return;
    }
    const auto asked_at = boot_clock::now();
    const plan::plan_submission submission{
        request.body, based_on,
        request.get_header_value("Pimentoshunt-Operator")};
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(revision, context.plans.submit(submission));
            publish(context, revision, request.body, asked_at);
            write_json(response, ok_status, {{"revision", revision}});
            return {};
        },
        [&](const error& fault)
        {
            if (fault.id == plan::stale_revision)
            {
                write_stale_revision(context, response, based_on, fault);
                return;
            }
            write_error(response, unavailable_status, fault);
        },
        [&]
        {
            write_error(response, unavailable_status,
                        {error_kind::plan, plan::submission_outcome_unknown, "",
                         "the outcome of the submission is unknown",
                         "read the plan and submit it again if needed"});
        });
}

auto drain_worker(operator_context& context, const std::string& worker,
                  httplib::Response& response) -> void
{
    const platform::transaction change{
        "drain-" + worker + "-" +
            std::to_string(boot_clock::now().time_since_epoch().count()),
        {{drained_prefix + worker, platform::expect_any, "drained"}}};
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            BOOST_LEAF_CHECK(context.store.commit(change));
            write_json(response, accepted_status, {{"draining", worker}});
            return {};
        },
        [&](const error& fault)
        {
            write_error(response, unavailable_status, fault);
        },
        [&]
        {
            write_error(response, unavailable_status,
                        {error_kind::platform, 301, "",
                         "the platform's table failed",
                         "send the request again"});
        });
}

auto post_drain(operator_context& context, const httplib::Request& request,
                httplib::Response& response) -> void
{
    if (request.has_param("worker"))
    {
        drain_worker(context, request.get_param_value("worker"), response);
        return;
    }
    const auto status = query_status(context);
    if (request.has_param("instance") && status &&
        request.get_param_value("instance") == status->instance.str())
    {
        context.drain_self();
        write_json(response, accepted_status,
                   {{"draining", status->instance.str()}});
        return;
    }
    write_json(response, bad_request_status,
               {{"error", "the query names neither a worker nor this instance"},
                {"remedy", "add ?worker=ID, or send ?instance=ID to that "
                           "instance itself"}});
}

} // namespace

auto add_operator_routes(http_listener& listener, operator_context& context)
    -> void
{
    auto& server = listener.server();
    server.Get("/status",
               [&context](const httplib::Request&, httplib::Response& response)
               {
                   get_status(context, response);
               });
    server.Get("/plan",
               [&context](const httplib::Request&, httplib::Response& response)
               {
                   get_plan(context, response);
               });
    server.Put(
        "/plan",
        [&context](const httplib::Request& request, httplib::Response& response)
        {
            put_plan(context, request, response);
        });
    server.Post(
        "/drain",
        [&context](const httplib::Request& request, httplib::Response& response)
        {
            post_drain(context, request, response);
        });
    server.Get("/metrics",
               [&context](const httplib::Request&, httplib::Response& response)
               {
                   response.set_content(context.metrics(), "text/plain");
               });
    server.Get("/healthz",
               [](const httplib::Request&, httplib::Response& response)
               {
                   response.set_content("ok\n", "text/plain");
               });
    server.Get("/ready",
               [&context](const httplib::Request&, httplib::Response& response)
               {
                   const bool ready = context.control.ready();
                   response.status = ready ? ok_status : unavailable_status;
                   response.set_content(ready ? "ready\n" : "not ready\n",
                                        "text/plain");
               });
}

} // namespace pimentoshunt::entry
