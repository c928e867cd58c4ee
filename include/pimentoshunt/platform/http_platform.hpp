/// @file
/// Client of the platform's HTTP interface (docs/platform-contract.md).
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

/// @brief Limits of the platform client.
struct http_platform_limits
{
    /// Most calls in flight; further calls wait.
    std::size_t connections = 16;
    milliseconds connect_timeout{500};
    /// Timeout of one call, including the wait for a connection.
    milliseconds timeout{1'000};
    /// Time, after the first call, for finding out whether a commit whose reply
    /// was lost took effect.
    milliseconds resolve_timeout{3'000};
};

/// @brief Access to the table, the object store and the instance list.
/// Thread-safe; calls block.
class http_platform
{
  public:
    /// @param peer  address of the platform, as from parse_endpoint()
    http_platform(http_endpoint peer, http_platform_limits limits);

    /// @brief Reads a row.
    /// @return nothing if there is no such row
    /// @throw (leaf) platform 301 to 304
    [[nodiscard]] auto read(const std::string& key)
        -> result<std::optional<row>>;

    /// @brief Reads up to @p limit rows whose keys begin with @p prefix and
    /// follow @p after, in key order.
    /// @throw (leaf) platform 301 to 304
    [[nodiscard]] auto scan(const std::string& prefix, const std::string& after,
                            std::size_t limit) -> result<std::vector<row>>;

    /// @brief Commits all operations or none.
    ///
    /// If the reply is lost, the outcome is determined by reading back the
    /// write id of a row, and by sending the same transaction again if an
    /// expected version ensures that only one of the two can take effect.
    /// @throw (leaf) platform 301 if the outcome is unknown, 302 if the
    ///        platform rejected the call, 304 if the call was not sent
    [[nodiscard]] auto commit(const transaction& change)
        -> result<commit_outcome>;

    /// @brief Stores or replaces an object.
    /// @throw (leaf) platform 301, 302, 304
    [[nodiscard]] auto put_object(const std::string& name,
                                  const std::string& bytes) -> result<void>;

    /// @brief Reads an object's bytes.
    /// @return nothing if there is no such object
    /// @throw (leaf) platform 301, 302, 304
    [[nodiscard]] auto get_object(const std::string& name)
        -> result<std::optional<std::string>>;

    /// @brief Reads the platform's list of instances and workers, which may be
    /// out of date.
    /// @throw (leaf) platform 301 to 304
    [[nodiscard]] auto instances() -> result<instance_list>;

  private:
    /// What a row that was read back says about a commit whose reply was lost.
    enum class commit_evidence
    {
        committed,
        conflict,
        unchanged,
        inconclusive
    };

    /// Result of sending a transaction once.
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
    /// Determines the outcome of a commit whose reply was lost.
    [[nodiscard]] auto resolve_lost_commit(const transaction& change)
        -> result<commit_outcome>;
    /// Reads the row of @p probe and compares its version and write id with
    /// those that @p change expects and writes.
    [[nodiscard]] auto read_back(const transaction& change,
                                 const operation& probe,
                                 commit_outcome& outcome) -> commit_evidence;
    /// Whether a repeated commit was refused for conflicts of which none is on
    /// the row of @p probe.
    [[nodiscard]] static auto
    conflicts_without_probe(const commit_attempt& attempt,
                            const operation& probe) -> bool;

    const http_platform_limits m_limits;
    const std::string m_peer_address;
    http_pool m_pool;
};

} // namespace pimentoshunt::platform
