/// @file
/// Encodes jobs, their progress and workers as values of store rows (Protobuf),
/// and decodes them.
#pragma once

#include <pimentoshunt/cell/model.hpp>

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::cell
{

/// @brief A job as it is stored in the inbox.
struct inbox_job
{
    job_spec job;
    /// Epoch of the owner that the row's part named when the row was written; 0
    /// if none was named. Owners of a lower epoch do not start the job.
    std::uint64_t epoch = 0;
};

/// @brief Encodes a job without an epoch.
[[nodiscard]] auto to_bytes(const job_spec& job) -> std::string;

/// @brief Encodes a row of the inbox.
[[nodiscard]] auto to_bytes(const inbox_job& item) -> std::string;

/// @brief Encodes a row of progress.
[[nodiscard]] auto to_bytes(const job_progress& progress) -> std::string;

/// @brief Encodes a row of the roster: a worker that may have been given work.
[[nodiscard]] auto to_bytes(const roster_entry& worker) -> std::string;

/// @return empty if the bytes are not a valid encoding
[[nodiscard]] auto read_worker(const std::string& bytes)
    -> std::optional<roster_entry>;

/// @return empty if the bytes are not a valid encoding
[[nodiscard]] auto read_job(const std::string& bytes)
    -> std::optional<job_spec>;

/// @return empty if the bytes are not a valid encoding
[[nodiscard]] auto read_inbox_job(const std::string& bytes)
    -> std::optional<inbox_job>;

/// @return empty if the bytes are not a valid encoding
[[nodiscard]] auto read_progress(const std::string& bytes)
    -> std::optional<job_progress>;

/// @brief Merges the progress of one job that two owners have stored.
auto merge(job_progress& into, const job_progress& from) -> void;

} // namespace pimentoshunt::cell
