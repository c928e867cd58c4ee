#include "process.hpp"

#include "wait_until.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <condition_variable> // condition_variable
#include <csignal>            // kill
#include <cstdio>             // remove
#include <cstdlib>            // mkstemp
#include <fstream>            // ifstream
#include <functional>         // function
#include <future>             // packaged_task
#include <iterator>           // istreambuf_iterator
#include <mutex>              // mutex
#include <stdexcept>          // runtime_error
#include <thread>             // thread
#include <utility>            // move, exchange

namespace pimentoshunt::testing
{
namespace
{

constexpr int signal_status_base = 128;
constexpr int exec_failed_status = 127;

/// Forks all children on one thread that lives as long as the test process. The
/// kernel sends the parent-death signal when the forking thread ends, so a
/// child forked by a short-lived thread would be killed too early.
class spawner
{
  public:
    static auto instance() -> spawner&
    {
        // Never destroyed, because its thread runs until the process ends.
        static auto* const singleton = new spawner;
        return *singleton;
    }

    auto run(std::function<pid_t()> start) -> pid_t
    {
        std::packaged_task<pid_t()> task(std::move(start));
        auto done = task.get_future();
        {
            const std::lock_guard lock(m_mutex);
            m_task = &task;
            m_wakeup.notify_all();
        }
        return done.get();
    }

  private:
    spawner()
    {
        std::thread(
            [this]
            {
                serve();
            })
            .detach();
    }

    auto serve() -> void
    {
        std::unique_lock lock(m_mutex);
        while (true)
        {
            m_wakeup.wait(lock,
                          [this]
                          {
                              return m_task != nullptr;
                          });
            auto& task = *std::exchange(m_task, nullptr);
            task();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wakeup;
    std::packaged_task<pid_t()>* m_task = nullptr;
};

/// Serializes starts, because the spawner stores a single task.
auto start_mutex() -> std::mutex&
{
    static std::mutex mutex;
    return mutex;
}

/// Replaces the forked child by the program. Uses only async-signal-safe calls:
/// other threads of the test may have held locks at the fork.
[[noreturn]] auto exec_program(char* const* arguments, int output) -> void
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    sigset_t empty_signal_set;
    ::sigemptyset(&empty_signal_set);
    ::sigprocmask(SIG_SETMASK, &empty_signal_set, nullptr);
    ::execv(arguments[0], arguments);
    ::_exit(exec_failed_status);
}

auto fork_child(char* const* arguments, int output) -> pid_t
{
    const auto child = ::fork();
    if (child == 0)
    {
        exec_program(arguments, output);
    }
    return child;
}

auto decode_exit_status(int status) -> int
{
    return WIFEXITED(status) ? WEXITSTATUS(status)
                             : signal_status_base + WTERMSIG(status);
}

} // namespace

auto temporary_file() -> std::string
{
    std::string path = "/tmp/pimentoshunt-test-XXXXXX";
    const int descriptor = ::mkstemp(path.data());
    if (descriptor < 0)
    {
        throw std::runtime_error("cannot create a temporary file in /tmp");
    }
    ::close(descriptor);
    return path;
}

auto read_file(const std::string& path) -> std::string
{
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

process::process(const std::string& program,
                 const std::vector<std::string>& arguments)
    : m_output(temporary_file())
{
    std::vector<std::string> words{program};
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    pointers.reserve(words.size() + 1);
    for (auto& word : words)
    {
        pointers.push_back(word.data());
    }
    pointers.push_back(nullptr);
    const int output =
        ::open(m_output.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    {
        const std::lock_guard lock(start_mutex());
        m_pid = spawner::instance().run(
            [&]
            {
                return fork_child(pointers.data(), output);
            });
    }
    ::close(output);
    if (m_pid < 0)
    {
        throw std::runtime_error("cannot start " + program);
    }
}

process::process(process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, 0)), m_status(other.m_status),
      m_output(std::exchange(other.m_output, {}))
{
}

auto process::operator=(process&& other) noexcept -> process&
{
    if (this != &other)
    {
        kill_and_remove_output();
        m_pid = std::exchange(other.m_pid, 0);
        m_status = other.m_status;
        m_output = std::exchange(other.m_output, {});
    }
    return *this;
}

process::~process()
{
    kill_and_remove_output();
}

auto process::pid() const -> pid_t
{
    return m_pid;
}

auto process::is_running() -> bool
{
    return m_pid != 0 && !wait(milliseconds{0}).has_value();
}

auto process::kill() -> void
{
    if (m_pid == 0)
    {
        return;
    }
    send(SIGKILL);
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_status = decode_exit_status(status);
    m_pid = 0;
}

auto process::terminate() -> void
{
    send(SIGTERM);
}

auto process::pause() -> void
{
    send(SIGSTOP);
}

auto process::resume() -> void
{
    send(SIGCONT);
}

auto process::wait(milliseconds bound) -> std::optional<int>
{
    const auto ended = [this]
    {
        int status = 0;
        if (m_pid != 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid)
        {
            m_status = decode_exit_status(status);
            m_pid = 0;
        }
        return m_pid == 0;
    };
    return wait_until(ended, bound) ? m_status : std::nullopt;
}

auto process::output() const -> std::string
{
    return read_file(m_output);
}

auto process::send(int signal) -> void
{
    if (m_pid != 0)
    {
        ::kill(m_pid, signal);
    }
}

auto process::kill_and_remove_output() -> void
{
    kill();
    if (!m_output.empty())
    {
        std::remove(m_output.c_str());
    }
}

} // namespace pimentoshunt::testing
