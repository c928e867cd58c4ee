/// @file
/// A small deployment: the project's instances as processes, the platform and
/// its workers as stand-ins, and a client. Everything is on loopback addresses
/// and ends with the object.
#pragma once

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"
#include "worker.hpp"

#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review
{

struct instance_process
{
    std::string name;
    std::string front;
    std::string ready;
    std::string peer;
    std::string settings;
    pid_t pid = -1;
};

struct queue_facts
{
    std::string path = "/plates/";
    int most_attempts = 3;
    double stretch = 2.2;
};

class cell
{
  public:
    static constexpr const char* host = "press.example";

    /// @param binary  the project's program
    cell(std::string binary, record& seen);
    ~cell();
    cell(const cell&) = delete;
    auto operator=(const cell&) -> cell& = delete;

    auto add_worker(const worker_facts& facts) -> worker&;
    /// @brief Starts the store, the configuration, all workers and the
    /// instances, and waits until the cell takes and serves requests.
    /// @return false if it does not come up
    [[nodiscard]] auto start(const queue_facts& queue, int instances = 3)
        -> bool;

    auto signal_instance(std::size_t number, int signal) -> void;
    auto start_instance(std::size_t number) -> bool;

    /// @brief Hands a job in as a client does: again, at another instance,
    /// after no answer or a refusal.
    /// @return whether it was accepted
    auto submit(const std::string& id, const std::string& body) -> bool;
    /// @brief The state of a job as a client sees it: what one instance
    /// answers; empty without an answer of 200.
    [[nodiscard]] auto state(const std::string& id) -> std::string;

    [[nodiscard]] auto workers() -> std::vector<std::unique_ptr<worker>>&
    {
        return m_workers;
    }
    [[nodiscard]] auto instances() -> std::vector<instance_process>&
    {
        return m_instances;
    }

  private:
    std::string m_binary;
    record& m_seen;
    std::string m_folder;
    queue_facts m_queue;
    store m_store;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::vector<instance_process> m_instances;
    std::size_t m_turn = 0;
};

/// @brief Waits until @p holds or the time is over.
template<class Condition>
auto wait_until(milliseconds limit, Condition holds) -> bool
{
    const auto until = steady::now() + limit;
    while (!holds())
    {
        if (steady::now() >= until)
        {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

} // namespace review
