#include "worker.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace review
{
namespace
{

namespace json = boost::json;

constexpr milliseconds heartbeat{1'500};
constexpr milliseconds step{2};
constexpr std::size_t most_ends = 500;
/// A task that lasts is at work after this time.
constexpr milliseconds startup{200};

auto text_of(const json::object& from, const char* name) -> std::string
{
    const auto* found = from.if_contains(name);
    return found != nullptr && found->is_string()
               ? std::string(found->as_string())
               : std::string();
}

auto number_of(const json::object& from, const char* name) -> std::int64_t
{
    const auto* found = from.if_contains(name);
    return found != nullptr && found->is_number()
               ? found->to_number<std::int64_t>()
               : 0;
}

auto word_of(const std::string& spec, const std::string& name) -> long
{
    const auto at = spec.find(name + "=");
    return at == std::string::npos
               ? 0
               : std::atol(spec.c_str() + at + name.size() + 1);
}

} // namespace

worker::worker(worker_facts facts, store& platform, record& seen)
    : m_facts(std::move(facts)), m_platform(platform), m_seen(seen),
      m_server(
          [this](const http_request& request,
                 const std::function<bool()>& connected)
          {
              return serve(request, connected);
          }),
      m_clockwork(
          [this]
          {
              work();
          })
{
}

worker::~worker()
{
    {
        const std::lock_guard lock(m_mutex);
        m_finished = true;
        m_up = false;
        ++m_life;
    }
    m_ended.notify_all();
    m_clockwork.join();
    m_server.stop();
}

auto worker::begin(const std::string& id, milliseconds registers_after,
                   milliseconds cold, milliseconds cold_delay) -> bool
{
    {
        const std::lock_guard lock(m_mutex);
        m_id = id;
        m_up = true;
        ++m_life;
        m_born = steady::now();
        m_born_ms = std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
        m_cold_until = m_born + cold;
        m_cold_delay = cold_delay;
        m_next_entry = m_born + registers_after;
        m_sequence = 0;
        m_token = 0;
        m_lease_end = 0;
        m_runs.clear();
        m_over.clear();
        m_ends.clear();
        m_last_end = 0;
    }
    m_seen.add("up", m_facts.name, "", 0, id);
    if (m_port == 0)
    {
        m_port = free_port();
    }
    return m_server.start(m_port);
}

auto worker::crash() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_up = false;
        ++m_life;
        for (const auto& [task, item] : m_runs)
        {
            m_seen.add("end", m_facts.name, task, item.number, "crashed");
        }
        m_runs.clear();
        m_ends.clear();
    }
    m_ended.notify_all();
    m_server.stop();
    m_seen.add("crash", m_facts.name, "", 0, m_id);
}

auto worker::clock() const -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - m_born)
        .count();
}

auto worker::write_entry() -> void
{
    const auto cold = std::max<std::int64_t>(
        0,
        std::chrono::duration_cast<milliseconds>(m_cold_until - steady::now())
            .count());
    const json::object entry{
        {"service", m_facts.service},
        {"address", m_server.address()},
        {"zone", m_facts.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"coldRemainingMs", cold},
        {"capacity",
         {{"cpu", m_facts.cpu}, {"memMb", m_facts.memory_mb}, {"gpu", 0}}},
        {"labels", {m_facts.kind, m_facts.rack}},
        {"clockMs", clock()},
        {"born", m_born_ms},
        {"machine", "m-" + m_facts.name},
        {"sequence", ++m_sequence}};
    m_platform.put("servers", m_id, json::serialize(entry));
    m_entries[m_id] = steady::now();
    if (m_sequence == 1)
    {
        m_seen.add("entry", m_facts.name, "", 0, m_id);
    }
}

auto worker::remove_lapsed_entries() -> void
{
    const auto now = steady::now();
    std::erase_if(m_entries,
                  [&](const auto& item)
                  {
                      const bool lapsed = now - item.second >= 3 * heartbeat &&
                                          !(m_up && item.first == m_id);
                      if (lapsed)
                      {
                          m_platform.remove("servers", item.first);
                      }
                      return lapsed;
                  });
}

auto worker::report(int status, const std::string& reason) const
    -> http_response
{
    json::object out{{"clockMs", clock()}, {"born", m_born_ms}};
    if (!reason.empty())
    {
        out["reason"] = reason;
    }
    return {status, json::serialize(out)};
}

auto worker::serve(const http_request& request,
                   const std::function<bool()>& connected)
    -> std::optional<http_response>
{
    std::unique_lock lock(m_mutex);
    if (!m_up)
    {
        return std::nullopt;
    }
    const auto life = m_life;
    if (steady::now() < m_cold_until)
    {
        const auto delay = m_cold_delay;
        lock.unlock();
        std::this_thread::sleep_for(delay);
        lock.lock();
        if (!m_up || m_life != life)
        {
            return std::nullopt;
        }
    }
    const auto intended = request.headers.find("expected-instance");
    if (intended != request.headers.end() && intended->second != m_id)
    {
        return report(421, "");
    }
    json::error_code fault;
    const auto parsed = json::parse(request.body, fault);
    if (fault || !parsed.is_object())
    {
        return report(400, "");
    }
    const auto& order = parsed.as_object();
    const auto token =
        static_cast<std::uint64_t>(number_of(order, "fencingToken"));
    if (token < m_token)
    {
        return report(409, "fence");
    }
    m_token = token;
    if (request.path == "/pimentoshunt/run-start")
    {
        return start_run(order);
    }
    if (request.path == "/pimentoshunt/run-stop")
    {
        return stop_run(order);
    }
    if (request.path == "/pimentoshunt/hold")
    {
        return hold(order, connected, lock);
    }
    return report(request.path == "/pimentoshunt/pace" ? 200 : 404, "");
}

