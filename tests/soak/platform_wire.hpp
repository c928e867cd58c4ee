/// @file
/// Encodes and decodes the messages of the platform for the soak's stand-in, from
/// the platform's side. In the soak, only platform_wire.cpp contains field names
/// of the platform's interface.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/net/http_server.hpp>
#include <pimentoshunt/resources.hpp>

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <utility>  // pair
#include <variant>  // variant
#include <vector>   // vector

namespace pimentoshunt::soak
{

enum class order_kind
{
    start,
    stop,
    heartbeat
};

/// @brief An order to a worker; members that its kind does not use are empty.
struct worker_order
{
    order_kind kind = order_kind::heartbeat;
    std::string task;
    std::uint64_t run = 0;
    std::string payload;
    std::string ticket;
    std::uint64_t epoch = 0;
    std::uint64_t ends_durable = 0;
    milliseconds lease_end{0};
    milliseconds wait{0};
};

/// @brief An ended run in a worker's heartbeat answer.
struct listed_end
{
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string outcome;
};

/// @brief A worker's answer to an order.
struct worker_answer
{
    int status = 200;
    milliseconds clock{0};
    std::int64_t born_ms = 0;
    /// Why an order was refused.
    std::string reason;
    /// Whether @ref running and @ref ended are written.
    bool with_lists = false;
    /// Tasks and their run numbers.
    std::vector<std::pair<std::string, std::uint64_t>> running;
    std::vector<listed_end> ended;
};

/// @brief Registration of a worker.
struct worker_facts
{
    std::string id;
    std::string service;
    std::string address;
    std::string rack;
    resources capacity;
    std::int64_t born_ms = 0;
};

/// @brief A read of a range of rows; limit 0 means the store's own limit.
struct read_call
{
    cell::row_range range;
    std::size_t limit = 0;
};

/// @brief A request for the changes of a table after a version, which waits up
/// to @ref wait for one.
struct follow_call
{
    std::string table;
    std::uint64_t after = 0;
    milliseconds wait{0};
};

using store_call = std::variant<cell::row_transaction, read_call, follow_call>;

/// @brief A request to the approval service: which of the workers may run a
/// step.
struct approval_call
{
    std::string step;
    std::vector<std::string> workers;
};

/// @brief A queue as operators configure it.
struct queue_facts
{
    std::string name;
    std::string path_prefix;
    std::string service;
    std::uint32_t most_failures = 1;
    bool approvals = false;
    /// Whether callers need no key.
    bool is_public = false;
};

/// @brief A workspace as operators configure it.
struct workspace_facts
{
    std::string name;
    std::vector<std::string> keys;
};

/// @brief A step as a caller submits it; each step depends on the previous one.
struct step_facts
{
    std::uint32_t count = 1;
    resources need;
    milliseconds estimate{0};
};

inline const std::string queue_host = "soak.example";
inline constexpr milliseconds ticket_lifetime{2'000};

/// @brief Decodes an order; nothing if the path or the body is invalid.
[[nodiscard]] auto read_order(const net::server_request& request)
    -> std::optional<worker_order>;
[[nodiscard]] auto write_answer(const worker_answer& from)
    -> net::server_response;
[[nodiscard]] auto write_worker(const worker_facts& from,
                                std::uint64_t sequence, milliseconds clock)
    -> std::string;

/// Number of different odd entries.
inline constexpr std::size_t odd_entry_kinds = 6;
/// @brief An entry as another writer may leave it under a worker's id: with deep
/// nesting, numbers or ports out of range, or another worker's address.
/// @param kind  below @ref odd_entry_kinds
[[nodiscard]] auto write_odd_worker(worker_facts from, std::size_t kind,
                                    const std::string& other_address)
    -> std::string;

/// @brief Decodes a call to the store; nothing if it is invalid.
[[nodiscard]] auto read_store_call(const net::server_request& request)
    -> std::optional<store_call>;
/// @brief Encodes rows as of @p version.
/// @param more  whether the range has further rows
[[nodiscard]] auto write_rows(int status,
                              const std::vector<cell::stored_row>& rows,
                              std::uint64_t version, bool more)
    -> net::server_response;

/// @brief Decodes an approval request; nothing if it is invalid.
[[nodiscard]] auto read_approval_call(const net::server_request& request)
    -> std::optional<approval_call>;
/// @brief Encodes the answer to an approval request.
/// @param approved  approved workers and their tickets
[[nodiscard]] auto write_approvals(
    const std::vector<std::pair<std::string, std::string>>& approved)
    -> net::server_response;

/// @param workspaces  nothing: the platform has none, and callers need no keys
[[nodiscard]] auto write_configuration(
    const std::vector<queue_facts>& queues, std::uint64_t version = 7,
    const std::optional<std::vector<workspace_facts>>& workspaces = {})
    -> std::string;
[[nodiscard]] auto configuration_key() -> cell::row_key;
[[nodiscard]] auto worker_key(const std::string& id) -> cell::row_key;
/// @brief Whether instances are forbidden to write to a table.
[[nodiscard]] auto is_protected_table(const std::string& table) -> bool;
[[nodiscard]] auto ready_path() -> std::string;

[[nodiscard]] auto write_job(const std::string& payload,
                             const std::vector<step_facts>& steps)
    -> std::string;
/// @brief The state of a job in an answer; empty if it contains none.
[[nodiscard]] auto read_state(const std::string& text) -> std::string;

} // namespace pimentoshunt::soak
