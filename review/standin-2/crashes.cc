// Jobs whose tasks all would end done, while workers crash now and then, one of
// eight at a time.
#include "observer.hh"

#include <random>

namespace review
{
namespace
{

/// As on the sheet: a share of 0.14 of the workers, for 4.5 s.
constexpr unsigned workers = 8;
constexpr std::int64_t down_ms = 4'500;
constexpr std::int64_t crash_interval_ms = 2'500;
constexpr std::int64_t crashes_until_ms = 62'000;
constexpr std::int64_t end_ms = 85'000;
constexpr unsigned jobs_at_once = 10;

struct plate_job
{
    std::string id, state = "queued";
};

} // namespace

auto run_crashes(world& at, bool trouble) -> int
{
    at.configure(two_queues());
    for (unsigned i = 0; i < workers; ++i)
    {
        at.add_worker("i-" + std::to_string(100 + i));
    }
    at.start_platform();
    observer seen(at, false);
    if (!at.start_cells(3))
    {
        at.note("the instances did not become ready");
        return 2;
    }
    at.note("three instances are ready");
    std::mt19937 random(7);
    std::vector<plate_job> jobs;
    std::map<std::string, std::int64_t> down;
    std::map<std::string, std::string> current;
    std::int64_t next_crash = at.now_ms() + 4'000;
    std::int64_t next_job = at.now_ms();
    unsigned lives = 0;
    unsigned crashes = 0;
    for (unsigned i = 0; i < workers; ++i)
    {
        current["m-" + std::to_string(i)] = "i-" + std::to_string(100 + i);
    }
    for (unsigned round = 0; at.now_ms() < end_ms; ++round)
    {
        const auto now = at.now_ms();
        if (now >= next_job && now < crashes_until_ms - 10'000)
        {
            next_job = now + 2'000;
            const auto id = job_id(3, round);
            const auto got = at.call(
                at.cells[round % 3], "POST", "/brief/" + id,
                R"({"spec":"ms=4100","phases":[{"count":)" +
                    std::to_string(jobs_at_once) +
                    R"(,"cpu":11000,"memMb":4000,"estimatedMs":4100},)" +
                    R"({"count":)" + std::to_string(jobs_at_once) +
                    R"(,"cpu":11000,"memMb":4000,"estimatedMs":4100,)" +
                    R"("after":[0]}]})");
            at.note("POST /brief/" + id + ": " + std::to_string(got.status));
            if (got.status == 200)
            {
                jobs.push_back({id});
            }
        }
        if (trouble && now >= next_crash && now < crashes_until_ms)
        {
            next_crash = now + crash_interval_ms;
            std::vector<std::string> up;
            for (const auto& [machine, id] : current)
            {
                if (!down.contains(machine))
                {
                    up.push_back(machine);
                }
            }
            const auto machine = up[random() % up.size()];
            ++crashes;
            at.note("worker " + current[machine] + " crashes");
            at.crash_worker(current[machine]);
            down[machine] = now + down_ms;
        }
        for (auto item = down.begin(); item != down.end();)
        {
            if (now < item->second)
            {
                ++item;
                continue;
            }
            const auto id = "i-" + std::to_string(200 + lives++);
            at.restart_worker(current[item->first], id);
            current[item->first] = id;
            at.note("worker " + id + " starts on the machine");
            item = down.erase(item);
        }
        for (auto& job : jobs)
        {
            if (job.state == "succeeded" || job.state == "failed")
            {
                continue;
            }
            const auto got =
                at.call(at.cells[round % 3], "GET", "/brief/" + job.id, "");
            const auto state = state_in(got.body);
            if (state != job.state)
            {
                job.state = state;
                at.note("GET /brief/" + job.id + ": " +
                        std::to_string(got.status) + " " + state);
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    unsigned wrong = 0;
    unsigned other = 0;
    for (const auto& job : jobs)
    {
        const std::lock_guard guard(at.lock);
        const auto& view = seen.jobs[job.id];
        if (job.state == "failed" && view.failed == 0)
        {
            ++wrong;
            at.note("job " + job.id +
                    " is shown as failed: " + std::to_string(view.starts) +
                    " runs, of these 0 ended "
                    "failed and " +
                    std::to_string(view.lost) + " were lost with their worker");
        }
        other += job.state != "failed" && job.state != "succeeded" ? 1 : 0;
    }
    at.note(std::to_string(jobs.size()) + " jobs accepted, " +
            std::to_string(crashes) + " crashes of workers, " +
            std::to_string(wrong) +
            " jobs shown as failed without a run that "
            "failed, " +
            std::to_string(other) + " not finished");
    return wrong > 0 ? 1 : 0;
}

} // namespace review
