/// @file
/// A child process of a test: started, signalled and ended by its id.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <sys/types.h>

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::testing
{

/// @brief One child process; the destructor ends it with SIGKILL. It also
/// dies with the test process.
class process
{
  public:
    /// @brief No process.
    process() = default;

    /// @brief Starts @p program; its output goes to a temporary file.
    /// @throw std::runtime_error when it cannot be started
    process(const std::string& program,
            const std::vector<std::string>& arguments);

    process(process&& other) noexcept;
    auto operator=(process&& other) noexcept -> process&;
    process(const process&) = delete;
    auto operator=(const process&) -> process& = delete;
    ~process();

    /// @brief The id, or 0 once the process was waited for.
    [[nodiscard]] auto pid() const -> pid_t;
    [[nodiscard]] auto is_running() -> bool;

    /// @brief SIGKILL, and waits for the end.
    auto kill() -> void;
    /// @brief SIGTERM.
    auto terminate() -> void;
    /// @brief SIGSTOP.
    auto pause() -> void;
    /// @brief SIGCONT.
    auto resume() -> void;

    /// @brief Waits for the end.
    /// @return the exit status, 128 and the signal's number when killed by a
    /// signal, or nothing when it still runs after @p bound
    auto wait(milliseconds bound) -> std::optional<int>;

    /// @brief What it has written to standard output and error so far.
    [[nodiscard]] auto output() const -> std::string;

  private:
    auto send(int signal) -> void;
    auto kill_and_remove_output() -> void;

    pid_t m_pid = 0;
    std::optional<int> m_status;
    std::string m_output;
};

/// @brief An empty temporary file; the caller removes it.
[[nodiscard]] auto temporary_file() -> std::string;

/// @brief The whole text of a file; empty when it cannot be read.
[[nodiscard]] auto read_file(const std::string& path) -> std::string;

} // namespace pimentoshunt::testing
