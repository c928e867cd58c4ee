#include "soak.hpp"

#include "faults.hpp"
#include "instance_host.hpp"
#include "job_callers.hpp"
#include "platform.hpp"

#include "support/wait_until.hpp"

#include <algorithm>  // all_of
#include <cstdlib>    // getenv, mkdtemp
#include <filesystem> // remove_all
#include <fstream>    // ofstream
#include <memory>     // unique_ptr
#include <sstream>    // istringstream
#include <stdexcept>  // runtime_error
#include <utility>    // move

namespace pimentoshunt::soak
{
namespace
{

constexpr milliseconds ready_timeout{20'000};
constexpr milliseconds settle_timeout{20'000};

auto make_temporary_folder() -> std::string
{
    std::string path = "/tmp/pimentoshunt-soak-XXXXXX";
    if (::mkdtemp(path.data()) == nullptr)
    {
        throw std::runtime_error("cannot create a temporary folder below /tmp");
    }
    return path;
}

auto default_binary() -> std::string
{
    const auto* const build = std::getenv("PIMENTOSHUNT_BUILD");
    return (build == nullptr ? std::filesystem::read_symlink("/proc/self/exe")
                                   .parent_path()
                                   .string()
                             : std::string(build)) +
           "/pimentoshunt";
}

class soak_run
{
  public:
    explicit soak_run(const soak_options& options)
        : m_options(options), m_folder(make_temporary_folder()),
          m_platform(options.workers, options.seed)
    {
        const host_options shared{
            options.binary.empty() ? default_binary() : options.binary,
            m_folder, m_platform.store_port(), m_platform.approval_port()};
        for (std::size_t i = 0; i < options.instances; ++i)
        {
            m_instances.push_back(std::make_unique<instance_host>(i, shared));
        }
    }

    auto run() -> soak_report
    {
        start_instances();
        start_callers();
        m_record.faults = run_faults(m_platform, m_instances, m_options.seed,
                                     m_options.fault_duration);
        soak_report out;
        out.settled_after = settle();
        finish();
        fill_report(out);
        return out;
    }

  private:
    auto start_instances() -> void
    {
        for (auto& instance : m_instances)
        {
            instance->start();
        }
        const auto all_ready = [this]
        {
            return std::all_of(m_instances.begin(), m_instances.end(),
                               [](const auto& instance)
                               {
                                   return instance->is_ready();
                               });
        };
        if (!testing::wait_until(all_ready, ready_timeout, milliseconds(100)))
        {
            throw std::runtime_error("not all instances became ready within 20 "
                                     "s; log of the first: " +
                                     m_instances.front()->log());
        }
    }

    auto start_callers() -> void
    {
        std::vector<int> ports;
        for (const auto& instance : m_instances)
        {
            ports.push_back(instance->caller_port());
        }
        for (std::size_t i = 0; i < m_options.callers; ++i)
        {
            m_callers.push_back(
                std::make_unique<job_caller>(ports, m_options.seed * 1'000 + i,
                                             m_options.mean_job_interval));
        }
    }

    auto settle() -> milliseconds
    {
        const auto from = boot_clock::now();
        for (auto& caller : m_callers)
        {
            caller->settle();
        }
        const auto is_settled = [this]
        {
            return std::all_of(m_callers.begin(), m_callers.end(),
                               [](const auto& caller)
                               {
                                   return caller->is_settled();
                               });
        };
        static_cast<void>(testing::wait_until(is_settled, settle_timeout));
        return std::chrono::duration_cast<milliseconds>(boot_clock::now() -
                                                        from);
    }

    auto finish() -> void
    {
        for (auto& caller : m_callers)
        {
            caller->finish(m_record.jobs);
        }
        for (auto& instance : m_instances)
        {
            instance->process().kill();
        }
        m_platform.finish(m_record);
    }

    auto fill_report(soak_report& out) -> void
    {
        out.violations = check(m_record);
        out.jobs = m_record.jobs.size();
        for (const auto& [id, job] : m_record.jobs)
        {
            out.accepted += job.accepted_at() ? 1 : 0;
        }
        out.starts = m_record.runs.size();
        out.takeovers = m_record.takeovers.size();
        out.faults = m_record.faults.size();
        if (out.violations.empty())
        {
            std::filesystem::remove_all(m_folder);
            return;
        }
        out.folder = m_folder;
        for (auto& item : out.violations)
        {
            item.text += log_lines(item.job);
        }
        out.timeline = timeline();
        for (const auto& instance : m_instances)
        {
            std::ofstream(m_folder + "/" + instance->name() + ".log")
                << instance->log();
        }
        std::ofstream(m_folder + "/story") << out.timeline;
    }

    /// Lines of all logs that contain the ID of a job.
    auto log_lines(const std::string& job) const -> std::string
    {
        std::string out;
        for (const auto& instance : m_instances)
        {
            std::istringstream lines(instance->log());
            for (std::string line; std::getline(lines, line);)
            {
                if (line.find(job) != std::string::npos)
                {
                    out += "\n    " + instance->name() + ": " + line;
                }
            }
        }
        return out;
    }

    /// Faults and changes of owner in order of time.
    auto timeline() const -> std::string
    {
        std::multimap<time_point, std::string> lines;
        for (const auto& fault : m_record.faults)
        {
            lines.emplace(fault.from, fault.subject + ": " + fault.name +
                                          " until " + wall_time(fault.until));
        }
        for (const auto& item : m_record.takeovers)
        {
            lines.emplace(item.at, "epoch " + std::to_string(item.epoch) +
                                       ": " + item.instance);
        }
        std::string out;
        for (const auto& [at, line] : lines)
        {
            out += wall_time(at) + " " + line + "\n";
        }
        return out;
    }

    const soak_options m_options;
    const std::string m_folder;
    soak_record m_record;
    platform m_platform;
    instance_hosts m_instances;
    std::vector<std::unique_ptr<job_caller>> m_callers;
};

} // namespace

auto soak_report::summary() const -> std::string
{
    return std::to_string(jobs) + " jobs, " + std::to_string(accepted) +
           " accepted, " + std::to_string(starts) + " starts, " +
           std::to_string(takeovers) + " takeovers, " + std::to_string(faults) +
           " faults, settled after " + std::to_string(settled_after.count()) +
           " ms, " + std::to_string(violations.size()) + " violations";
}

auto run_soak(const soak_options& options) -> soak_report
{
    return soak_run(options).run();
}

} // namespace pimentoshunt::soak
