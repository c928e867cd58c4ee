/// @file
/// What the stand-ins see: written to record.txt and used by the checks.
#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <mutex>
#include <string>
#include <vector>

namespace review
{

using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// @brief One thing that a client, a worker or the disruption did.
struct event
{
    /// Milliseconds since the start of the case.
    double at = 0;
    /// start, end, noted, refused, crash, up, submit, answer, state, trouble
    std::string kind;
    std::string worker;
    std::string task;
    std::uint64_t number = 0;
    std::string text;
};

/// @brief Thread-safe list of events.
class record
{
  public:
    explicit record(const std::string& path)
        : m_began(steady::now()), m_file(std::fopen(path.c_str(), "w"))
    {
    }

    ~record()
    {
        if (m_file != nullptr)
        {
            std::fclose(m_file);
        }
    }

    record(const record&) = delete;
    auto operator=(const record&) -> record& = delete;

    [[nodiscard]] auto now() const -> double
    {
        return std::chrono::duration<double, std::milli>(steady::now() -
                                                         m_began)
            .count();
    }

    /// @brief Most events of a kind that are written to the file; the checks
    /// get all of them.
    auto limit_lines(std::size_t most) -> void
    {
        m_most_lines = most;
    }

    auto add(const std::string& kind, const std::string& worker,
             const std::string& task, std::uint64_t number,
             const std::string& text) -> void
    {
        const std::lock_guard lock(m_mutex);
        event item{now(), kind, worker, task, number, text};
        if (m_file != nullptr && m_lines < m_most_lines)
        {
            ++m_lines;
            std::fprintf(m_file, "%10.1f ms  %-8s %-8s %-24s %8lu  %s\n",
                         item.at, kind.c_str(), worker.c_str(), task.c_str(),
                         static_cast<unsigned long>(number), text.c_str());
            std::fflush(m_file);
        }
        m_events.push_back(std::move(item));
    }

    /// @brief Writes a line that is always kept, and prints it.
    auto say(const std::string& text) -> void
    {
        const std::lock_guard lock(m_mutex);
        std::printf("%10.1f ms  %s\n", now(), text.c_str());
        std::fflush(stdout);
        if (m_file != nullptr)
        {
            std::fprintf(m_file, "%10.1f ms  %s\n", now(), text.c_str());
            std::fflush(m_file);
        }
    }

    [[nodiscard]] auto events() const -> std::vector<event>
    {
        const std::lock_guard lock(m_mutex);
        return m_events;
    }

  private:
    steady::time_point m_began;
    std::FILE* m_file;
    std::size_t m_most_lines = 20'000;
    std::size_t m_lines = 0;
    mutable std::mutex m_mutex;
    std::vector<event> m_events;
};

} // namespace review
