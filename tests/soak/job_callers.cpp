#include "job_callers.hpp"

#include <httplib.h>

#include <utility> // move

namespace pimentoshunt::soak
{
namespace
{

constexpr milliseconds connect_limit{500};
constexpr milliseconds answer_limit{2'500};
constexpr int most_tries = 8;
constexpr double repeated_share = 0.2;
constexpr double cancelled_share = 0.08;
constexpr double looked_up_share = 0.3;
constexpr double away_share = 0.3;
constexpr double giving_up_share = 0.4;

auto is_success(int status) -> bool
{
    return status >= 200 && status < 300;
}

auto is_refusal(int status) -> bool
{
    return status == 429 || status == 503;
}

} // namespace

job_caller::job_caller(std::vector<int> ports, std::uint64_t seed,
                       milliseconds pause)
    : m_ports(std::move(ports)), m_random(seed), m_pause(pause),
      m_home(seed % m_ports.size())
{
    for (const int port : m_ports)
    {
        auto& client = m_clients.emplace_back(
            std::make_unique<httplib::Client>("127.0.0.1", port));
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(connect_limit);
        client->set_read_timeout(answer_limit);
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

auto job_caller::settled() const -> bool
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
        run_due();
        if (m_settling && m_due.empty())
        {
            settle_round();
        }
        else if (!m_settling)
        {
            auto job = new_job();
            auto& kept = m_jobs.emplace(job.id, job).first->second;
            submit(kept);
            plan_rest(kept);
        }
        const auto most = m_settling ? 100 : 2 * m_pause.count();
        std::this_thread::sleep_for(milliseconds(number(0, most)));
    }
}

auto job_caller::run_due() -> void
{
    while (!m_due.empty() && m_due.begin()->first <= boot_clock::now())
    {
        const auto what = std::move(m_due.begin()->second);
        m_due.erase(m_due.begin());
        what();
    }
}

auto job_caller::settle_round() -> void
{
    bool all = true;
    for (auto& [id, job] : m_jobs)
    {
        const bool owed = job.accepted_at() && job.cancels.empty();
        const bool over =
            !job.looks.empty() && (job.looks.back().state == "succeeded" ||
                                   job.looks.back().state == "failed");
        if (owed && !over && !m_stopping)
        {
            all = look(job) && all;
        }
    }
    m_settled = all;
}

auto job_caller::later(milliseconds least, milliseconds most,
                       std::function<void()> what) -> void
{
    m_due.emplace(boot_clock::now() +
                      milliseconds(number(least.count(), most.count())),
                  std::move(what));
}

auto job_caller::new_job() -> job_record
{
    job_record job;
    char id[17];
    std::snprintf(id, sizeof id, "%016lx",
                  static_cast<unsigned long>(m_random()));
    job.id = id;
    const bool vetted = happens(0.4);
    job.path = (vetted ? "/vetted/" : "/brief/") + job.id;
    const auto base = number(30, vetted ? 500 : 250);
    job.payload = "ms " + std::to_string(base) + ";queue " +
                  (vetted ? "vetted" : "brief");
    for (auto left = number(1, 3); left > 0; --left)
    {
        step_facts step;
        step.count = static_cast<std::uint32_t>(number(1, 3));
        step.need = {0, number(500, 2'500), number(200, 3'000), 0};
        step.estimate = milliseconds(base);
        job.payload += ";need " + std::to_string(step.need.millicpus) + " " +
                       std::to_string(step.need.memory_mb);
        job.steps.push_back(step);
    }
    return job;
}

auto job_caller::submit(job_record& job) -> void
{
    for (int i = 0; i < most_tries && !m_stopping; ++i)
    {
        job.submissions.push_back(call("POST", job));
        const auto status = job.submissions.back().status;
        if (is_success(status) ||
            (is_refusal(status) && happens(giving_up_share)))
        {
            return;
        }
        m_home = any();
    }
}

auto job_caller::plan_rest(job_record& job) -> void
{
    const auto look_up = [this, &job]
    {
        look(job);
    };
    if (!job.accepted_at())
    {
        return;
    }
    if (happens(repeated_share))
    {
        later(milliseconds(50), milliseconds(4'000),
              [this, &job]
              {
                  job.submissions.push_back(call("POST", job));
              });
    }
    if (happens(cancelled_share))
    {
        later(milliseconds(0), milliseconds(1'500),
              [this, &job]
              {
                  cancel(job);
              });
    }
    if (happens(looked_up_share))
    {
        later(milliseconds(100), milliseconds(3'000), look_up);
    }
}

auto job_caller::cancel(job_record& job) -> void
{
    for (int i = 0; i < most_tries && !m_stopping; ++i)
    {
        job.cancels.push_back(call("DELETE", job));
        if (is_success(job.cancels.back().status) ||
            job.cancels.back().status == 410)
        {
            return;
        }
    }
}

auto job_caller::look(job_record& job) -> bool
{
    job.looks.push_back(call("GET", job));
    const auto& state = job.looks.back().state;
    return state == "succeeded" || state == "failed";
}

auto job_caller::call(const std::string& method, const job_record& job)
    -> answer_record
{
    answer_record out;
    const auto at = choose();
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
        m_home = any();
    }
    return out;
}

auto job_caller::choose() -> std::size_t
{
    return happens(away_share) ? any() : m_home;
}

auto job_caller::any() -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, m_ports.size() -
                                                             1)(m_random);
}

auto job_caller::number(std::int64_t least, std::int64_t most) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(m_random);
}

auto job_caller::happens(double share) -> bool
{
    return std::bernoulli_distribution(share)(m_random);
}

} // namespace pimentoshunt::soak