auto worker::extend_lease(const json::object& order) -> void
{
    if (order.contains("deadlineMs"))
    {
        m_lease_end = std::max(
            m_lease_end,
            std::min<std::int64_t>(number_of(order, "deadlineMs"),
                                   clock() + m_facts.longest_lease.count()));
    }
}

auto worker::start_run(const json::object& order) -> http_response
{
    const auto task = text_of(order, "task");
    const auto number = static_cast<std::uint64_t>(number_of(order, "run"));
    const auto known = m_runs.find(task);
    if (known != m_runs.end() && known->second.number == number)
    {
        extend_lease(order);
        return report(200, "");
    }
    const auto over = m_over.find(task);
    if (known != m_runs.end() ||
        (over != m_over.end() && number <= over->second))
    {
        extend_lease(order);
        return report(409, "old");
    }
    if (number_of(order, "deadlineMs") <= clock())
    {
        return report(409, "late");
    }
    extend_lease(order);
    const auto spec = text_of(order, "spec");
    run item;
    item.number = number;
    item.began = steady::now();
    item.works = milliseconds(word_of(spec, "ms"));
    item.lasts = word_of(spec, "lasts") > 0;
    item.fails = word_of(spec, "fails") > 0;
    m_runs[task] = item;
    m_seen.add("start", m_facts.name, task, number,
               "token " + std::to_string(m_token));
    return report(200, "");
}

auto worker::stop_run(const json::object& order) -> http_response
{
    const auto task = text_of(order, "task");
    const auto number = static_cast<std::uint64_t>(number_of(order, "run"));
    const auto known = m_runs.find(task);
    if (known != m_runs.end() && known->second.number <= number)
    {
        known->second.stops_at =
            std::min(known->second.stops_at, steady::now() + m_facts.stop_time);
        m_seen.add("stop", m_facts.name, task, number, "ordered");
    }
    auto& over = m_over[task];
    over = std::max(over, number);
    return report(200, "");
}

auto worker::hold(const json::object& order,
                  const std::function<bool()>& connected,
                  std::unique_lock<std::mutex>& lock)
    -> std::optional<http_response>
{
    const auto life = m_life;
    const auto seen = static_cast<std::uint64_t>(number_of(order, "lastSeen"));
    while (!m_ends.empty() && m_ends.front().number <= seen)
    {
        m_seen.add("noted", m_facts.name, m_ends.front().task,
                   m_ends.front().run, m_ends.front().how);
        m_ends.pop_front();
    }
    extend_lease(order);
    const auto until = steady::now() + milliseconds(number_of(order, "waitMs"));
    while (m_ends.empty() && steady::now() < until && m_life == life)
    {
        m_ended.wait_until(lock,
                           std::min(until, steady::now() + milliseconds(100)));
        if (!connected())
        {
            return std::nullopt;
        }
    }
    if (m_life != life)
    {
        return std::nullopt;
    }
    json::array running;
    for (const auto& [task, item] : m_runs)
    {
        const auto age = std::chrono::duration_cast<milliseconds>(
            steady::now() - item.began);
        const auto percent =
            item.lasts
                ? (age >= startup ? 100 : 50)
                : std::min<std::int64_t>(
                      99, 100 * age.count() /
                              std::max<std::int64_t>(item.works.count(), 1));
        running.push_back(
            json::array{task, item.number, "", percent, m_facts.cpu / 16});
    }
    json::array ends;
    for (const auto& item : m_ends)
    {
        if (ends.size() >= most_ends)
        {
            break;
        }
        ends.push_back(
            json::array{item.number, item.task, item.run, item.how, ""});
    }
    return http_response{200,
                         json::serialize(json::object{{"clockMs", clock()},
                                                      {"born", m_born_ms},
                                                      {"running", running},
                                                      {"endedRuns", ends}})};
}

auto worker::end_run(const std::string& task, const std::string& how) -> void
{
    const auto number = m_runs.at(task).number;
    m_ends.push_back({++m_last_end, task, number, how});
    auto& over = m_over[task];
    over = std::max(over, number);
    m_runs.erase(task);
    m_seen.add("end", m_facts.name, task, number, how);
}

auto worker::work() -> void
{
    while (true)
    {
        std::this_thread::sleep_for(step);
        const std::lock_guard lock(m_mutex);
        if (m_finished)
        {
            return;
        }
        remove_lapsed_entries();
        if (!m_up)
        {
            continue;
        }
        const auto now = steady::now();
        if (now >= m_next_entry)
        {
            m_next_entry = now + heartbeat;
            write_entry();
        }
        std::map<std::string, std::string> over;
        for (const auto& [task, item] : m_runs)
        {
            if (clock() >= m_lease_end)
            {
                over[task] = "lapsed";
            }
            else if (now >= item.stops_at)
            {
                over[task] = "stopped";
            }
            else if (now >= item.began + item.works &&
                     (item.fails || !item.lasts))
            {
                over[task] = item.fails ? "failed" : "done";
            }
        }
        for (const auto& [task, how] : over)
        {
            end_run(task, how);
        }
        if (!over.empty())
        {
            m_ended.notify_all();
        }
    }
}

} // namespace review
