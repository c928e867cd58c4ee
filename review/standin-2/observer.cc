#include "observer.hh"

#include <cstdio>

namespace review
{

observer::observer(world& at, bool write_all)
    : m_world(at), m_write_all(write_all)
{
    const std::lock_guard guard(at.lock);
    at.on_begin = [this](const worker& on, const live_run& run)
    {
        auto& seen = jobs[run.task.substr(0, 16)];
        ++seen.starts;
        seen.alive.insert(run.task + "/" + std::to_string(run.run));
        seen.changed_at = steady::now();
        if (m_write_all)
        {
            m_world.note(on.id + " begins " + run.task + " run " +
                         std::to_string(run.run));
        }
    };
    at.on_end =
        [this](const worker& on, const live_run& run, const std::string& how)
    {
        auto& seen = jobs[run.task.substr(0, 16)];
        seen.alive.erase(run.task + "/" + std::to_string(run.run));
        seen.changed_at = steady::now();
        seen.failed += how == "failed" ? 1 : 0;
        seen.lost += how == "lost with its worker" ? 1 : 0;
        if (how == "done")
        {
            seen.done.insert(run.task);
        }
        if (m_write_all)
        {
            m_world.note(on.id + " ends " + run.task + " run " +
                         std::to_string(run.run) + " " + how);
        }
    };
}

auto job_id(unsigned kind, unsigned number) -> std::string
{
    char out[17];
    std::snprintf(out, sizeof out, "%08x%08x", 0x5c0e0000U + kind, number);
    return out;
}

auto two_queues(int most_failures) -> std::string
{
    const auto failures = std::to_string(most_failures);
    return R"({"version":3,"routes":[)"
           R"({"name":"brief","host":"desk.example","pathPrefix":"/brief/",)"
           R"("type":"unsafe","timeoutMs":3000,"targetDurationMs":250,)"
           R"("priority":0,"service":"press","maxAttempts":)" +
           failures +
           R"(,"stretch":1.5},)"
           R"({"name":"watch","host":"desk.example","pathPrefix":"/watch/",)"
           R"("type":"unsafe","timeoutMs":3000,"targetDurationMs":2500,)"
           R"("priority":1,"service":"press","maxAttempts":)" +
           failures +
           R"(,"stretch":2.2}],)"
           R"("services":[{"name":"press","healthPath":"/health",)"
           R"("maxConnections":64,"protocol":"h1","tls":false,)"
           R"("rejectsOverload":false,"standby":false}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
           R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
}

auto state_in(const std::string& body) -> std::string
{
    boost::system::error_code fault;
    const auto root = json::parse(body, fault);
    if (fault || !root.is_object() || !root.get_object().contains("state") ||
        !root.get_object().at("state").is_string())
    {
        return "";
    }
    return std::string(root.get_object().at("state").get_string());
}

} // namespace review
