// An idle worker crashes and starts again under the id that it had, half a
// second later; as pages allow, it is slow at first. A task is started on it
// before its new entry is read.
#include "cases.hpp"
#include "cell.hpp"

#include <map>
#include <set>

namespace review
{

auto same_id(const options& chosen, record& seen) -> int
{
    constexpr std::size_t machines = 8;
    constexpr int rounds = 5;
    cell deployment(chosen.binary, seen);
    for (std::size_t i = 0; i < machines; ++i)
    {
        worker_facts facts;
        facts.name = "w" + std::to_string(i + 1);
        facts.kind = i < 2 ? "b" : "a";
        facts.rack = "r" + std::to_string(i / 2 + 1);
        deployment.add_worker(facts);
    }
    if (!deployment.start({}))
    {
        seen.say("the deployment did not come up");
        return 2;
    }
    for (int i = 0; i < rounds; ++i)
    {
        // Longer than connections to an idle worker are kept.
        std::this_thread::sleep_for(milliseconds(9'500));
        auto& item = *deployment.workers().at(0);
        if (chosen.trouble)
        {
            seen.say("w1 crashes and starts again under its id");
            item.crash();
            std::this_thread::sleep_for(milliseconds(500));
            if (!item.begin("i-1", milliseconds(450), milliseconds(3'000),
                            milliseconds(90)))
            {
                return 2;
            }
        }
        std::this_thread::sleep_for(milliseconds(30));
        char id[17];
        std::snprintf(id, sizeof id, "5c0e7a21d94b36%02x", i);
        if (!deployment.submit(
                id, R"({"spec":"ms=2500","phases":[{"count":1,"cpu":4000,)"
                    R"("memMb":1024,"estimatedMs":2500,"requirements":"b"}]})"))
        {
            return 2;
        }
        std::this_thread::sleep_for(milliseconds(4'000));
    }
    std::map<std::string, std::set<std::string>> running;
    int broken = 0;
    for (const auto& item : seen.events())
    {
        auto& here = running[item.task];
        const auto run = item.worker + " run " + std::to_string(item.number);
        if (item.kind == "start")
        {
            if (!here.empty())
            {
                ++broken;
                seen.say("task " + item.task + ": started on " + run +
                         " while it runs on " + *here.begin());
            }
            here.insert(run);
        }
        else if (item.kind == "end")
        {
            here.erase(run);
        }
    }
    return broken > 0 ? 1 : 0;
}

} // namespace review
