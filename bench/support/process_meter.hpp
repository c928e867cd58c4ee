/// @file
/// Reads the resource use of processes: processor time, memory, threads and
/// bytes sent over TCP connections.
#pragma once

#include <sys/types.h>
#include <unistd.h>

#include <array>        // array
#include <cstdint>      // int64_t
#include <cstdio>       // popen
#include <cstdlib>      // strtoll
#include <filesystem>   // directory_iterator
#include <fstream>      // ifstream
#include <memory>       // unique_ptr
#include <sstream>      // istringstream
#include <string>       // string
#include <system_error> // error_code
#include <vector>       // vector

namespace pimentoshunt::bench
{

/// @brief Sums over a set of processes since their start.
struct resource_usage
{
    double cpu_seconds = 0;
    /// Processor time of the threads of the actor system and of ZeroMQ only.
    double control_cpu_seconds = 0;
    std::int64_t resident_kb = 0;
    /// Bytes sent over connections that are open now.
    std::int64_t sent_bytes = 0;
    /// Bytes received over connections that are open now.
    std::int64_t received_bytes = 0;
    /// TCP segments sent with data: an upper bound for the number of messages.
    std::int64_t data_segments = 0;
    std::int64_t threads = 0;

    friend auto operator-(const resource_usage& left,
                          const resource_usage& right) -> resource_usage
    {
        return {left.cpu_seconds - right.cpu_seconds,
                left.control_cpu_seconds - right.control_cpu_seconds,
                left.resident_kb - right.resident_kb,
                left.sent_bytes - right.sent_bytes,
                left.received_bytes - right.received_bytes,
                left.data_segments - right.data_segments,
                left.threads - right.threads};
    }
};

namespace detail
{

/// @brief Returns the number that follows @p key in @p text, 0 if there is
/// none.
inline auto number_after(const std::string& text, const std::string& key)
    -> std::int64_t
{
    const auto place = text.find(key);
    return place == std::string::npos
               ? 0
               : std::strtoll(text.c_str() + place + key.size(), nullptr, 10);
}

/// @brief Processor seconds of a process or thread.
/// @param directory  directory of the process or thread below /proc
inline auto cpu_seconds(const std::string& directory) -> double
{
    std::ifstream in(directory + "/stat");
    std::string text;
    std::getline(in, text);
    const auto end_of_name = text.rfind(')');
    if (end_of_name == std::string::npos)
    {
        return 0;
    }
    std::istringstream fields(text.substr(end_of_name + 2));
    constexpr int fields_before_time = 11;
    std::string skipped;
    for (int i = 0; i < fields_before_time; ++i)
    {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/// @brief Processor seconds of a process's control threads, which are
/// recognised by their names.
inline auto control_cpu_seconds(const std::string& directory) -> double
{
    double total = 0;
    std::error_code ended;
    for (const auto& thread :
         std::filesystem::directory_iterator(directory + "/task", ended))
    {
        std::ifstream in(thread.path() / "comm");
        std::string name;
        std::getline(in, name);
        if (name.rfind("caf.", 0) == 0 || name.rfind("ZMQ", 0) == 0)
        {
            total += cpu_seconds(thread.path().string());
        }
    }
    return total;
}

inline auto whole_file(const std::string& path) -> std::string
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

/// @brief Adds the kernel's byte and segment counts of open connections, as
/// reported by ss.
inline auto add_connections(resource_usage& total,
                            const std::vector<pid_t>& pids) -> void
{
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> pipe(
        ::popen("ss -tinpHO 2>/dev/null", "r"), ::pclose);
    if (pipe == nullptr)
    {
        return;
    }
    std::vector<std::string> marks;
    marks.reserve(pids.size());
    for (const auto pid : pids)
    {
        marks.push_back("pid=" + std::to_string(pid) + ",");
    }
    std::array<char, 8192> buffer{};
    while (std::fgets(buffer.data(), buffer.size(), pipe.get()) != nullptr)
    {
        const std::string text(buffer.data());
        for (const auto& mark : marks)
        {
            if (text.find(mark) != std::string::npos)
            {
                total.sent_bytes += number_after(text, " bytes_sent:");
                total.received_bytes += number_after(text, " bytes_received:");
                total.data_segments += number_after(text, " data_segs_out:");
                break;
            }
        }
    }
}

} // namespace detail

/// @brief Returns the summed resource use of the processes @p pids.
/// @note Bytes of connections that were closed are not included.
[[nodiscard]] inline auto measure_usage(const std::vector<pid_t>& pids)
    -> resource_usage
{
    resource_usage total;
    for (const auto pid : pids)
    {
        const auto directory = "/proc/" + std::to_string(pid);
        const auto status = detail::whole_file(directory + "/status");
        total.cpu_seconds += detail::cpu_seconds(directory);
        total.control_cpu_seconds += detail::control_cpu_seconds(directory);
        total.resident_kb += detail::number_after(status, "VmRSS:");
        total.threads += detail::number_after(status, "Threads:");
    }
    detail::add_connections(total, pids);
    return total;
}

} // namespace pimentoshunt::bench
