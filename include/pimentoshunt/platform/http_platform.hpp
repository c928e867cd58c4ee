/// @file
/// The platform over HTTP, as docs/platform-contract.md describes it.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/platform/http_pool.hpp>
#include <pimentoshunt/platform/port.hpp>

#include <cstddef>  // size_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::platform
{

/// @brief Bounds of the platform client.
struct http_platform_limits
{
    /// Calls under way at once; more wait.
    std::size_t connections = 16;
    milliseconds connect_timeout{500};
    /// One call, waiting for a connection too.
    milliseconds timeout{1'000};
    /// How long a commit whose reply was lost is inquired about, beyond the
    /// first call.
    milliseconds resolve_timeout{3'000};
};

/// @brief The table, the objects and the instance list; safe for use by many
/// threads. Calls block.
class http_platform
{
  public:
    /// @param peer  see parse_endpoint()
    http_platform(http_endpoint peer, http_platform_limits limits);

    /// @brief The row of that key, or nothing.
    /// @throw (leaf) platform 301 to 304
    [[nodiscard]] auto read(const std::string& key)
        -> result<std::optional<row>>;

    /// @brief Rows whose key has @p prefix and follows @p after, in key order.
    /// @throw (leaf) platform 301 to 304
    [[nodiscard]] auto scan(const std::string& prefix, const std::string& after,
                            std::size_t limit) -> result<std::vector<row>>;

    /// @brief Commits all operations or none.
    ///
    /// A reply that was lost is settled by reading back a row's write id, and
    /// by sending the same transaction again where an expected version makes
    /// that harmless.
    /// @throw (leaf) platform 301 when the outcome is not known, 302 when the
    ///        platform refused it, 304 when it was certainly not sent
    [[nodiscard]] auto commit(const transaction& change)
        -> result<commit_outcome>;

    /// @brief Stores an object.
    /// @throw (leaf) platform 301, 302, 304
    [[nodiscard]] auto put_object(const std::string& name,
                                  const std::string& bytes) -> result<void>;

    /// @brief An object's bytes, or nothing.
    /// @throw (leaf) platform 301, 302, 304
    [[nodiscard]] auto get_object(const std::string& name)
        -> result<std::optional<std::string>>;

    /// @brief The platform's lagging list.
    /// @throw (leaf) platform 301 to 304
    [[nodiscard]] auto instances() -> result<instance_list>;

  private:
    /// What one look at a commit with a lost reply showed.
    enum class commit_evidence
    {
        committed,
        conflict,
        unchanged,
        inconclusive
    };

    struct commit_attempt
    {
        exchange_state state = exchange_state::unknown;
        int status = 0;
        std::string detail;
        commit_outcome outcome;
    };

    [[nodiscard]] auto get(const std::string& path) -> http_exchange;
    [[nodiscard]] auto send_commit(const transaction& change,
                                   milliseconds limit) -> commit_attempt;
    [[nodiscard]] auto resolve_lost_commit(const transaction& change)
        -> result<commit_outcome>;
    [[nodiscard]] auto read_back(const transaction& change,
                                 const operation& probe,
                                 commit_outcome& outcome) -> commit_evidence;
    [[nodiscard]] static auto
    conflicts_without_probe(const commit_attempt& attempt,
                            const operation& probe) -> bool;

    const http_platform_limits m_limits;
    const std::string m_peer_address;
    http_pool m_pool;
};

} // namespace pimentoshunt::platform
