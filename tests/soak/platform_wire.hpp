/// @file
/// The platform's side of its messages, for the soak's stand-in. Names on the
/// platform's wire stand in platform_wire.cpp and nowhere else in the soak.
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

/// @brief An order to a worker; what its kind has no use for is empty.
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

/// @brief An ended run in a worker's list.
struct listed_end
{
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string outcome;
};

/// @brief A worker's answer.
struct worker_answer
{
    int status = 200;
    milliseconds clock{0};
    std::int64_t born_ms = 0;
    /// Why an order was refused.
    std::string reason;
    bool with_lists = false;
    /// Tasks and their runs.
    std::vector<std::pair<std::string, std::uint64_t>> running;
    std::vector<listed_end> ended;
};

/// @brief What a worker registers about itself.
struct worker_facts
{
    std::string id;
    std::string service;
    std::string address;
    std::string rack;
    resources capacity;
    std::int64_t born_ms = 0;
};

/// @brief A read of rows.
struct read_call
{
    cell::row_range range;
    std::size_t limit = 0;
};

/// @brief A wait for changes of a table.
struct follow_call
{
    std::string table;
    std::uint64_t after = 0;
    milliseconds wait{0};
};

using store_call = std::variant<cell::row_transaction, read_call, follow_call>;

/// @brief A question to the approval service.
struct approval_call
{
    std::string step;
    std::vector<std::string> workers;
};

/// @brief A queue as operators describe it.
struct queue_facts
{
    std::string name;
    std::string path_prefix;
    std::string service;
    std::uint32_t most_failures = 1;
    bool approvals = false;
};

/// @brief A step as a caller hands it in; it comes after the one before.
struct step_facts
{
    std::uint32_t count = 1;
    resources need;
    milliseconds estimate{0};
};

inline const std::string queue_host = "soak.example";
inline constexpr milliseconds ticket_lifetime{2'000};

[[nodiscard]] auto read_order(const net::server_request& request)
    -> std::optional<worker_order>;
[[nodiscard]] auto write_answer(const worker_answer& from)
    -> net::server_response;
[[nodiscard]] auto write_worker(const worker_facts& from,
                                std::uint64_t sequence, milliseconds clock)
    -> std::string;

[[nodiscard]] auto read_store_call(const net::server_request& request)
    -> std::optional<store_call>;
/// @brief Rows as of version @p version.
[[nodiscard]] auto write_rows(int status,
                              const std::vector<cell::stored_row>& rows,
                              std::uint64_t version, bool more)
    -> net::server_response;

[[nodiscard]] auto read_approval_call(const net::server_request& request)
    -> std::optional<approval_call>;
/// @param approved  workers and their tickets
[[nodiscard]] auto write_approvals(
    const std::vector<std::pair<std::string, std::string>>& approved)
    -> net::server_response;

[[nodiscard]] auto write_configuration(const std::vector<queue_facts>& queues)
    -> std::string;
[[nodiscard]] auto configuration_key() -> cell::row_key;
[[nodiscard]] auto worker_key(const std::string& id) -> cell::row_key;
/// @brief Whether instances may not write to a table.
[[nodiscard]] auto is_protected_table(const std::string& table) -> bool;
[[nodiscard]] auto ready_path() -> std::string;

[[nodiscard]] auto write_job(const std::string& payload,
                             const std::vector<step_facts>& steps)
    -> std::string;
/// @brief The state in an answer about a job; empty when there is none.
[[nodiscard]] auto read_state(const std::string& text) -> std::string;

} // namespace pimentoshunt::soak
