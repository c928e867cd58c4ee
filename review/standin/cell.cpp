#include "cell.hpp"

#include <boost/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{
namespace
{

namespace json = boost::json;

constexpr milliseconds request_timeout{3'000};
constexpr milliseconds start_limit{15'000};

} // namespace

cell::cell(std::string binary, record& seen)
    : m_binary(std::move(binary)), m_seen(seen), m_store(seen)
{
    char name[] = "/tmp/review-XXXXXX";
    m_folder = ::mkdtemp(name);
}

cell::~cell()
{
    for (const auto& item : m_instances)
    {
        if (item.pid > 0)
        {
            ::kill(item.pid, SIGCONT);
            ::kill(item.pid, SIGKILL);
            ::waitpid(item.pid, nullptr, 0);
        }
    }
    m_workers.clear();
    m_store.stop();
    const auto* keep = std::getenv("KEEP_LOGS");
    if (keep == nullptr)
    {
        std::filesystem::remove_all(m_folder);
    }
    else
    {
        std::printf("logs: %s\n", m_folder.c_str());
    }
}

auto cell::add_worker(const worker_facts& facts) -> worker&
{
    m_workers.push_back(std::make_unique<worker>(facts, m_store, m_seen));
    return *m_workers.back();
}

auto cell::start(const queue_facts& queue, int instances) -> bool
{
    m_queue = queue;
    if (!m_store.start())
    {
        return false;
    }
    const json::object configuration{
        {"version", 1},
        {"routes",
         {json::object{{"name", "plates"},
                       {"host", host},
                       {"pathPrefix", queue.path},
                       {"type", "unsafe"},
                       {"timeoutMs", 3'000},
                       {"targetDurationMs", 1'200},
                       {"priority", 0},
                       {"service", "press"},
                       {"maxAttempts", queue.most_attempts},
                       {"stretch", queue.stretch}}}},
        {"services",
         {json::object{{"name", "press"}, {"rejectsOverload", false}}}},
        {"limits", json::object{}}};
    m_store.put("op", "config", json::serialize(configuration));
    int number = 0;
    for (auto& item : m_workers)
    {
        if (!item->begin("i-" + std::to_string(++number)))
        {
            return false;
        }
    }
    for (int i = 0; i < instances; ++i)
    {
        instance_process item;
        item.name = "edge-" + std::to_string(i + 1);
        item.front = "127.0.0.1:" + std::to_string(free_port());
        item.ready = "127.0.0.1:" + std::to_string(free_port());
        item.peer = "127.0.0.1:" + std::to_string(free_port());
        item.settings = m_folder + "/" + item.name + ".json";
        const json::object settings{
            {"instance", item.name},
            {"data_centre",
             "zone-" + std::string(1, static_cast<char>('a' + i))},
            {"caller_address", item.front},
            {"status_address", item.ready},
            {"peer_address", item.peer},
            {"store_address", m_store.address()},
            {"processors", 0.25},
            {"longest_lease_ms", 6'000},
            {"stop_grace_s", 6},
            {"log_level", "info"}};
        std::ofstream(item.settings) << json::serialize(settings);
        m_instances.push_back(item);
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i)
    {
        if (!start_instance(i))
        {
            return false;
        }
    }
    const auto serves = [&](const instance_process& item)
    {
        const auto ready = http_call(item.ready, "GET", "/pimentoshunt/ready",
                                     host, "", milliseconds(500));
        const auto count = http_call(item.front, "GET", m_queue.path, host, "",
                                     milliseconds(500));
        return ready && ready->status == 200 && count && count->status == 200;
    };
    return wait_until(start_limit,
                      [&]
                      {
                          return std::all_of(m_instances.begin(),
                                             m_instances.end(), serves);
                      });
}

auto cell::start_instance(std::size_t number) -> bool
{
    auto& item = m_instances.at(number);
    const auto flag = "--settings=" + item.settings;
    const auto log = m_folder + "/" + item.name + ".log";
    const pid_t child = ::fork();
    if (child == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl(m_binary.c_str(), m_binary.c_str(), "cell", flag.c_str(),
                nullptr);
        ::_exit(127);
    }
    item.pid = child;
    return child > 0;
}

auto cell::signal_instance(std::size_t number, int signal) -> void
{
    auto& item = m_instances.at(number);
    ::kill(item.pid, signal);
    if (signal == SIGKILL)
    {
        ::waitpid(item.pid, nullptr, 0);
        item.pid = -1;
    }
}

auto cell::submit(const std::string& id, const std::string& body) -> bool
{
    constexpr int most_tries = 5;
    for (int i = 0; i < most_tries; ++i)
    {
        const auto& at = m_instances[m_turn++ % m_instances.size()];
        m_seen.add("submit", at.name, id, 0, "");
        const auto answer = http_call(at.front, "POST", m_queue.path + id, host,
                                      body, request_timeout);
        m_seen.add("answer", at.name, id, 0,
                   answer ? std::to_string(answer->status) : "none");
        if (answer && answer->status / 100 == 2)
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(300));
    }
    return false;
}

auto cell::state(const std::string& id) -> std::string
{
    const auto& at = m_instances[m_turn++ % m_instances.size()];
    const auto answer = http_call(at.front, "GET", m_queue.path + id, host, "",
                                  request_timeout);
    std::string out;
    if (answer && answer->status == 200)
    {
        json::error_code fault;
        const auto parsed = json::parse(answer->body, fault);
        if (!fault && parsed.is_object())
        {
            if (const auto* state = parsed.as_object().if_contains("state"))
            {
                out = std::string(state->as_string());
            }
        }
    }
    m_seen.add("state", at.name, id, 0,
               out.empty() ? (answer ? std::to_string(answer->status) : "none")
                           : out);
    return out;
}

} // namespace review
