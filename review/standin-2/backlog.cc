// The store holds the finished jobs of somewhat over an hour of a small site's
// traffic; then all instances are killed at the same moment, and come back.
#include "observer.hh"

#include <signal.h>

#include <algorithm>
#include <cstdlib>

namespace review
{
namespace
{

/// Arrivals on the sheet of nokf-trykk (10.2 + 1.33 + 0.118 a second) less the 5
/// a second that the owner removes, in 4,500 s.
constexpr unsigned finished_jobs = 30'000;
constexpr unsigned samples = 64;
/// limits.memoryMb of a small deployment, and when a killed process is back.
constexpr double memory_limit_mb = 260;
constexpr std::int64_t restart_ms = 1'000;
/// bounds.recoveryS, and finish_s.
constexpr std::int64_t recovery_ms = 12'000;
constexpr std::int64_t finish_ms = 14'000;
constexpr unsigned probes = 10;

auto memory_mb(pid_t process) -> double
{
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(in, line);)
    {
        if (line.rfind("VmRSS:", 0) == 0)
        {
            constexpr double kib = 1'024;
            return std::atof(line.c_str() + 6) / kib;
        }
    }
    return 0;
}

auto job_body() -> std::string
{
    // About the mean of req_bytes and of the tasks of a site's frequent kind.
    return R"({"spec":"ms=60 )" + std::string(900, 'x') +
           R"(","phases":[{"count":6,"cpu":500,"memMb":128,"estimatedMs":300},)"
           R"({"count":6,"cpu":500,"memMb":128,"estimatedMs":300,)"
           R"("after":[0]}]})";
}

auto submit(world& at, unsigned cell, const std::string& id) -> int
{
    return at.call(at.cells[cell % 3], "POST", "/brief/" + id, job_body())
        .status;
}

auto state_of(world& at, unsigned cell, const std::string& id) -> std::string
{
    return state_in(
        at.call(at.cells[cell % 3], "GET", "/brief/" + id, "").body);
}

/// Repeats the rows of the finished jobs that the instances have written, under
/// other IDs.
auto repeat_rows(world& at, unsigned jobs) -> void
{
    const std::lock_guard guard(at.lock);
    std::vector<std::pair<row_key, std::string>> found;
    for (const auto& [key, row] : at.rows)
    {
        if ((key[0] == "inbox" || key[0] == "progress") && key[2][0] != '@')
        {
            found.emplace_back(key, decode64(row.value));
        }
    }
    std::uint64_t rows = 0;
    std::uint64_t bytes = 0;
    for (unsigned copy = 1; copy * samples < jobs; ++copy)
    {
        for (const auto& [key, value] : found)
        {
            const auto id = key[2].substr(0, 16);
            // The last digit, which selects the part, stays.
            const auto other =
                job_id(0x1000 + copy, std::stoul(id.substr(8), nullptr, 16));
            auto bytes_of_copy = value;
            const auto place = bytes_of_copy.find(id);
            if (place != std::string::npos)
            {
                bytes_of_copy.replace(place, id.size(), other);
            }
            auto& row =
                at.rows[{key[0], key[1], other + key[2].substr(id.size())}];
            row.value = encode64(bytes_of_copy);
            row.ver = ++at.version;
            ++rows;
            bytes += bytes_of_copy.size();
        }
    }
    at.history.clear();
    at.trimmed = at.version;
    at.note("the store now holds " + std::to_string(rows) + " rows of " +
            std::to_string(jobs) + " further finished jobs, " +
            std::to_string(bytes / 1'000'000) + " MB");
}

/// Keeps the platform's rules for processes: one over its memory is killed, and
/// one that has ended is started again after a while.
class process_keeper
{
  public:
    explicit process_keeper(world& at) : m_world(at), m_back_at(at.cells.size())
    {
    }

    auto check() -> void
    {
        m_world.reap();
        for (std::size_t i = 0; i < m_world.cells.size(); ++i)
        {
            auto& cell = m_world.cells[i];
            if (cell.pid > 0)
            {
                const auto used = memory_mb(cell.pid);
                m_most = std::max(m_most, used);
                if (used > memory_limit_mb)
                {
                    ++m_kills;
                    m_world.note(cell.name + " takes " + std::to_string(used) +
                                 " MB, over limits.memoryMb: killed");
                    ::kill(cell.pid, SIGKILL);
                }
            }
            else if (m_back_at[i] == 0)
            {
                m_back_at[i] = m_world.now_ms() + restart_ms;
            }
            else if (m_world.now_ms() >= m_back_at[i])
            {
                m_back_at[i] = 0;
                m_world.start_cell(cell);
                m_world.note(cell.name + " is started again");
            }
        }
    }

