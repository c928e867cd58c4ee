// One lasting job of twenty can never be done: its tasks fail soon after each
// start. Beside them ordinary jobs of two steps come and have to end.
#include "observer.hh"

#include <algorithm>

namespace review
{
namespace
{

constexpr unsigned lasting_jobs = 20;
/// The widest job of a site's lasting kind.
constexpr unsigned widest = 48;
/// Ordinary jobs come until then.
constexpr std::int64_t traffic_ms = 80'000;
/// About the traffic of a small site.
constexpr std::int64_t job_interval_ms = 100;
/// "finish_s after the end of the traffic", and "for 3 s", besides the 4 s
/// before them.
constexpr std::int64_t finish_ms = 14'000;
constexpr auto idle_time = std::chrono::seconds(7);

struct brief_job
{
    std::string id, state = "queued";
};

/// Asks for the state of the next job that was not shown as finished.
auto look_up(world& at, std::vector<brief_job>& jobs, std::size_t& next,
             unsigned round) -> void
{
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        auto& job = jobs[next++ % jobs.size()];
        if (job.state == "succeeded" || job.state == "failed")
        {
            continue;
        }
        const auto got =
            at.call(at.cells[round % 3], "GET", "/brief/" + job.id, "");
        job.state = state_in(got.body);
        at.note("GET /brief/" + job.id + ": " + std::to_string(got.status) +
                " " + job.state);
        return;
    }
}

/// One line on the store and the ends that workers list.
auto summary(world& at) -> std::string
{
    std::uint64_t ends = 0;
    std::uint64_t waiting = 0;
    std::uint64_t starts = 0;
    std::size_t largest = 0;
    const std::lock_guard guard(at.lock);
    for (const auto& [id, item] : at.workers)
    {
        ends += item->ends;
        starts += item->starts;
        for (const auto& end : item->ended)
        {
            waiting += steady::now() - end.at > std::chrono::seconds(4) ? 1 : 0;
        }
    }
    for (const auto& [key, row] : at.rows)
    {
        largest = key[0] == "progress"
                      ? std::max(largest, row.value.size() / 4 * 3)
                      : largest;
    }
    return std::to_string(starts) + " starts, " + std::to_string(ends) +
           " ends, not taken note of for over 4 s: " + std::to_string(waiting) +
           "; largest row of progress " + std::to_string(largest) +
           " bytes; writes refused as over rowBytes: " +
           std::to_string(at.oversize);
}

} // namespace

auto run_progress(world& at, bool trouble) -> int
{
    at.configure(two_queues());
    for (int i = 0; i < 8; ++i)
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
    for (unsigned i = 0; i < lasting_jobs; ++i)
    {
        const bool poison = trouble && i == 0;
        const std::string spec = poison ? "ms=100 end=failed" : "ms=-1";
        const auto count = std::to_string(i == 0 ? widest : 2);
        const auto id = job_id(1, i);
        const auto got =
            at.call(at.cells[i % 3], "POST", "/watch/" + id,
                    R"({"spec":")" + spec + R"(","phases":[{"count":)" + count +
                        R"(,"cpu":200,"memMb":128,"estimatedMs":420,)" +
                        R"("longRunning":true}]})");
        at.note(
            "POST /watch/" + id + ", " + count + " tasks, " +
            (poison ? "each fails 100 ms after its start" : "each runs on") +
            ": " + std::to_string(got.status));
        if (got.status != 200)
        {
            return 2;
        }
    }
    std::vector<brief_job> jobs;
    std::size_t next = 0;
    for (unsigned round = 0;; ++round)
    {
        const auto began = at.now_ms();
        if (began < traffic_ms)
        {
            const auto id = job_id(2, round);
            const auto got = at.call(
                at.cells[round % 3], "POST", "/brief/" + id,
                R"({"spec":"ms=300","phases":[)"
                R"({"count":3,"cpu":500,"memMb":128,"estimatedMs":300},)"
                R"({"count":3,"cpu":500,"memMb":128,"estimatedMs":300,)"
                R"("after":[0]}]})");
            at.note("POST /brief/" + id + ": " + std::to_string(got.status));
            if (got.status == 200)
            {
                jobs.push_back({id});
            }
        }
        look_up(at, jobs, next, round);
        if (round % 20 == 0)
        {
            at.note(summary(at));
        }
        at.reap();
        for (const auto& cell : at.cells)
        {
            if (cell.ended)
            {
                at.note(cell.name + " ended by itself");
                return 2;
            }
        }
        if (began >= traffic_ms + finish_ms + 4'000)
        {
            break;
        }
        std::this_thread::sleep_for(
            std::chrono::milliseconds(std::max<std::int64_t>(
                5, job_interval_ms - (at.now_ms() - began))));
    }
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        look_up(at, jobs, next, 0);
    }
    at.note(summary(at));
    unsigned unfinished = 0;
    unsigned idle = 0;
    for (const auto& job : jobs)
    {
        if (job.state == "succeeded")
        {
            continue;
        }
        ++unfinished;
        const std::lock_guard guard(at.lock);
        const auto& view = seen.jobs[job.id];
        const bool turn = view.done.contains(job.id + ".0.0.0") &&
                          view.done.contains(job.id + ".0.0.1") &&
                          view.done.size() < 4;
        if (turn && view.alive.empty() &&
            steady::now() - view.changed_at > idle_time)
        {
            ++idle;
            at.note("job " + job.id + " is shown as '" + job.state +
                    "': both tasks of its first step have ended done, the "
                    "second step's turn has come, and for over 7 s nothing of "
                    "it runs");
        }
    }
    at.note(std::to_string(jobs.size()) + " jobs accepted on /brief/, " +
            std::to_string(unfinished) + " not finished, " +
            std::to_string(idle) +
            " of them idle beside free workers; no "
            "disruption of the store, links, workers or instances");
    return idle > 0 ? 1 : unfinished > 0 ? 2 : 0;
}

} // namespace review
