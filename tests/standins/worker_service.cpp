#include "worker_service.hpp"

#include "http_server.hpp"
#include "json_access.hpp"

#include <exception>  // exception_ptr
#include <functional> // function
#include <optional>   // optional
#include <sstream>    // istringstream
#include <stop_token> // stop_token
#include <utility>    // move

namespace pimentoshunt::standins
{
namespace
{

/// Interval at which the expiry thread looks for tasks to end; a task may end
/// this much later than its run time or lease.
constexpr milliseconds expiry_check_interval{2};

using worker_call = std::function<void(worker_model&, const httplib::Request&,
                                       httplib::Response&)>;

auto parse_resources(const std::string& text) -> resources
{
    json::object amounts;
    std::istringstream in(text);
    std::string part;
    while (std::getline(in, part, ','))
    {
        const auto equals = part.find('=');
        if (equals != std::string::npos)
        {
            amounts[part.substr(0, equals)] =
                std::stoll(part.substr(equals + 1));
        }
    }
    return resources_of(amounts);
}

auto parse_epoch(const std::string& text) -> worker::epoch_number
{
    return text.empty() ? 0 : std::stoull(text);
}

auto parse_request_start(const httplib::Request& request) -> start_request
{
    start_request start;
    start.attempt = request.get_header_value("Pimentoshunt-Attempt");
    start.epoch = parse_epoch(request.get_header_value("Pimentoshunt-Epoch"));
    start.workload = request.get_header_value("Pimentoshunt-Workload");
    start.each =
        parse_resources(request.get_header_value("Pimentoshunt-Resources"));
    start.request_id = request.get_header_value("X-Request-Id");
    start.idempotency_key = request.get_header_value("Idempotency-Key");
    return start;
}

/// The exit status that the body of a task asks for, as in {"exit":1}; 0 if the
/// body is no such JSON object.
auto parse_exit_status(const std::string& body) -> std::int64_t
{
    boost::system::error_code ignored;
    const auto value = json::parse(body, ignored);
    return !ignored && value.is_object() ? number_of(value.get_object(), "exit")
                                         : 0;
}

auto parse_task_start(const std::string& text) -> start_request
{
    const auto document = json::parse(text);
    const auto& object = document.as_object();
    start_request start;
    start.attempt = text_of(object, "attempt");
    start.workload = text_of(object, "workload");
    start.job = text_of(object, "job");
    start.task = number_of(object, "task");
    start.epoch = static_cast<worker::epoch_number>(number_of(object, "epoch"));
    start.partition = text_of(object, "partition");
    start.partition_epoch =
        static_cast<worker::epoch_number>(number_of(object, "partition_epoch"));
    start.each = resources_in(object, "resources");
    start.lease = milliseconds(number_of(object, "lease_ms"));
    start.run_time = milliseconds(number_of(object, "run_ms"));
    start.exit = parse_exit_status(text_of(object, "body"));
    return start;
}

auto number_param(const httplib::Request& request, const char* name,
                  std::int64_t fallback) -> std::int64_t
{
    if (!request.has_param(name))
    {
        return fallback;
    }
    return std::stoll(request.get_param_value(name));
}

auto answer_refused(httplib::Response& response, refusal_reason refusal) -> void
{
    response.set_header("Pimentoshunt-Refused", to_string(refusal));
    answer_json(response, 409,
                json::serialize(json::object{{"refused", to_string(refusal)}}));
}

/// Returns the body as it was sent. The library would parse a multipart body,
/// which fails with a content reader of this kind, and would decompress an
/// encoded body. The Content-Type and Content-Encoding headers are therefore
/// removed before reading.
auto read_body(const httplib::Request& request,
               const httplib::ContentReader& reader) -> std::string
{
    // The const_cast is safe: the library's request object is not const.
    auto& headers = const_cast<httplib::Request&>(request).headers;
    headers.erase("Content-Type");
    headers.erase("Content-Encoding");
    std::string body;
    reader(
        [&](const char* data, std::size_t size)
        {
            body.append(data, size);
            return true;
        });
    return body;
}

auto renew_leases(worker_model& worker, const httplib::Request& request,
                  httplib::Response& response) -> void
{
    const auto document = json::parse(request.body);
    const auto& object = document.as_object();
    std::vector<std::string> attempts;
    for (const auto& attempt : object.at("attempts").as_array())
    {
        attempts.emplace_back(attempt.as_string().c_str());
    }
    const auto lease = milliseconds(number_of(object, "lease_ms"));
    const auto not_running = worker.renew(attempts, lease, boot_clock::now());
    const json::array gone(not_running.begin(), not_running.end());
    answer_json(response, 200, json::serialize(json::object{{"lapsed", gone}}));
}

auto fence(worker_model& worker, const httplib::Request& request,
           httplib::Response& response) -> void
{
    const auto document = json::parse(request.body);
    const auto& object = document.as_object();
    const auto epoch =
        static_cast<worker::epoch_number>(number_of(object, "epoch"));
    const auto accepted =
        worker.fence(epoch, text_of(object, "holder"), boot_clock::now());
    answer_json(response, accepted ? 200 : 409,
                json::serialize(worker.make_state_report()));
}

auto fence_partition(worker_model& worker, const httplib::Request& request,
                     httplib::Response& response) -> void
{
    const auto document = json::parse(request.body);
    const auto& object = document.as_object();
    const auto partition = text_of(object, "partition");
    const auto epoch =
        static_cast<worker::epoch_number>(number_of(object, "epoch"));
    const auto accepted =
        worker.fence_partition(partition, epoch, boot_clock::now());
    answer_json(response, accepted ? 200 : 409,
                json::serialize(worker.make_state_report(partition)));
}

auto parse_faults(const json::object& object, worker_faults faults)
    -> worker_faults
{
    faults.leaving = flag_of(object, "leaving", faults.leaving);
    faults.refuse_when_leaving =
        flag_of(object, "refuse_when_leaving", faults.refuse_when_leaving);
    faults.fail = flag_of(object, "fail", faults.fail);
    faults.hang = flag_of(object, "hang", faults.hang);
    faults.added_run_time = milliseconds(
        number_of(object, "slow_ms", faults.added_run_time.count()));
    return faults;
}

auto instance_entry(const worker_config& config) -> json::object
{
    return {{"id", config.id},
            {"kind", "worker"},
            {"base_url", config.base_url},
            {"data_centre", config.data_centre},
            {"rack", config.rack},
            {"state", "live"},
            {"connections", config.connections},
            {"resources", to_json(config.capacity)}};
}

} // namespace

worker_service::worker_service(const std::vector<worker_config>& configs,
                               const std::string& record_file)
    : m_record(record_file)
{
    for (const auto& config : configs)
    {
        m_workers.push_back(std::make_unique<worker_model>(config, m_record));
    }
    m_expiry_thread = std::jthread(
        [this](const std::stop_token& stopping)
        {
            while (!stopping.stop_requested())
            {
                for (const auto& worker : m_workers)
                {
                    worker->expire(boot_clock::now());
                }
                std::this_thread::sleep_for(expiry_check_interval);
            }
        });
}

auto worker_service::install(httplib::Server& server) -> void
{
    server.set_exception_handler(
        [](const httplib::Request&, httplib::Response& response,
           const std::exception_ptr&)
        {
            answer_json(response, 400, R"({"error":"malformed request"})");
        });
    install_worker_calls(server);
    install_attempt_calls(server);
    install_control(server);
}

auto worker_service::instance_list_json() const -> std::string
{
    json::array entries;
    for (const auto& worker : m_workers)
    {
        entries.push_back(instance_entry(worker->config()));
    }
    return json::serialize(json::object{{"instances", entries}});
}

auto worker_service::install_worker_calls(httplib::Server& server) -> void
{
    const auto without_body =
        [this](const httplib::Request& request, httplib::Response& response)
    {
        run(request, response, request.body);
    };
    // A content reader gets the raw body; a handler without one has the
    // library parse bodies of some content types.
    const auto with_body = [this](const httplib::Request& request,
                                  httplib::Response& response,
                                  const httplib::ContentReader& reader)
    {
        const auto type = request.get_header_value("Content-Type");
        response.set_header("X-Standin-Content-Type", type);
        run(request, response, read_body(request, reader));
    };
    const std::string path = R"(/w/(\d+)/run(?:/.*)?)";
    server.Get(path, without_body);
    server.Options(path, without_body);
    server.Post(path, with_body);
    server.Put(path, with_body);
    server.Patch(path, with_body);
    server.Delete(path, with_body);

    const auto post = [&](const std::string& name, worker_call call)
    {
        server.Post(
            R"(/w/(\d+)/)" + name,
            [this, call = std::move(call)](const httplib::Request& request,
                                           httplib::Response& response)
            {
                auto& worker = find_worker(request);
                worker.wait_while_hanging();
                call(worker, request, response);
            });
    };
    post("fence", fence);
    post("partition-fence", fence_partition);
    post("leases", renew_leases);
    post("tasks",
         [this](worker_model& worker, const httplib::Request& request,
                httplib::Response& response)
         {
             start_task(worker, request, response);
         });
    server.Get(
        R"(/w/(\d+)/state)",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            auto& worker = find_worker(request);
            worker.wait_while_hanging();
            answer_json(response, 200,
                        json::serialize(worker.make_state_report()));
        });
}

