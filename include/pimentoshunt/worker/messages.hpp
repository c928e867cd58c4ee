/// @file
/// What is said between an instance and a worker; the wire form is described
/// in docs/worker-contract.md.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/identifier.hpp>
#include <pimentoshunt/resources.hpp>

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::worker
{

/// @brief The fencing token of a worker's ownership; a higher one wins.
using epoch_number = std::uint64_t;

/// @brief A worker as the platform lists it.
struct description
{
    worker_id id;
    /// "http://127.0.0.1:9001/w/3": scheme, host, port and path prefix.
    std::string base_url;
    data_centre_name data_centre;
    std::string rack;
    resources capacity;
    /// Most requests and tasks at once, whatever they take.
    std::int64_t connections = 64;
    /// Set once the platform or the worker itself says that it is leaving.
    bool leaving = false;
};

/// @brief One attempt that a worker holds.
struct running_attempt
{
    attempt_id attempt;
    workload_name workload;
    resources each;
    /// Empty for a caller's request.
    job_id job;
};

/// @brief A worker's answer to a fence or an inspection.
struct state_report
{
    /// The highest epoch that the worker has accepted.
    epoch_number epoch = 0;
    /// Who holds that epoch: "instance#incarnation".
    std::string holder;
    bool leaving = false;
    /// Everything that runs now; complete, for this worker.
    std::vector<running_attempt> running;
};

/// @brief What a worker knows of one attempt.
enum class attempt_state
{
    /// Never started and, since the look-up revoked it, never will.
    revoked,
    running,
    finished,
    stopped
};

} // namespace pimentoshunt::worker
