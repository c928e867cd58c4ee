/// @file
/// Messages between an instance and a worker; docs/worker-contract.md describes
/// their wire format.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/resources.hpp>

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::worker
{

/// @brief Fencing token of a worker's ownership; a higher epoch supersedes a
///        lower one.
using epoch_number = std::uint64_t;

/// @brief A worker, as described by the platform's list.
struct description
{
    worker_id id;
    /// Scheme, host, port and path prefix, as in "http://127.0.0.1:9001/w/3".
    std::string base_url;
    data_centre_name data_centre;
    std::string rack;
    resources capacity;
    /// Maximum number of concurrent requests and tasks, regardless of their
    /// resources.
    std::int64_t connections = 64;
    /// Whether the platform or the worker has reported that it is leaving.
    bool leaving = false;
};

/// @brief One attempt that runs on a worker.
struct running_attempt
{
    attempt_id attempt;
    workload_name workload;
    resources each;
    /// Empty for a caller's request.
    job_id job;
};

/// @brief A worker's answer to a fence request or an inspection.
struct state_report
{
    /// The highest epoch that the worker has accepted.
    epoch_number epoch = 0;
    /// Holder of that epoch: "instance#incarnation".
    std::string holder;
    bool leaving = false;
    /// All attempts that run on the worker.
    std::vector<running_attempt> running;
};

/// @brief State of one attempt at a worker.
enum class attempt_state
{
    /// Not started; the look-up revoked the attempt, so it never will start.
    revoked,
    running,
    finished,
    stopped
};

} // namespace pimentoshunt::worker
