/// @file
/// In-memory worker agents for unit tests, without latency. The test decides
/// which calls fail and when tasks end.
#pragma once

#include <pimentoshunt/worker/port.hpp>

#include <map>           // map
#include <mutex>         // mutex
#include <string>        // string
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

namespace pimentoshunt::tests
{

/// @brief Models worker::port, with an agent for each base URL that is used;
/// thread-safe. Tasks end only by calls of the test or a stop.
class fake_worker
{
  public:
    /// @brief While unreachable, calls to @p url have no effect and fail with
    /// worker::not_sent.
    auto set_unreachable(const std::string& url, bool value) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_agents[url].unreachable = value;
    }

    /// @brief The next @p count starts take effect but fail with
    /// worker::outcome_unknown.
    auto lose_start_replies(int count) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_lost_replies = count;
    }

    /// @brief The next @p count starts have no effect and fail with
    /// worker::outcome_unknown.
    auto lose_start_requests(int count) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_lost_requests = count;
    }

    /// @brief Ends a running task, or records the end of a request, with the exit
    /// code @p exit.
    auto finish(const std::string& url, const attempt_id& attempt, int exit)
        -> void
    {
        end(url, attempt, {worker::attempt_state::finished, exit});
    }

    /// @brief Ends a running task as the expiry of its lease does.
    auto expire_lease(const std::string& url, const attempt_id& attempt) -> void
    {
        end(url, attempt, {worker::attempt_state::stopped, std::nullopt});
    }

    /// @brief Number of running attempts of a task on all workers.
    [[nodiscard]] auto count_running(const job_id& job, std::int64_t task) const
        -> int
    {
        const std::lock_guard lock(m_mutex);
        int count = 0;
        for (const auto& [url, agent] : m_agents)
        {
            for (const auto& [id, item] : agent.running)
            {
                count += item.job == job && item.task == task ? 1 : 0;
            }
        }
        return count;
    }

    [[nodiscard]] auto fence(const std::string& url, worker::epoch_number epoch,
                             const std::string& holder)
        -> result<worker::fence_outcome>
    {
        const std::lock_guard lock(m_mutex);
        auto& agent = m_agents[url];
        if (agent.unreachable)
        {
            return not_sent(url);
        }
        const bool accepted = epoch > agent.epoch ||
                              (epoch == agent.epoch && holder == agent.holder);
        if (accepted)
        {
            agent.epoch = epoch;
            agent.holder = holder;
        }
        return worker::fence_outcome{accepted, report(agent)};
    }

    [[nodiscard]] auto state(const std::string& url)
        -> result<worker::state_report>
    {
        const std::lock_guard lock(m_mutex);
        auto& agent = m_agents[url];
        if (agent.unreachable)
        {
            return not_sent(url);
        }
        return report(agent);
    }

    [[nodiscard]] auto start_task(const std::string& url,
                                  const worker::task_start& start)
        -> result<worker::start_outcome>
    {
        const std::lock_guard lock(m_mutex);
        auto& agent = m_agents[url];
        if (agent.unreachable)
        {
            return not_sent(url);
        }
        if (m_lost_requests > 0)
        {
            --m_lost_requests;
            return unknown(url);
        }
        const auto refused = find_refusal(agent, start);
        if (!refused)
        {
            agent.running[start.attempt] = {start.attempt, start.job,
                                            start.task, start.workload,
                                            start.each};
            agent.partitions_of[start.attempt] = start.partition;
        }
        if (m_lost_replies > 0)
        {
            --m_lost_replies;
            return unknown(url);
        }
        return worker::start_outcome{refused};
    }

    [[nodiscard]] auto renew(const std::string& url,
                             const std::vector<attempt_id>& attempts,
                             milliseconds) -> result<std::vector<attempt_id>>
    {
        const std::lock_guard lock(m_mutex);
        auto& agent = m_agents[url];
        if (agent.unreachable)
        {
            return not_sent(url);
        }
        std::vector<attempt_id> expired;
        for (const auto& attempt : attempts)
        {
            if (agent.running.count(attempt) == 0)
            {
                expired.push_back(attempt);
            }
        }
        return expired;
    }

    [[nodiscard]] auto partition_fence(const std::string& url,
                                       const std::string& partition,
                                       std::uint64_t epoch)
        -> result<worker::partition_fence_outcome>
    {
        const std::lock_guard lock(m_mutex);
        auto& agent = m_agents[url];
        if (agent.unreachable)
        {
            return not_sent(url);
        }
        auto& highest_epoch = agent.partitions[partition];
        worker::partition_fence_outcome out;
        out.accepted = epoch >= highest_epoch;
        if (!out.accepted)
        {
            return out;
        }
        highest_epoch = epoch;
        for (const auto& [id, item] : agent.running)
        {
            if (agent.partitions_of[id] == partition)
            {
                out.running.push_back(item);
            }
        }
        return out;
    }

    [[nodiscard]] auto revoke(const std::string& url, const attempt_id& attempt)
        -> result<worker::attempt_report>
    {
        const std::lock_guard lock(m_mutex);
        auto& agent = m_agents[url];
        if (agent.unreachable)
        {
            return not_sent(url);
        }
        if (agent.running.count(attempt) != 0)
        {
            return worker::attempt_report{worker::attempt_state::running,
                                          std::nullopt};
        }
        const auto ended = agent.ended.find(attempt);
        if (ended != agent.ended.end())
        {
            return ended->second;
        }
        agent.revoked.insert(attempt);
        return worker::attempt_report{worker::attempt_state::revoked,
                                      std::nullopt};
    }

    [[nodiscard]] auto stop(const std::string& url, const attempt_id& attempt)
        -> result<void>
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_agents[url].unreachable)
            {
                return not_sent(url);
            }
        }
        expire_lease(url, attempt);
        return {};
    }

    [[nodiscard]] auto checkpoint(const std::string& url,
                                  const attempt_id& attempt) -> result<void>
    {
        return stop(url, attempt);
    }

    [[nodiscard]] auto throttle(const std::string& url, const attempt_id&, int)
        -> result<void>
    {
        const std::lock_guard lock(m_mutex);
        if (m_agents[url].unreachable)
        {
            return not_sent(url);
        }
        return {};
    }

  private:
    struct agent_state
    {
        bool unreachable = false;
        worker::epoch_number epoch = 0;
        std::string holder;
        std::map<std::string, std::uint64_t> partitions;
        std::unordered_map<attempt_id, worker::running_task> running;
        std::unordered_map<attempt_id, std::string> partitions_of;
        std::unordered_map<attempt_id, worker::attempt_report> ended;
        std::unordered_set<attempt_id> revoked;
    };

    static auto not_sent(const std::string& url) -> leaf::error_id
    {
        return leaf::new_error(error{error_kind::worker, worker::not_sent, url,
                                     "the worker is unreachable",
                                     "try another worker"});
    }

    static auto unknown(const std::string& url) -> leaf::error_id
    {
        return leaf::new_error(error{error_kind::worker,
                                     worker::outcome_unknown, url,
                                     "the reply to the start is lost",
                                     "look the attempt up at the worker"});
    }

    static auto report(const agent_state& agent) -> worker::state_report
    {
        worker::state_report out{agent.epoch, agent.holder, false, {}};
        for (const auto& [id, item] : agent.running)
        {
            out.running.push_back({id, item.workload, item.each, item.job});
        }
        return out;
    }

    /// Why the agent refuses the start; empty: it accepts the start.
    static auto find_refusal(agent_state& agent,
                             const worker::task_start& start)
        -> std::optional<worker::refusal>
    {
        if (start.epoch != agent.epoch ||
            start.partition_epoch < agent.partitions[start.partition])
        {
            return worker::refusal::fenced;
        }
        if (agent.revoked.count(start.attempt) != 0)
        {
            return worker::refusal::revoked;
        }
        if (agent.running.count(start.attempt) != 0 ||
            agent.ended.count(start.attempt) != 0)
        {
            return worker::refusal::duplicate;
        }
        return std::nullopt;
    }

    auto end(const std::string& url, const attempt_id& attempt,
             worker::attempt_report end_report) -> void
    {
        const std::lock_guard lock(m_mutex);
        auto& agent = m_agents[url];
        agent.running.erase(attempt);
        agent.ended.emplace(attempt, end_report);
    }

    mutable std::mutex m_mutex;
    std::map<std::string, agent_state> m_agents;
    int m_lost_replies = 0;
    int m_lost_requests = 0;
};

static_assert(worker::port<fake_worker>);

} // namespace pimentoshunt::tests
