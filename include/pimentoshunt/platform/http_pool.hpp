/// @file
/// A bounded pool of keep-alive connections to one peer, which tells a call
/// that was certainly not sent from one whose outcome is unknown.
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

/// @brief A base URL taken apart.
struct http_endpoint
{
    std::string host;
    int port = 0;
    /// Empty, or begins with a slash and does not end with one.
    std::string prefix;
};

/// @brief Takes "http://host:port/prefix" apart.
/// @return nothing when it is not of that form
[[nodiscard]] auto parse_endpoint(const std::string& base_url)
    -> std::optional<http_endpoint>;

/// @brief Percent-encodes all but unreserved characters and the slash.
[[nodiscard]] auto encode_path(const std::string& text) -> std::string;

/// @brief Percent-encodes all but unreserved characters.
[[nodiscard]] auto encode_query(const std::string& text) -> std::string;

/// @brief Bounds of a pool.
struct pool_limits
{
    std::size_t connections = 8;
    milliseconds connect_timeout{500};
    /// A connection idle for longer is closed, not used: the peer is likely to
    /// close it just as the next request goes out.
    milliseconds max_idle{2'000};
};

/// @brief One header of a request or an answer.
struct http_header
{
    std::string name;
    std::string value;
};

/// @brief One request below the peer's prefix.
struct http_call
{
    std::string method;
    /// Encoded path and query; begins with a slash.
    std::string path;
    std::string body;
    /// Left out when empty, or when there is no body.
    std::string content_type = "application/json";
    /// Further headers, sent as they are.
    std::vector<http_header> headers;
    /// From the call until the whole answer, waiting for a connection too.
    milliseconds timeout{1'000};
    /// If set, the call is given up before its timeout when the peer's latest
    /// answers took far less, but not before this. Heeded by net::http_client.
    milliseconds min_timeout{0};
    /// How long the peer was asked to wait before it answers.
    milliseconds requested_wait{0};
    /// Whether sending it twice does no harm; then a call that broke on a
    /// connection used before is tried once on a fresh one.
    bool repeatable = false;
};

/// @brief How a call ended.
enum class exchange_state
{
    /// A whole answer came, whatever its status.
    answered,
    /// No byte of the request left: it has certainly had no effect.
    never_sent,
    /// The request may or may not have taken effect.
    unknown
};

/// @brief The end of a call.
struct http_exchange
{
    exchange_state state = exchange_state::unknown;
    int status = 0;
    std::string body;
    std::vector<http_header> headers;
    /// What went wrong, when not answered.
    std::string detail;

    /// @brief The first header of that name in any case, or the empty string.
    [[nodiscard]] auto header(const std::string& name) const -> std::string;
};

/// @brief Connections to one peer; safe for use by many threads.
class http_pool
{
  public:
    http_pool(http_endpoint peer, pool_limits limits);
    ~http_pool();
    http_pool(const http_pool&) = delete;
    auto operator=(const http_pool&) -> http_pool& = delete;

    /// @brief Sends a request and waits for the whole answer.
    [[nodiscard]] auto call(const http_call& request) -> http_exchange;

  private:
    struct connection;

    [[nodiscard]] auto acquire(time_point until) -> std::unique_ptr<connection>;
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
