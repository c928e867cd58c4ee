// A service of fifteen tasks, one on each worker, runs on sixteen workers. A
// rack of two workers crashes, and 13 s later the rack to which one of its tasks
// went; each is back after 1.5 s.
#include "cases.hpp"
#include "cell.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace review
{

auto rack_twice(const options& chosen, record& seen) -> int
{
    constexpr std::size_t machines = 16;
    constexpr std::size_t tasks = 15;
    constexpr milliseconds down{1'500};
    cell deployment(chosen.binary, seen);
    for (std::size_t i = 0; i < machines; ++i)
    {
        worker_facts facts;
        facts.name = "w" + std::to_string(i + 1);
        facts.rack = "r" + std::to_string(i / 2 + 1);
        deployment.add_worker(facts);
    }
    if (!deployment.start({}))
    {
        seen.say("the deployment did not come up");
        return 2;
    }
    const std::string id = "5c0e7a21d94b36f8";
    const bool accepted = deployment.submit(
        id,
        R"({"spec":"lasts=1","phases":[{"count":15,"cpu":4000,"memMb":1024,)"
        R"("estimatedMs":300,"longRunning":true,"maxPerServer":1}]})");
    const auto tasks_on = [&](const std::string& name)
    {
        std::set<std::string> out;
        for (const auto& item : seen.events())
        {
            if (item.worker == name && item.kind == "start")
            {
                out.insert(item.task);
            }
            else if (item.worker == name && item.kind == "end")
            {
                out.erase(item.task);
            }
        }
        return out;
    };
    const auto all_run = [&]
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < machines; ++i)
        {
            count += tasks_on("w" + std::to_string(i + 1)).size();
        }
        return count == tasks;
    };
    if (!accepted || !wait_until(milliseconds(10'000), all_run))
    {
        seen.say("the service did not start");
        return 2;
    }
    // A rack with two tasks of the service, one of them among those named.
    const auto find_rack =
        [&](const std::set<std::string>& named) -> std::size_t
    {
        for (std::size_t i = 0; i < machines; i += 2)
        {
            auto here = tasks_on("w" + std::to_string(i + 1));
            const auto beside = tasks_on("w" + std::to_string(i + 2));
            const bool both = !here.empty() && !beside.empty();
            here.insert(beside.begin(), beside.end());
            const bool found =
                named.empty() || std::any_of(here.begin(), here.end(),
                                             [&](const std::string& task)
                                             {
                                                 return named.count(task) > 0;
                                             });
            if (both && found)
            {
                return i;
            }
        }
        return machines;
    };
    std::set<std::string> crashed;
    int life = 0;
    double calm_from = 0;
    for (int i = 0; i < 2; ++i)
    {
        std::this_thread::sleep_for(milliseconds(11'500));
        const auto rack = find_rack(crashed);
        if (rack == machines)
        {
            seen.say("no rack with two tasks");
            return 2;
        }
        for (const auto k : {rack, rack + 1})
        {
            const auto here = tasks_on("w" + std::to_string(k + 1));
            crashed.insert(here.begin(), here.end());
        }
        if (!chosen.trouble)
        {
            continue;
        }
        ++life;
        seen.say("rack r" + std::to_string(rack / 2 + 1) + " crashes");
        for (const auto k : {rack, rack + 1})
        {
            deployment.workers().at(k)->crash();
        }
        std::this_thread::sleep_for(down);
        for (const auto k : {rack, rack + 1})
        {
            auto& item = *deployment.workers().at(k);
            if (!item.begin("i-" + std::to_string(k + 1) + "-" +
                            std::to_string(life)))
            {
                return 2;
            }
        }
        calm_from = seen.now();
        seen.say("the rack is back");
    }
    std::this_thread::sleep_for(milliseconds(16'000));
    const auto until = seen.now();
    // The rule: a task that lasts has nothing running for 3 s, from 6 s after
    // its last run; calm in these 3 s and in the 4 s before. Three workers
    // have no task then, with 16 cores free each; a task needs 4.
    std::map<std::string, double> idle_since;
    int broken = 0;
    const auto judge = [&](const std::string& task, double since, double end)
    {
        const auto from = std::max(since + 6'000, calm_from + 4'000);
        if (since > 0 && end - from >= 3'000)
        {
            ++broken;
            seen.say("task " + task + ": nothing ran for " +
                     std::to_string((end - since) / 1'000) + " s, of which " +
                     std::to_string((end - from) / 1'000) +
                     " s count (3 allowed)");
        }
    };
    for (const auto& item : seen.events())
    {
        if (item.kind == "end")
        {
            idle_since[item.task] = item.at;
        }
        else if (item.kind == "start")
        {
            if (idle_since.count(item.task) > 0)
            {
                judge(item.task, idle_since[item.task], item.at);
            }
            idle_since.erase(item.task);
        }
    }
    for (const auto& [task, since] : idle_since)
    {
        judge(task, since, until);
    }
    seen.say("state: " + deployment.state(id));
    return broken > 0 ? 1 : 0;
}

} // namespace review
