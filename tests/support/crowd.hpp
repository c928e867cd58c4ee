/// @file
/// A crowd of raw connections that send messages without end to one process, and
/// what that process uses meanwhile.
#pragma once

#include <pimentoshunt/clock.hpp>

#include <sys/types.h>

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::testing
{

/// @brief Most memory and descriptors that a process has used.
struct process_usage
{
    /// Peak resident memory (VmHWM); 0 once the process has ended.
    std::size_t peak_bytes = 0;
    std::size_t descriptors = 0;
};

/// @brief Current usage of a running process; zeros if it has ended.
[[nodiscard]] auto read_usage(pid_t pid) -> process_usage;

/// @brief Options of a crowd; all connections send the same bytes.
struct crowd_options
{
    int port = 0;
    std::size_t connections = 8;
    /// Sent once on each connection.
    std::string start;
    /// Sent again and again after @ref start; empty: nothing more is sent, and
    /// the connection stays open.
    std::string repeated;
    /// A connection stops sending after this many bytes, but stays open.
    std::size_t bytes_each = 24u << 20;
    /// Whether connections read what they are sent.
    bool reads_answers = true;
    /// The crowd ends when no byte could be sent for this time.
    milliseconds idle_limit{2'000};
    /// The crowd ends after this time at the latest.
    milliseconds limit{20'000};
};

/// @brief What a crowd saw.
struct crowd_result
{
    std::size_t connected = 0;
    std::size_t bytes_sent = 0;
    /// Statuses of the first answers, for connections that received any.
    std::vector<int> statuses;
    /// Connections that the process closed or reset.
    std::size_t closed = 0;
    /// Most that @ref read_usage returned while the crowd was connected.
    process_usage most;
};

/// @brief Runs a crowd on the calling thread.
/// @param pid  process whose usage is observed
[[nodiscard]] auto run_crowd(const crowd_options& options, pid_t pid)
    -> crowd_result;

} // namespace pimentoshunt::testing