    auto wait(std::int64_t until) -> void
    {
        while (m_world.now_ms() < until)
        {
            check();
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    [[nodiscard]] auto summary() const -> std::string
    {
        return "most memory of an instance " + std::to_string(m_most) +
               " MB, killed for it " + std::to_string(m_kills) + " times";
    }

  private:
    world& m_world;
    std::vector<std::int64_t> m_back_at;
    double m_most = 0;
    unsigned m_kills = 0;
};

} // namespace

auto run_backlog(world& at, bool trouble) -> int
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
    for (unsigned i = 0; i < samples; ++i)
    {
        submit(at, i, job_id(0x10, i));
    }
    process_keeper keeper(at);
    keeper.wait(at.now_ms() + 4'000);
    unsigned done = 0;
    for (unsigned i = 0; i < samples; ++i)
    {
        done += state_of(at, i, job_id(0x10, i)) == "succeeded" ? 1 : 0;
    }
    at.note(std::to_string(done) + " of " + std::to_string(samples) +
            " jobs have succeeded; " + keeper.summary());
    if (done != samples)
    {
        return 2;
    }
    if (trouble)
    {
        at.note("all instances are killed");
        for (auto& cell : at.cells)
        {
            ::kill(cell.pid, SIGKILL);
        }
        const char* const setting = ::getenv("BACKLOG");
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        repeat_rows(at, setting == nullptr
                            ? finished_jobs
                            : static_cast<unsigned>(std::atoi(setting)));
    }
    const auto back = at.now_ms() + restart_ms;
    keeper.wait(back + recovery_ms);
    std::vector<std::string> jobs;
    unsigned sent = 0;
    for (unsigned i = 0; i < probes; ++i)
    {
        const auto id = job_id(0x20, i);
        const auto status = submit(at, i, id);
        ++sent;
        at.note("POST /brief/" + id + ": " + std::to_string(status));
        if (status == 200)
        {
            jobs.push_back(id);
        }
        keeper.wait(at.now_ms() + 1'000);
    }
    keeper.wait(at.now_ms() + finish_ms + 4'000);
    unsigned served = 0;
    unsigned idle = 0;
    for (unsigned i = 0; i < jobs.size(); ++i)
    {
        const auto state = state_of(at, i, jobs[i]);
        served += state == "succeeded" ? 1 : 0;
        std::uint64_t starts = 0;
        {
            const std::lock_guard guard(at.lock);
            starts = seen.jobs[jobs[i]].starts;
        }
        idle += starts == 0 ? 1 : 0;
        at.note("GET /brief/" + jobs[i] + ": '" + state + "', started " +
                std::to_string(starts) + " times");
    }
    at.note(std::to_string(sent) +
            " jobs sent later than recoveryS after the "
            "machines were back, " +
            std::to_string(jobs.size()) + " accepted, " +
            std::to_string(served) + " succeeded, " + std::to_string(idle) +
            " accepted and never started; " + keeper.summary());
    return 4 * served < sent ? 1 : 0;
}

/// No test: shows for 210 s how many rows of finished jobs the store holds.
auto run_growth(world& at, bool /*trouble*/) -> int
{
    at.configure(two_queues());
    for (int i = 0; i < 8; ++i)
    {
        at.add_worker("i-" + std::to_string(100 + i));
    }
    at.start_platform();
    if (!at.start_cells(3))
    {
        return 2;
    }
    constexpr std::int64_t end_ms = 210'000;
    constexpr std::int64_t interval_ms = 85;
    const auto began = at.now_ms();
    for (unsigned i = 0; at.now_ms() < end_ms; ++i)
    {
        submit(at, i, job_id(0x30, i));
        if (i % 120 == 0)
        {
            const std::lock_guard guard(at.lock);
            const auto rows = std::count_if(
                at.rows.begin(), at.rows.end(),
                [](const auto& row)
                {
                    return row.first[0] == "inbox" && row.first[2][0] != '@';
                });
            at.note(std::to_string(i + 1) + " jobs sent, " +
                    std::to_string(rows) + " of them in the inbox");
        }
        std::this_thread::sleep_for(
            std::chrono::milliseconds(std::max<std::int64_t>(
                1, began + (i + 1) * interval_ms - at.now_ms())));
    }
    return 0;
}

} // namespace review