auto worker_service::install_attempt_calls(httplib::Server& server) -> void
{
    server.Post(
        R"(/w/(\d+)/attempts/([^/]+)/(revoke|stop|checkpoint|throttle))",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            auto& worker = find_worker(request);
            worker.wait_while_hanging();
            const std::string attempt = request.matches[2];
            const std::string verb = request.matches[3];
            const auto now = boot_clock::now();
            if (verb == "throttle")
            {
                const auto document = json::parse(request.body);
                const auto percent =
                    number_of(document.as_object(), "percent", 100);
                const auto runs = worker.throttle(attempt, percent, now);
                answer_json(response, runs ? 200 : 404, "{}");
                return;
            }
            if (verb == "revoke")
            {
                answer_json(
                    response, 200,
                    json::serialize(to_json(worker.revoke(attempt, now))));
                return;
            }
            const auto end_kind = verb == "checkpoint" ? event_kind::checkpoint
                                                       : event_kind::stop;
            answer_json(
                response, 200,
                json::serialize(to_json(worker.stop(attempt, end_kind, now))));
        });
}

auto worker_service::install_control(httplib::Server& server) -> void
{
    server.Get("/record",
               [this](const httplib::Request&, httplib::Response& response)
               {
                   response.set_content(m_record.json_lines(),
                                        "application/x-ndjson");
               });
    server.Delete("/record",
                  [this](const httplib::Request&, httplib::Response& response)
                  {
                      m_record.clear();
                      answer_json(response, 200, "{}");
                  });
    server.Get("/record/violations",
               [this](const httplib::Request&, httplib::Response& response)
               {
                   answer_json(response, 200, m_record.violations_json());
               });
    server.Post(
        "/control/faults",
        [this](const httplib::Request& request, httplib::Response& response)
        {
            set_faults(request, response);
        });
}

