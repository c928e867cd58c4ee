/// @file
/// Child process of a test, signalled and ended by its process id.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <sys/types.h>

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::testing
{

/// @brief One child process. The destructor ends it with SIGKILL; the kernel
/// kills it if the test process ends first. Not thread-safe.
class process
{
  public:
    /// @brief Creates an object without a process.
    process() = default;

    /// @brief Starts @p program with its output redirected to a temporary file.
    /// @throw std::runtime_error if the process cannot be created. A failed
    /// exec ends the child with status 127 instead.
    process(const std::string& program,
            const std::vector<std::string>& arguments);

    process(process&& other) noexcept;
    auto operator=(process&& other) noexcept -> process&;
    process(const process&) = delete;
    auto operator=(const process&) -> process& = delete;
    ~process();

    /// @brief Returns the process id, or 0 once the end has been observed.
    [[nodiscard]] auto pid() const -> pid_t;
    [[nodiscard]] auto is_running() -> bool;

    /// @brief Sends SIGKILL and waits for the end. Does nothing without a
    /// process.
    auto kill() -> void;
    /// @brief Sends SIGTERM.
    auto terminate() -> void;
    /// @brief Sends SIGSTOP.
    auto pause() -> void;
    /// @brief Sends SIGCONT.
    auto resume() -> void;

    /// @brief Waits for the end.
    /// @return the exit status, 128 plus the signal's number if a signal ended
    /// the process, or an empty value if it is still running after @p bound
    auto wait(milliseconds bound) -> std::optional<int>;

    /// @brief Returns all output to standard output and standard error so far.
    [[nodiscard]] auto output() const -> std::string;

  private:
    auto send(int signal) -> void;
    auto kill_and_remove_output() -> void;

    pid_t m_pid = 0;
    std::optional<int> m_status;
    std::string m_output;
};

/// @brief Creates an empty temporary file, which the caller removes.
/// @return its path
/// @throw std::runtime_error if the file cannot be created
[[nodiscard]] auto temporary_file() -> std::string;

/// @brief Returns the contents of a file; empty if it cannot be read.
[[nodiscard]] auto read_file(const std::string& path) -> std::string;

} // namespace pimentoshunt::testing
