/// @file
/// What the table keeps of one idempotency key.
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
/// A longer body is kept in the object store, the row refers to it.
inline constexpr std::size_t max_inline_body_bytes = std::size_t{32} << 10;
/// The prefix of all rows of idempotency keys.
inline constexpr const char* idempotency_prefix = "idem/";

/// @brief A caller's key; two workspaces' equal keys are different.
struct idempotency_key
{
    workspace_name workspace;
    std::string text;

    /// @brief The row's key in the table.
    [[nodiscard]] auto row_key() const -> std::string;
};

/// @brief A digest of a request, which tells a repeat from another request
/// that reuses its key. Stable across processes and versions; it guards
/// against mistakes, not against forgery.
class request_fingerprint
{
  public:
    /// @brief Adds one part; the boundaries between parts count.
    auto add(std::string_view part) -> request_fingerprint&;

    /// @brief The digest as text.
    [[nodiscard]] auto text() const -> std::string;

  private:
    std::uint64_t m_first = 0xcbf29ce484222325;
    std::uint64_t m_second = 0x84222325cbf29ce4;
    std::uint64_t m_bytes = 0;
};

/// @brief One header of an answer.
struct response_header
{
    std::string name;
    std::string value;
};

/// @brief A whole answer, given again to each repeat.
struct stored_response
{
    int status = 0;
    std::vector<response_header> headers;
    std::string body;
};

/// @brief Where a key's request stands.
enum class record_state
{
    /// It was, is being or will be sent to the worker of the record.
    started,
    /// It has run, and its answer is kept.
    answered,
    /// It has certainly not run; a repeat may run it.
    not_run,
    /// It may have run, and its answer will never be known.
    lost
};

/// @brief One row.
struct idempotency_record
{
    record_state state = record_state::started;
    std::string fingerprint;
    /// "instance#incarnation" of the instance that sends the request.
    std::string holder;
    attempt_id attempt;
    /// Base URL of the worker, the only one that the attempt is sent to.
    std::string worker_url;
    /// By the holder's clock; only for the expiry after a day.
    std::chrono::system_clock::time_point claimed_at;
    /// Set when answered.
    std::optional<stored_response> response;
    /// The object with the answer's body; empty when the body is in the row.
    std::string body_object;
};

/// @brief The record as a row's value; bodies may hold any bytes.
[[nodiscard]] auto serialize(const idempotency_record& record) -> std::string;

/// @brief The record of a row's value, or nothing when it is malformed.
[[nodiscard]] auto parse_idempotency_record(const std::string& text)
    -> std::optional<idempotency_record>;

} // namespace pimentoshunt::entry
