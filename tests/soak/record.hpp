/// @file
/// What a soak has seen: at the workers, at the store and by its callers. The
/// checker reads nothing else.
#pragma once

#include "platform_wire.hpp"

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::soak
{

/// @brief One run of a task at a worker.
struct run_record
{
    std::string task;
    std::uint64_t run = 0;
    std::string worker;
    std::uint64_t epoch = 0;
    /// The order was held up on its way.
    bool delayed = false;
    time_point started;
    /// What ran there at the start, this run included, and what there is.
    resources used;
    resources capacity;
    /// Empty while it runs.
    std::string outcome;
    time_point ended;
    /// The end was taken note of while the worker's lease held all along.
    bool end_durable = false;
    time_point end_durable_at;
};

/// @brief A change of owner, as the store took it.
struct takeover_record
{
    time_point at;
    std::uint64_t epoch = 0;
    std::string instance;
};

/// @brief One answer to a caller; status 0: none.
struct answer_record
{
    time_point sent;
    time_point at;
    std::string instance;
    int status = 0;
    std::string state;
};

/// @brief A job, as its caller knows it.
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
    [[nodiscard]] auto cancelled_at() const -> std::optional<time_point>;
};

/// @brief A fault and whom it hit.
struct fault_record
{
    std::string name;
    /// Begins with an instance's name, "store" or "workers".
    std::string subject;
    time_point from;
    time_point until;
};

/// @brief All that a soak has seen.
struct soak_record
{
    time_point began;
    std::vector<run_record> runs;
    std::vector<takeover_record> takeovers;
    std::map<std::string, job_record> jobs;
    std::vector<fault_record> faults;
};

inline auto first_success(const std::vector<answer_record>& answers)
    -> std::optional<time_point>
{
    for (const auto& answer : answers)
    {
        if (answer.status >= 200 && answer.status < 300)
        {
            return answer.at;
        }
    }
    return std::nullopt;
}

inline auto job_record::accepted_at() const -> std::optional<time_point>
{
    return first_success(submissions);
}

inline auto job_record::cancelled_at() const -> std::optional<time_point>
{
    return first_success(cancels);
}

} // namespace pimentoshunt::soak
