/// @file
/// Seeded callers of the system, and what each was told.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <memory>  // unique_ptr
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::testing
{

/// @brief What an answer says of the request's run.
enum class ran_header
{
    /// No answer, or one without the header.
    absent,
    yes,
    no,
    unknown
};

/// @brief Length and hash of a body, in place of the body.
struct body_digest
{
    std::size_t size = 0;
    std::uint64_t hash = 0;

    friend auto operator==(const body_digest&, const body_digest&)
        -> bool = default;
};

[[nodiscard]] auto digest_of(const std::string& body) -> body_digest;

/// @brief One request as its caller saw it.
struct call_record
{
    std::string request_id;
    std::string workload;
    /// Whether the plan lets this workload run more than once.
    bool idempotent = false;
    /// Empty for none.
    std::string idempotency_key;
    time_point sent_at;
    time_point answered_at;
    /// Whether a whole answer came; without one the caller knows nothing.
    bool answered = false;
    /// Why there was none, as the library names it.
    std::string transport_error;
    int status = 0;
    ran_header ran = ran_header::absent;
    bool has_retry_after = false;
    /// "X-Standin-Worker" of the answer.
    std::string worker;
    body_digest sent;
    body_digest received;
};

/// @brief One request to make.
struct call_spec
{
    std::string request_id;
    std::string workload = "desk";
    bool idempotent = false;
    std::string idempotency_key;
    /// Path below the workload, with query; "?run_ms=50" sets the run time.
    std::string subpath = "x";
    std::string body;
    milliseconds timeout{30'000};
};

/// @brief Makes one request on a connection of its own and waits for the
/// answer.
/// @param port  an instance's caller port, or a proxy's in front of it
[[nodiscard]] auto call(int port, const call_spec& spec) -> call_record;

/// @brief Kept connections of one caller, one to each port.
class caller_connections
{
  public:
    explicit caller_connections(milliseconds timeout);
    ~caller_connections();
    caller_connections(const caller_connections&) = delete;
    auto operator=(const caller_connections&) -> caller_connections& = delete;

    /// @brief Makes one request and waits for the answer.
    auto call(int port, const call_spec& spec) -> call_record;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// @brief A load of many concurrent callers.
struct caller_options
{
    /// Caller ports; each request picks one at random.
    std::vector<int> ports;
    std::uint64_t seed = 1;
    /// Begins each request id, so that ids stay unique in a test.
    std::string id_prefix = "c";
    std::size_t callers = 8;
    std::size_t requests_per_caller = 50;
    std::string workload = "desk";
    bool idempotent = false;
    /// Each request gets a key of its own.
    bool with_keys = false;
    std::size_t min_body_size = 0;
    std::size_t max_body_size = 8192;
    milliseconds min_run_time{1};
    milliseconds max_run_time{20};
    /// Between an answer and the caller's next request.
    milliseconds pause{0};
    milliseconds timeout{30'000};
};

/// @brief Runs closed-loop callers until all requests are answered or failed.
/// @return one record a request, in no particular order
[[nodiscard]] auto run_callers(const caller_options& options)
    -> std::vector<call_record>;

/// @brief A body of @p size seeded random bytes that begins with @p id.
[[nodiscard]] auto make_body(const std::string& id, std::size_t size,
                             std::uint64_t seed) -> std::string;

} // namespace pimentoshunt::testing
