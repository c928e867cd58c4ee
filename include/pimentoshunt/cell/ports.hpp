/// @file
/// What a cell needs from outside: the store, the workers, the approval
/// service, and the texts of callers and operators. An adapter provides it.
#pragma once

#include <pimentoshunt/cell/model.hpp>
#include <pimentoshunt/cell/orders.hpp>
#include <pimentoshunt/net/http_server.hpp>

#include <concepts>   // convertible_to
#include <cstdint>    // uint64_t
#include <functional> // function
#include <optional>   // optional
#include <string>     // string
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief The place of a row.
struct row_key
{
    std::string table;
    /// Rows of one part are written one transaction after another.
    std::string part;
    std::string key;

    friend auto operator==(const row_key&, const row_key&) -> bool = default;
};

/// @brief One row as the store has it.
struct stored_row
{
    row_key at;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
};

/// @brief A row that a transaction depends on; version 0: must not exist.
struct row_condition
{
    row_key at;
    std::uint64_t version = 0;
};

/// @brief A row and its new value.
struct row_write
{
    row_key at;
    std::string value;
};

/// @brief Writes that happen all or not at all; all in one part.
struct row_transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
    std::vector<row_key> removals;
};

/// @brief How a transaction ended.
enum class commit_state
{
    committed,
    /// A condition did not hold; nothing was done.
    conflict,
    /// Nothing was done: not sent, or turned away.
    not_done,
    /// It may have been done, or may still be.
    unknown
};

/// @brief The end of a transaction.
struct commit_result
{
    commit_state state = commit_state::unknown;
    std::uint64_t version = 0;
    /// After a conflict, the rows of the conditions as they are.
    std::vector<stored_row> current;
};

/// @brief A range of rows to read; @ref until is not in it, empty: no end.
struct row_range
{
    std::string table;
    std::string part;
    std::string from;
    std::string until;
};

/// @brief Rows as of one moment; nothing but @ref answered when that is false.
struct read_result
{
    bool answered = false;
    std::vector<stored_row> rows;
    bool more = false;
    std::uint64_t version = 0;
};

/// @brief How waiting for changes ended.
enum class feed_state
{
    changes,
    /// The store no longer knows what has changed since: read everything.
    history_gone,
    failed
};

/// @brief Changes of a table, in their order.
struct feed_result
{
    feed_state state = feed_state::failed;
    std::vector<stored_row> rows;
    std::uint64_t version = 0;
};

/// @brief What a caller wants.
enum class caller_wish
{
    submit,
    look_up,
    cancel,
    /// How many jobs of a queue have not begun.
    count,
    /// No queue is at this address.
    no_queue,
    /// The ID is none.
    bad_id,
    /// The method means nothing here.
    bad_method,
    /// The body is no job; the answer says why.
    bad_job
};

/// @brief A caller's request, read by the configuration in force.
struct caller_request
{
    caller_wish wish = caller_wish::no_queue;
    const queue_route* route = nullptr;
    job_id job;
    /// For a submission.
    std::optional<job_spec> spec;
    /// What is wrong and what to do about it.
    std::string complaint;
};

using commit_handler = std::function<void(commit_result)>;
using read_handler = std::function<void(read_result)>;
using feed_handler = std::function<void(feed_result)>;

/// @brief Requirements on an adapter. Handlers run on the control thread, once
/// each; a call that gets no answer ends within its time limit.
template<class T>
concept cell_platform = requires(
    T outside, const row_transaction& transaction, const row_range& range,
    const std::string& text, std::uint64_t version, milliseconds time,
    const start_order& start, const stop_order& stop, const hold_order& hold,
    const pace_order& pace, const approval_question& question,
    const net::server_request& request, const configuration& in_force,
    const stored_row& row, commit_handler on_commit, read_handler on_read,
    feed_handler on_feed,
    std::function<void(start_outcome, std::optional<worker_time>)> on_start,
    std::function<void(bool)> on_stop,
    std::function<void(std::optional<run_report>, bool)> on_hold,
    std::function<void(approval_answer)> on_approval)
{
    outside.commit(transaction, time, on_commit);
    outside.read(range, time, on_read);
    outside.follow(text, version, time, on_feed);
    outside.start(start, on_start);
    outside.stop(stop, on_stop);
    outside.hold(hold, on_hold);
    outside.pace(pace);
    outside.ask(question, on_approval);
    {
        outside.read_configuration(row)
        } -> std::convertible_to<std::optional<configuration>>;
    {
        outside.read_worker(row)
        } -> std::convertible_to<std::optional<worker_entry>>;
    {
        outside.read_caller(request, in_force)
        } -> std::convertible_to<caller_request>;
    {
        outside.state_answer(job_state::queued)
        } -> std::convertible_to<net::server_response>;
    {
        outside.count_answer(version)
        } -> std::convertible_to<net::server_response>;
    {
        outside.configuration_row()
        } -> std::convertible_to<row_key>;
    {
        outside.worker_table()
        } -> std::convertible_to<std::string>;
};

} // namespace pimentoshunt::cell
