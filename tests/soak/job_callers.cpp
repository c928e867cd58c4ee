#include "job_callers.hpp"

#include <httplib.h>

#include <utility> // move

namespace pimentoshunt::soak
{
namespace
{

constexpr milliseconds connect_timeout{500};
constexpr milliseconds read_timeout{2'500};
constexpr int max_request_attempts = 8;
constexpr double repeat_probability = 0.2;
constexpr double cancel_probability = 0.08;
constexpr double lookup_probability = 0.3;
constexpr double other_instance_probability = 0.3;
constexpr double give_up_probability = 0.4;
constexpr double cancel_unaccepted_probability = 0.5;

auto is_refusal(int status) -> bool
{
    return status == 429 || status == 503;
}

} // namespace

job_caller::job_caller(std::vector<int> ports, std::uint64_t seed,
                       milliseconds mean_interval)
    : m_ports(std::move(ports)), m_random(seed), m_mean_interval(mean_interval),
      m_preferred_instance(seed % m_ports.size())
{
    for (const int port : m_ports)
    {
        auto& client = m_clients.emplace_back(
            std::make_unique<httplib::Client>("127.0.0.1", port));
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(connect_timeout);
        client->set_read_timeout(read_timeout);
    }
    m_thread = std::thread(
        [this]
        {
            run();
        });
}

job_caller::~job_caller()
{
    m_stopping = true;
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

auto job_caller::settle() -> void
{
    m_settling = true;
}

auto job_caller::is_settled() const -> bool
{
    return m_settled;
}

auto job_caller::finish(std::map<std::string, job_record>& out) -> void
{
    m_stopping = true;
    m_thread.join();
    out.merge(m_jobs);
}

auto job_caller::run() -> void
{
    while (!m_stopping)
    {
        run_scheduled();
        if (m_settling && m_scheduled.empty())
        {
            look_up_unfinished();
        }
        else if (!m_settling)
        {
            auto job = new_job();
            auto& stored_job = m_jobs.emplace(job.id, job).first->second;
            submit(stored_job);
            schedule_follow_ups(stored_job);
        }
        const auto maximum = m_settling ? 100 : 2 * m_mean_interval.count();
        std::this_thread::sleep_for(milliseconds(random_number(0, maximum)));
    }
}

auto job_caller::run_scheduled() -> void
{
    while (!m_scheduled.empty() &&
           m_scheduled.begin()->first <= boot_clock::now())
    {
        const auto action = std::move(m_scheduled.begin()->second);
        m_scheduled.erase(m_scheduled.begin());
        action();
    }
}

auto job_caller::look_up_unfinished() -> void
{
    bool all = true;
    for (auto& [id, job] : m_jobs)
    {
        const bool must_end = job.accepted_at() && job.cancels.empty();
        const bool has_ended =
            !job.lookups.empty() && (job.lookups.back().state == "succeeded" ||
                                     job.lookups.back().state == "failed");
        if (must_end && !has_ended && !m_stopping)
        {
            all = look_up_state(job) && all;
        }
    }
    m_settled = all;
}

auto job_caller::schedule(milliseconds minimum, milliseconds maximum,
                          std::function<void()> action) -> void
{
    m_scheduled.emplace(
        boot_clock::now() +
            milliseconds(random_number(minimum.count(), maximum.count())),
        std::move(action));
}

auto job_caller::new_job() -> job_record
{
    job_record job;
    char id[17];
    std::snprintf(id, sizeof id, "%016lx",
                  static_cast<unsigned long>(m_random()));
    job.id = id;
    const bool needs_approval = random_bool(0.4);
    job.path = (needs_approval ? "/vetted/" : "/brief/") + job.id;
    const auto base = random_number(30, needs_approval ? 500 : 250);
    job.payload = "ms " + std::to_string(base) + ";queue " +
                  (needs_approval ? "vetted" : "brief");
    for (auto left = random_number(1, 3); left > 0; --left)
    {
        step_facts step;
        step.count = static_cast<std::uint32_t>(random_number(1, 3));
        step.need = {0, random_number(500, 2'500), random_number(200, 3'000),
                     0};
        step.estimate = milliseconds(base);
        job.payload += ";need " + std::to_string(step.need.millicpus) + " " +
                       std::to_string(step.need.memory_mb);
        job.steps.push_back(step);
    }
    return job;
}

auto job_caller::submit(job_record& job) -> void
{
    for (int i = 0; i < max_request_attempts && !m_stopping; ++i)
    {
        job.submissions.push_back(call("POST", job));
        const auto status = job.submissions.back().status;
        if (is_success(status) ||
            (is_refusal(status) && random_bool(give_up_probability)))
        {
            return;
        }
        m_preferred_instance = random_instance();
    }
}

auto job_caller::schedule_follow_ups(job_record& job) -> void
{
    const auto look_up = [this, &job]
    {
        look_up_state(job);
    };
    if (!job.accepted_at())
    {
        // Its submission may still take effect.
        if (random_bool(cancel_unaccepted_probability))
        {
            cancel(job);
        }
        return;
    }
    if (random_bool(repeat_probability))
    {
        schedule(milliseconds(50), milliseconds(4'000),
                 [this, &job]
                 {
                     job.submissions.push_back(call("POST", job));
                 });
    }
    if (random_bool(cancel_probability))
    {
        schedule(milliseconds(0), milliseconds(1'500),
                 [this, &job]
                 {
                     cancel(job);
                 });
    }
    if (random_bool(lookup_probability))
    {
        schedule(milliseconds(100), milliseconds(3'000), look_up);
    }
}

auto job_caller::cancel(job_record& job) -> void
{
    for (int i = 0; i < max_request_attempts && !m_stopping; ++i)
    {
        job.cancels.push_back(call("DELETE", job));
        if (is_success(job.cancels.back().status) ||
            job.cancels.back().status == 410)
        {
            return;
        }
    }
}

auto job_caller::look_up_state(job_record& job) -> bool
{
    job.lookups.push_back(call("GET", job));
    const auto& state = job.lookups.back().state;
    return state == "succeeded" || state == "failed";
}

auto job_caller::call(const std::string& method, const job_record& job)
    -> answer_record
{
    answer_record out;
    const auto at = choose_instance();
    out.instance = "cell-" + std::to_string(at);
    out.sent = boot_clock::now();
    httplib::Request request;
    request.method = method;
    request.path = job.path;
    request.headers = {{"Host", queue_host}, {"Deadline-Ms", "2400"}};
    if (method == "POST")
    {
        request.body = write_job(job.payload, job.steps);
        request.headers.emplace("Content-Type", "application/json");
    }
    const auto answer = m_clients[at]->send(request);
    out.at = boot_clock::now();
    out.status = answer ? answer->status : 0;
    out.state = answer ? read_state(answer->body) : "";
    if (!answer)
    {
        m_preferred_instance = random_instance();
    }
    return out;
}

auto job_caller::choose_instance() -> std::size_t
{
    return random_bool(other_instance_probability) ? random_instance()
                                                   : m_preferred_instance;
}

auto job_caller::random_instance() -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, m_ports.size() -
                                                             1)(m_random);
}

auto job_caller::random_number(std::int64_t minimum, std::int64_t maximum)
    -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t>(minimum,
                                                       maximum)(m_random);
}

auto job_caller::random_bool(double probability) -> bool
{
    return std::bernoulli_distribution(probability)(m_random);
}

} // namespace pimentoshunt::soak
