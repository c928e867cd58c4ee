/// @file
/// Job routes. Jobs are read from and written to the job store by the calling
/// thread; the control thread is then notified of the change.
#include <pimentoshunt/entry/job_routes.hpp>

#include <pimentoshunt/entry/json_response.hpp>
#include <pimentoshunt/jobs/job_record.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <future> // promise
#include <random> // random_device
#include <string> // string
#include <vector> // vector

namespace pimentoshunt::entry
{
namespace
{

namespace json = boost::json;

constexpr int created_status = 201;
constexpr int accepted_status = 202;
constexpr int not_found_status = 404;
/// Most jobs listed from each partition.
constexpr std::size_t list_limit = 100;

auto describe(const jobs::job_record& job) -> json::object
{
    return {{"id", job.spec.id.str()},
            {"workload", job.spec.workload.str()},
            {"workspace", job.spec.workspace.str()},
            {"state", to_string(job.progress.state)},
            {"tasks", job.spec.tasks},
            {"done", job.progress.done.size()},
            {"fault", to_string(job.progress.fault)},
            {"reason", job.progress.reason}};
}

auto generate_job_id() -> std::string
{
    std::random_device source;
    return "j" + std::to_string(source()) + "-" + std::to_string(source());
}

/// The job id from the caller's Idempotency-Key, so that the same key gives the
/// same job at every instance, or a generated id.
auto requested_job_id(const httplib::Request& request) -> job_id
{
    const auto key = request.get_header_value("Idempotency-Key");
    return job_id(key.empty() ? generate_job_id() : key);
}

auto spec_of(const plan::workload& workload, const job_id& id,
             const std::string& body) -> jobs::job_spec
{
    jobs::job_spec spec;
    spec.id = id;
    spec.workspace = workload.workspace;
    spec.workload = workload.name;
    spec.gang = workload.cls == plan::work_class::gang;
    spec.tasks = workload.tasks;
    spec.each = workload.each;
    spec.run_time = workload.run_time;
    spec.idempotent = workload.idempotent;
    spec.body = body;
    return spec;
}

auto capacities(control::control_loop& control) -> std::vector<resources>
{
    constexpr milliseconds limit{2'000};
    std::vector<resources> all;
    auto status_promise =
        std::make_shared<std::promise<control::cell_status>>();
    auto status_future = status_promise->get_future();
    control.post(control::status_requested{std::move(status_promise)});
    if (status_future.wait_for(limit) == std::future_status::ready)
    {
        for (const auto& worker : status_future.get().workers)
        {
            all.push_back(worker.capacity);
        }
    }
    return all;
}

/// Returns why a workload cannot be submitted as a job, or nothing.
auto find_submit_error(job_context& context, const workload_name& name,
                       const plan::workload* workload) -> std::optional<error>
{
    if (workload == nullptr)
    {
        return error{error_kind::job, 661, name.str(),
                     "the plan in force has no such workload",
                     "check the name against the plan"};
    }
    if (workload->cls == plan::work_class::service)
    {
        return error{error_kind::job, 662, name.str(),
                     "this workload is a service, not a job",
                     "send requests to /services/" + name.str()};
    }
    const auto known = capacities(context.control);
    const auto spec = spec_of(*workload, job_id("x"), "");
    if (!known.empty() && !jobs::can_fit(spec, known))
    {
        return error{error_kind::job, 663, name.str(),
                     "the registered workers are too small or too few for this "
                     "workload",
                     "reduce its resources or its number of tasks"};
    }
    return std::nullopt;
}

auto submit(job_context& context, const httplib::Request& request,
            httplib::Response& response) -> void
{
    const auto in_force = context.in_force.get();
    const workload_name name(request.matches[1].str());
    const auto* const workload = in_force->parsed.find(name);
    if (const auto fault = find_submit_error(context, name, workload))
    {
        write_error(response,
                    workload == nullptr ? not_found_status
                                        : unprocessable_status,
                    *fault);
        return;
    }
    const auto spec =
        spec_of(*workload, requested_job_id(request), request.body);
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(outcome, context.store.submit(spec));
            context.control.post(control::job_announced{spec.id, false});
            write_json(response, outcome.created ? created_status : ok_status,
                       describe({spec, {}}));
            return {};
        },
        [&](const error& fault)
        {
            const bool own = fault.kind == error_kind::job;
            write_error(response,
                        own ? unprocessable_status : unavailable_status, fault);
        },
        [&]
        {
            write_unknown_error(response);
        });
}

auto list(job_context& context, httplib::Response& response) -> void
{
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            json::array all;
            for (int partition = 0; partition < jobs::partition_count;
                 ++partition)
            {
                BOOST_LEAF_AUTO(
                    found, context.store.list(partition, job_id(), list_limit));
                for (const auto& job : found)
                {
                    all.push_back(describe(job));
                }
            }
            write_json(response, ok_status, {{"jobs", std::move(all)}});
            return {};
        },
        [&](const error& fault)
        {
            write_error(response, unavailable_status, fault);
        },
        [&]
        {
            write_unknown_error(response);
        });
}

/// Reads a job, applies @p change to it, and writes the job as it was read.
template<class Change>
auto write_job(job_context& context, const httplib::Request& request,
               httplib::Response& response, int status, Change change) -> void
{
    const job_id id(request.matches[1].str());
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(job, context.store.read(id));
            if (!job)
            {
                write_error(response, not_found_status,
                            {error_kind::job, 664, id.str(),
                             "no job has this id",
                             "list the jobs, or check the id"});
                return {};
            }
            BOOST_LEAF_CHECK(change(id));
            write_json(response, status, describe(*job));
            return {};
        },
        [&](const error& fault)
        {
            write_error(response, unavailable_status, fault);
        },
        [&]
        {
            write_unknown_error(response);
        });
}

} // namespace

auto add_job_routes(http_listener& listener, job_context& context) -> void
{
    auto& server = listener.server();
    server.Post(
        R"(/jobs/([^/]+))",
        [&context](const httplib::Request& request, httplib::Response& response)
        {
            submit(context, request, response);
        });
    server.Get("/jobs",
               [&context](const httplib::Request&, httplib::Response& response)
               {
                   list(context, response);
               });
    server.Get(
        R"(/jobs/([^/]+))",
        [&context](const httplib::Request& request, httplib::Response& response)
        {
            write_job(context, request, response, ok_status,
                      [](const job_id&) -> result<void>
                      {
                          return {};
                      });
        });
    server.Delete(
        R"(/jobs/([^/]+))",
        [&context](const httplib::Request& request, httplib::Response& response)
        {
            write_job(
                context, request, response, accepted_status,
                [&context](const job_id& id) -> result<void>
                {
                    BOOST_LEAF_CHECK(context.store.request_cancel(id));
                    context.control.post(control::job_announced{id, true});
                    return {};
                });
        });
}

} // namespace pimentoshunt::entry
