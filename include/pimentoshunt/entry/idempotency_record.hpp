/// @file
/// The table row of one idempotency key: its key, its value and the request
/// fingerprint stored in it. Used by idempotency_log.
#pragma once

#include <pimentoshunt/identifier.hpp>

#include <chrono>      // system_clock
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace pimentoshunt::entry
{

/// The longest Idempotency-Key that a caller may send, in bytes.
inline constexpr std::size_t max_idempotency_key_bytes = 200;
/// A longer body is kept in the object store, and the row refers to the object.
inline constexpr std::size_t max_inline_body_bytes = std::size_t{32} << 10;
/// The key prefix of all rows of idempotency keys.
inline constexpr const char* idempotency_prefix = "idem/";

/// @brief A caller's idempotency key; equal texts in two workspaces are
/// different keys.
struct idempotency_key
{
    workspace_name workspace;
    std::string text;

    /// @brief The key of the row in the platform's table.
    [[nodiscard]] auto row_key() const -> std::string;
};

/// @brief A digest of a request, which distinguishes a retry from a different
/// request that reuses its key. Stable across processes and versions; it
/// protects against mistakes, not against forgery.
class request_fingerprint
{
  public:
    /// @brief Adds one part of the request. Boundaries between parts affect the
    /// digest.
    auto add(std::string_view part) -> request_fingerprint&;

    /// @brief The digest as hexadecimal text with the length in bytes.
    [[nodiscard]] auto text() const -> std::string;

  private:
    std::uint64_t m_first = 0xcbf29ce484222325;
    std::uint64_t m_second = 0x84222325cbf29ce4;
    std::uint64_t m_bytes = 0;
};

/// @brief One header of a stored response.
struct response_header
{
    std::string name;
    std::string value;
};

/// @brief A whole response, returned to each retry.
struct stored_response
{
    int status = 0;
    std::vector<response_header> headers;
    std::string body;
};

/// @brief The state of the request that a key belongs to.
enum class record_state
{
    /// The request was, is being or will be sent to the record's worker.
    started,
    /// The request was executed, and its response is stored.
    answered,
    /// The request was certainly not executed; a retry may execute it.
    not_run,
    /// The request may have been executed, and its response will never be
    /// known.
    lost
};

/// @brief The value of a key's row.
struct idempotency_record
{
    record_state state = record_state::started;
    std::string fingerprint;
    /// "instance#incarnation" of the instance that sends the request.
    std::string holder;
    attempt_id attempt;
    /// Base URL of the worker, the only one that the attempt is sent to.
    std::string worker_url;
    /// By the holder's clock; used only to expire the row after a day.
    std::chrono::system_clock::time_point claimed_at;
    /// Set in state answered.
    std::optional<stored_response> response;
    /// Key of the object with the response's body; empty when the body is in
    /// the row.
    std::string body_object;
};

/// @brief Serializes a record as a row's value. Bodies may hold any bytes.
[[nodiscard]] auto serialize(const idempotency_record& record) -> std::string;

/// @brief Parses a row's value.
/// @return nothing when the value is malformed
[[nodiscard]] auto parse_idempotency_record(const std::string& text)
    -> std::optional<idempotency_record>;

} // namespace pimentoshunt::entry
