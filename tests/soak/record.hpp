/// @file
/// Events of a soak as recorded at the workers, at the store and by the callers.
/// These records are the only input of the checker.
#pragma once

#include "platform_wire.hpp"

#include <algorithm> // find_if
#include <cstdint>   // uint64_t
#include <map>       // map
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

namespace pimentoshunt::soak
{

/// @brief One run of a task at a worker.
struct run_record
{
    std::string task;
    std::uint64_t run = 0;
    std::string worker;
    std::uint64_t epoch = 0;
    /// The start order was delayed by a fault before the worker received it.
    bool delayed = false;
    time_point started;
    /// Resources in use on the worker at the start, including this run, and its
    /// capacity.
    resources used;
    resources capacity;
    /// "done", "failed", "stopped" or "lapsed" (lease expired); empty while the
    /// task runs.
    std::string outcome;
    time_point ended;
    /// An owner reported the end as durable, and the worker's lease had not
    /// expired between the end and that report.
    bool end_durable = false;
    time_point end_durable_at;
};

/// @brief A change of owner, as committed to the store.
struct takeover_record
{
    time_point at;
    std::uint64_t epoch = 0;
    std::string instance;
};

/// @brief One answer to a caller; status 0: no answer.
struct answer_record
{
    time_point sent;
    time_point at;
    std::string instance;
    int status = 0;
    std::string state;
};

/// @brief A job with all answers that its caller received.
struct job_record
{
    std::string id;
    std::string path;
    std::string payload;
    std::vector<step_facts> steps;
    std::vector<answer_record> submissions;
    std::vector<answer_record> cancels;
    std::vector<answer_record> lookups;

    [[nodiscard]] auto accepted_at() const -> std::optional<time_point>;
    /// When a cancellation was first acknowledged: with success, or with the answer
    /// that there is no such job.
    [[nodiscard]] auto cancelled_at() const -> std::optional<time_point>;
};

/// @brief An injected fault and what it affected.
struct fault_record
{
    std::string name;
    /// An instance's name, alone or followed by " link"; "workers"; or "store"
    /// followed by the kind of fault.
    std::string subject;
    time_point from;
    time_point until;
};

/// @brief All events of a soak.
struct soak_record
{
    time_point began;
    std::vector<run_record> runs;
    std::vector<takeover_record> takeovers;
    std::map<std::string, job_record> jobs;
    std::vector<fault_record> faults;
};

inline auto is_success(int status) -> bool
{
    return status >= 200 && status < 300;
}

/// @brief Time of the first answer that @p is_wanted holds for.
template<class Predicate>
auto first_answer(const std::vector<answer_record>& answers,
                  Predicate is_wanted) -> std::optional<time_point>
{
    const auto found = std::find_if(answers.begin(), answers.end(), is_wanted);
    return found == answers.end() ? std::nullopt : std::optional(found->at);
}

inline auto job_record::accepted_at() const -> std::optional<time_point>
{
    return first_answer(submissions,
                        [](const answer_record& answer)
                        {
                            return is_success(answer.status);
                        });
}

inline auto job_record::cancelled_at() const -> std::optional<time_point>
{
    return first_answer(cancels,
                        [](const answer_record& answer)
                        {
                            constexpr int gone = 410;
                            return answer.status == gone ||
                                   is_success(answer.status);
                        });
}

} // namespace pimentoshunt::soak
