/// @file
/// Callers that send seeded requests to the system and record each request with
/// its response, as input of the checker.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <memory>  // unique_ptr
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::testing
{

/// @brief Value of the response header "Pimentoshunt-Ran": whether the request
/// was executed.
enum class ran_header
{
    /// No response, or one without the header.
    absent,
    yes,
    no,
    unknown
};

/// @brief Length and hash of a body, recorded in place of the body.
struct body_digest
{
    std::size_t size = 0;
    std::uint64_t hash = 0;

    friend auto operator==(const body_digest&, const body_digest&)
        -> bool = default;
};

/// @brief Computes the length and hash of a body.
[[nodiscard]] auto digest_of(const std::string& body) -> body_digest;

/// @brief One request and its response, as seen by the caller.
struct call_record
{
    std::string request_id;
    std::string workload;
    /// Whether the plan allows a request of this workload to run more than
    /// once.
    bool idempotent = false;
    /// Empty if the request has no idempotency key.
    std::string idempotency_key;
    time_point sent_at;
    time_point answered_at;
    /// Whether a complete response was received. Otherwise the caller cannot
    /// know whether the request ran.
    bool answered = false;
    /// Error text of the HTTP library; empty if a response was received.
    std::string transport_error;
    int status = 0;
    ran_header ran = ran_header::absent;
    bool has_retry_after = false;
    /// Value of the response header "X-Standin-Worker".
    std::string worker;
    body_digest sent;
    body_digest received;
};

/// @brief Parameters of one request.
struct call_spec
{
    std::string request_id;
    std::string workload = "desk";
    bool idempotent = false;
    std::string idempotency_key;
    /// Path below the workload's path, with the query; "?run_ms=50" sets the
    /// run time on the worker.
    std::string subpath = "x";
    std::string body;
    milliseconds timeout{30'000};
};

/// @brief Sends one request over a new connection and waits for the response.
/// @param port  port of an instance for callers, or of a proxy in front of it
[[nodiscard]] auto call(int port, const call_spec& spec) -> call_record;

/// @brief Persistent connections of one caller, one to each port.
class caller_connections
{
  public:
    explicit caller_connections(milliseconds timeout);
    ~caller_connections();
    caller_connections(const caller_connections&) = delete;
    auto operator=(const caller_connections&) -> caller_connections& = delete;

    /// @brief Sends one request and waits for the response.
    auto call(int port, const call_spec& spec) -> call_record;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// @brief Parameters of a load of many concurrent callers.
struct caller_options
{
    /// Ports of the instances for callers; each request goes to a random one.
    std::vector<int> ports;
    std::uint64_t seed = 1;
    /// Prefix of each request id; loads of one test use different prefixes to
    /// keep the ids unique.
    std::string id_prefix = "c";
    std::size_t callers = 8;
    std::size_t requests_per_caller = 50;
    std::string workload = "desk";
    bool idempotent = false;
    /// Whether each request has an idempotency key of its own.
    bool with_keys = false;
    std::size_t min_body_size = 0;
    std::size_t max_body_size = 8192;
    milliseconds min_run_time{1};
    milliseconds max_run_time{20};
    /// Time between a response and the caller's next request.
    milliseconds pause{0};
    milliseconds timeout{30'000};
};

/// @brief Runs closed-loop callers, each on a thread of its own, and returns
/// once each request has a response or has failed.
/// @return one record per request, in no particular order
[[nodiscard]] auto run_callers(const caller_options& options)
    -> std::vector<call_record>;

/// @brief Returns a body of @p size bytes: @p id and a line feed, then seeded
/// random bytes. The body is longer if @p id does not fit.
[[nodiscard]] auto make_body(const std::string& id, std::size_t size,
                             std::uint64_t seed) -> std::string;

} // namespace pimentoshunt::testing
