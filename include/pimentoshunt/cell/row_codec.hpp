/// @file
/// Jobs and their progress as bytes in the platform's store.
#pragma once

#include <pimentoshunt/cell/model.hpp>

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string

namespace pimentoshunt::cell
{

/// @brief A job as it lies in the inbox.
struct inbox_job
{
    job_spec job;
    /// The owner that the row's part named when the row was written: no owner
    /// of a lower epoch begins the job. 0: none was named.
    std::uint64_t epoch = 0;
};

/// @brief The bytes of an accepted job.
[[nodiscard]] auto to_bytes(const job_spec& job) -> std::string;

/// @brief The bytes that are kept in the inbox.
[[nodiscard]] auto to_bytes(const inbox_job& item) -> std::string;

/// @brief The bytes that are kept for a job's progress.
[[nodiscard]] auto to_bytes(const job_progress& progress) -> std::string;

/// @brief The bytes that are kept for a worker that may get work.
[[nodiscard]] auto to_bytes(const enrolled_worker& worker) -> std::string;

/// @return nothing when the bytes are none that @ref to_bytes has made
[[nodiscard]] auto read_worker(const std::string& bytes)
    -> std::optional<enrolled_worker>;

/// @return nothing when the bytes are none that @ref to_bytes has made
[[nodiscard]] auto read_job(const std::string& bytes)
    -> std::optional<job_spec>;

/// @return nothing when the bytes are none that @ref to_bytes has made
[[nodiscard]] auto read_inbox_job(const std::string& bytes)
    -> std::optional<inbox_job>;

/// @return nothing when the bytes are none that @ref to_bytes has made
[[nodiscard]] auto read_progress(const std::string& bytes)
    -> std::optional<job_progress>;

/// @brief Puts what two owners have stored of one job together.
auto merge(job_progress& into, const job_progress& from) -> void;

} // namespace pimentoshunt::cell
