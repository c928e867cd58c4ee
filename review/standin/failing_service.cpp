// A service of 40 tasks that end 'failed' soon after each start, and small jobs
// of another kind beside it.
#include "cases.hpp"
#include "cell.hpp"

#include <algorithm>
#include <set>

namespace review
{

auto failing_service(const options& chosen, record& seen) -> int
{
    constexpr std::size_t machines = 8;
    constexpr double traffic_ms = 75'000;
    // bounds.finish_s.
    constexpr milliseconds finish{14'000};
    seen.limit_lines(3'000);
    cell deployment(chosen.binary, seen);
    for (std::size_t i = 0; i < machines; ++i)
    {
        worker_facts facts;
        facts.name = "w" + std::to_string(i + 1);
        facts.rack = "r" + std::to_string(i / 2 + 1);
        facts.cpu = 64'000;
        facts.memory_mb = 262'144;
        deployment.add_worker(facts);
    }
    if (!deployment.start({}))
    {
        seen.say("the deployment did not come up");
        return 2;
    }
    const std::string service = "5c0e7a21d94b36f8";
    const std::string fails = chosen.trouble ? " fails=1" : "";
    if (!deployment.submit(
            service, R"({"spec":"lasts=1 ms=100)" + fails +
                         R"(","phases":[{"count":40,"cpu":500,"memMb":64,)"
                         R"("estimatedMs":300,"longRunning":true}]})"))
    {
        seen.say("the service was not accepted");
        return 2;
    }
    std::vector<std::string> small;
    std::vector<std::string> accepted;
    while (seen.now() < traffic_ms)
    {
        char id[17];
        std::snprintf(id, sizeof id, "11112222%08zx", small.size());
        small.push_back(id);
        if (deployment.submit(
                id, R"({"spec":"ms=200","phases":[)"
                    R"({"count":6,"cpu":1000,"memMb":64,"estimatedMs":200},)"
                    R"({"count":6,"cpu":1000,"memMb":64,"estimatedMs":200,)"
                    R"("after":[0]}]})"))
        {
            accepted.push_back(id);
        }
        std::this_thread::sleep_for(milliseconds(110));
    }
    seen.say("end of the traffic; small jobs accepted: " +
             std::to_string(accepted.size()));
    std::this_thread::sleep_for(finish + milliseconds(4'000));
    const auto events = seen.events();
    const auto since = seen.now() - 3'000;
    int waiting = 0;
    int succeeded = 0;
    for (const auto& id : accepted)
    {
        std::size_t begun = 0;
        std::size_t ended = 0;
        std::set<std::string> done;
        bool recent = false;
        for (const auto& item : events)
        {
            if (item.task.rfind(id + ".", 0) != 0)
            {
                continue;
            }
            begun += item.kind == "start" ? 1 : 0;
            ended += item.kind == "end" ? 1 : 0;
            recent = recent || item.at >= since;
            if (item.kind == "end" && item.text == "done")
            {
                done.insert(item.task);
            }
        }
        // Twelve tasks; while not all are done, the turn of one has come.
        waiting += done.size() < 12 && begun == ended && !recent ? 1 : 0;
    }
    // The last ones, as a client would ask for them.
    const auto asked = std::min<std::size_t>(50, accepted.size());
    for (auto id = accepted.end() - static_cast<std::ptrdiff_t>(asked);
         id != accepted.end(); ++id)
    {
        succeeded += deployment.state(*id) == "succeeded" ? 1 : 0;
    }
    std::size_t ends = 0;
    std::size_t noted = 0;
    std::size_t refused = 0;
    double first_refused = 0;
    for (const auto& item : events)
    {
        ends += item.kind == "end" ? 1 : 0;
        noted += item.kind == "noted" ? 1 : 0;
        refused += item.kind == "refused" ? 1 : 0;
        if (item.kind == "refused" && first_refused == 0)
        {
            first_refused = item.at;
        }
    }
    seen.say("small jobs shown as succeeded, of the last " +
             std::to_string(asked) + ": " + std::to_string(succeeded) +
             "; with nothing running for 3 s though a task's turn has come: " +
             std::to_string(waiting));
    seen.say(
        "ends listed by workers: " + std::to_string(ends) +
        ", not taken note of: " + std::to_string(ends - std::min(ends, noted)) +
        "; writes refused by the store: " + std::to_string(refused) +
        ", the first at " + std::to_string(first_refused / 1'000) + " s");
    return waiting > 0 ? 1 : 0;
}

} // namespace review
