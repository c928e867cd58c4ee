/// @file
/// A bounded pool of keep-alive HTTP connections to one peer. Its results
/// distinguish calls that were not sent from calls whose outcome is unknown.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <condition_variable> // condition_variable
#include <cstddef>            // size_t
#include <memory>             // unique_ptr
#include <mutex>              // mutex
#include <optional>           // optional
#include <string>             // string
#include <vector>             // vector

namespace httplib
{
class Client;
}

namespace pimentoshunt::platform
{

/// @brief Parts of a base URL.
struct http_endpoint
{
    std::string host;
    int port = 0;
    /// Path prefix: empty, or begins with a slash and does not end with one.
    std::string prefix;
};

/// @brief Parses a URL of the form "http://host:port/prefix".
/// @return nothing if the URL has another form or the port is not from 1 to
///         65535
[[nodiscard]] auto parse_endpoint(const std::string& base_url)
    -> std::optional<http_endpoint>;

/// @brief Percent-encodes all characters but unreserved ones and the slash.
[[nodiscard]] auto encode_path(const std::string& text) -> std::string;

/// @brief Percent-encodes all characters but unreserved ones.
[[nodiscard]] auto encode_query(const std::string& text) -> std::string;

/// @brief Limits of a pool.
struct pool_limits
{
    std::size_t connections = 8;
    milliseconds connect_timeout{500};
    /// A connection that was idle for longer is closed instead of reused: the
    /// peer would likely close it while the next request is being sent.
    milliseconds max_idle{2'000};
};

/// @brief A header of a request or an answer.
struct http_header
{
    std::string name;
    std::string value;
};

/// @brief A request to the peer.
struct http_call
{
    std::string method;
    /// Encoded path below the peer's prefix, and query; begins with a slash.
    std::string path;
    std::string body;
    /// Content-Type header; omitted if empty or if there is no body.
    std::string content_type = "application/json";
    /// Further headers, sent unchanged.
    std::vector<http_header> headers;
    /// Time from the call to the complete answer, including the wait for a
    /// connection. With a @ref stall_timeout, time to the first byte of the
    /// answer.
    milliseconds timeout{1'000};
    /// If set, an answer that has begun continues as long as no two bytes of it
    /// are further apart: over a slow link a large answer takes longer than
    /// @ref timeout. Used by net::http_client only.
    milliseconds stall_timeout{0};
    /// With a @ref stall_timeout, the time from the call to the complete
    /// answer, against a peer that sends a few bytes at a time.
    milliseconds max_duration{10'000};
    /// If set, the call may time out before @ref timeout if the peer's latest
    /// answers took far less time, but not before this. Used by
    /// net::http_client only.
    milliseconds min_call_timeout{0};
    /// Time for which the request asks the peer to hold back its answer.
    milliseconds requested_wait{0};
    /// Whether the request may be sent twice without harm. If so, a call that
    /// fails on a reused connection is retried once on a new one.
    bool repeatable = false;
};

/// @brief Result of a call.
enum class exchange_state
{
    /// A complete answer was received, with any status.
    answered,
    /// No byte of the request was sent, so the request had no effect.
    never_sent,
    /// The request may or may not have taken effect.
    unknown
};

/// @brief Result of a call, with the answer if there is one.
struct http_exchange
{
    exchange_state state = exchange_state::unknown;
    int status = 0;
    std::string body;
    std::vector<http_header> headers;
    /// Reason of the failure if there is no answer.
    std::string detail;
    /// Whether the peer refused or closed the connection.
    bool connection_lost = false;
    /// Whether an answer exceeded a size limit, or @ref
    /// http_call::max_duration while it arrived. Repeating the call is of no
    /// use.
    bool answer_too_large = false;

    /// @brief The first header of that name in any case, or the empty string.
    [[nodiscard]] auto header(const std::string& name) const -> std::string;
};

/// @brief Connections to one peer. Thread-safe; calls block.
class http_pool
{
  public:
    http_pool(http_endpoint peer, pool_limits limits);
    ~http_pool();
    http_pool(const http_pool&) = delete;
    auto operator=(const http_pool&) -> http_pool& = delete;

    /// @brief Sends a request and waits for the complete answer.
    [[nodiscard]] auto call(const http_call& request) -> http_exchange;

  private:
    struct connection;

    /// Takes an idle connection or opens one; waits for a free place in the
    /// pool. Returns nullptr at @p until.
    [[nodiscard]] auto acquire(time_point until) -> std::unique_ptr<connection>;
    /// Returns a connection; closes it unless it is @p usable.
    auto release(std::unique_ptr<connection> item, bool usable) -> void;
    [[nodiscard]] auto open() const -> std::unique_ptr<connection>;
    [[nodiscard]] auto send(connection& via, const http_call& request,
                            time_point until) const -> http_exchange;

    const http_endpoint m_peer;
    const pool_limits m_limits;
    std::mutex m_mutex;
    std::condition_variable m_connection_released;
    std::vector<std::unique_ptr<connection>> m_idle;
    std::size_t m_in_use = 0;
};

} // namespace pimentoshunt::platform
