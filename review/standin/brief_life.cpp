// An idle worker crashes and starts again under the id that it had. It takes a
// task, and half a second after its start its machine is lost for good.
#include "cases.hpp"
#include "cell.hpp"

#include <algorithm>

namespace review
{

auto brief_life(const options& chosen, record& seen) -> int
{
    constexpr std::size_t machines = 8;
    /// Until then the worker is up and idle.
    constexpr double first_life_ms = 60'000;
    constexpr milliseconds down{500};
    constexpr milliseconds second_life{500};
    /// bounds.finish_s.
    constexpr milliseconds finish{14'000};
    cell deployment(chosen.binary, seen);
    for (std::size_t i = 0; i < machines; ++i)
    {
        worker_facts facts;
        facts.name = "w" + std::to_string(i + 1);
        facts.kind = i < 3 ? "b" : "a";
        facts.rack = "r" + std::to_string(i / 2 + 1);
        deployment.add_worker(facts);
    }
    if (!deployment.start({}))
    {
        seen.say("the deployment did not come up");
        return 2;
    }
    while (seen.now() < first_life_ms)
    {
        std::this_thread::sleep_for(milliseconds(100));
    }
    auto& worker = *deployment.workers().at(0);
    const auto restarted = steady::now() + down;
    if (chosen.trouble)
    {
        seen.say("w1 crashes and starts again under its id");
        worker.crash();
        std::this_thread::sleep_until(restarted);
        if (!worker.begin("i-1", milliseconds(1'000)))
        {
            return 2;
        }
    }
    const std::string id = "5c0e7a21d94b36f8";
    if (!deployment.submit(
            id, R"({"spec":"ms=2500","phases":[{"count":1,"cpu":4000,)"
                R"("memMb":1024,"estimatedMs":2500,"requirements":"b"}]})"))
    {
        return 2;
    }
    std::this_thread::sleep_until(restarted + second_life);
    if (chosen.trouble)
    {
        seen.say("the machine of w1 is lost");
        worker.crash();
    }
    // Longer than any lease, the end of the traffic, and the 3 s of the rule.
    std::this_thread::sleep_for(finish + milliseconds(8'000));
    std::size_t begun = 0;
    bool done = false;
    double last = 0;
    for (const auto& item : seen.events())
    {
        if (item.task.rfind(id + ".", 0) == 0)
        {
            begun += item.kind == "start" ? 1 : 0;
            done = done || (item.kind == "end" && item.text == "done");
            last = item.at;
        }
    }
    seen.say("state: '" + deployment.state(id) +
             "'; starts: " + std::to_string(begun) +
             (done ? ", done" : ", not done") + "; nothing has run for " +
             std::to_string((seen.now() - last) / 1'000) +
             " s; two more workers of its kind are idle");
    if (begun == 0)
    {
        return 2;
    }
    return done ? 0 : 1;
}

} // namespace review