auto worker_service::find_worker(const httplib::Request& request)
    -> worker_model&
{
    return *m_workers.at(std::stoul(request.matches[1]));
}

auto worker_service::run(const httplib::Request& request,
                         httplib::Response& response, const std::string& body)
    -> void
{
    auto& worker = find_worker(request);
    worker.wait_while_hanging();
    const auto start = parse_request_start(request);
    response.set_header("Pimentoshunt-Attempt", start.attempt);
    const auto refusal = worker.start(start, boot_clock::now());
    if (refusal != refusal_reason::none)
    {
        answer_refused(response, refusal);
        return;
    }
    answer_run(worker, request, response, body);
}

auto worker_service::answer_run(worker_model& worker,
                                const httplib::Request& request,
                                httplib::Response& response,
                                const std::string& body) -> void
{
    const auto attempt = request.get_header_value("Pimentoshunt-Attempt");
    const auto failing = worker.faults().fail;
    const auto run =
        milliseconds(failing ? 0 : number_param(request, "run_ms", 0));
    const auto stopped = worker.wait_run_time(attempt, run);
    const auto requested_status = number_param(request, "status", 200);
    const auto status = failing || stopped ? 500 : requested_status;
    response.set_header("X-Standin-Worker", worker.config().id);
    worker.finish_request(attempt, status, boot_clock::now());
    response.status = static_cast<int>(status);
    if (stopped || failing)
    {
        return;
    }
    if (request.get_param_value("fail_mode") == "close_mid_body")
    {
        answer_truncated(response, body, body.size() / 2);
        return;
    }
    response.set_content(body, "application/octet-stream");
}

auto worker_service::start_task(worker_model& worker,
                                const httplib::Request& request,
                                httplib::Response& response) -> void
{
    const auto refusal =
        worker.start(parse_task_start(request.body), boot_clock::now());
    if (refusal != refusal_reason::none)
    {
        answer_refused(response, refusal);
        return;
    }
    answer_json(response, 201, "{}");
}

auto worker_service::set_faults(const httplib::Request& request,
                                httplib::Response& response) -> void
{
    const auto document = json::parse(request.body);
    const auto& object = document.as_object();
    const auto now = boot_clock::now();
    // Without the member "worker", the faults are set for all workers of the
    // process.
    const auto selected_worker = number_of(object, "worker", -1);
    std::int64_t number = 0;
    for (const auto& worker : m_workers)
    {
        if (selected_worker < 0 || selected_worker == number)
        {
            worker->set_faults(parse_faults(object, worker->faults()), now);
        }
        ++number;
    }
    answer_json(response, 200, "{}");
}

} // namespace pimentoshunt::standins
