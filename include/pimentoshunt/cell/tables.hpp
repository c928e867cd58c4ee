/// @file
/// Where a cell keeps its rows.
#pragma once

#include <pimentoshunt/cell/ports.hpp>

#include <string> // string

namespace pimentoshunt::cell
{

/// All rows of a cell lie in one part, so that one transaction can cover them.
inline const std::string cell_part = "cell-0";
/// Jobs as they were accepted, and their cancellations.
inline const std::string inbox_table = "inbox";
/// What is durable of a job beyond its acceptance.
inline const std::string progress_table = "progress";
inline const std::string owner_table = "owner";

/// Workers that may have been given work.
inline const std::string roster_table = "roster";

[[nodiscard]] inline auto roster_row(const worker_id& worker) -> row_key
{
    return {roster_table, cell_part, worker.str()};
}

/// @brief Who owns the cell; written at each renewal.
[[nodiscard]] inline auto lease_row() -> row_key
{
    return {owner_table, cell_part, "lease"};
}

/// @brief Written at takeovers only: writes of an owner depend on it.
[[nodiscard]] inline auto epoch_row() -> row_key
{
    return {owner_table, cell_part, "epoch"};
}

[[nodiscard]] inline auto job_row(const job_id& job) -> row_key
{
    return {inbox_table, cell_part, job.str()};
}

/// Follows the job's row in the order of keys.
inline const std::string cancel_suffix = ".cancel";

[[nodiscard]] inline auto cancel_row(const job_id& job) -> row_key
{
    return {inbox_table, cell_part, job.str() + cancel_suffix};
}

[[nodiscard]] inline auto progress_row(const job_id& job) -> row_key
{
    return {progress_table, cell_part, job.str()};
}

/// @brief Whether the row marks a cancellation, and of which job.
[[nodiscard]] inline auto cancelled_job(const row_key& at) -> job_id
{
    const auto place = at.key.find(cancel_suffix);
    return place == std::string::npos ? job_id()
                                      : job_id(at.key.substr(0, place));
}

/// @brief The range that holds a job's rows in the inbox.
[[nodiscard]] inline auto job_range(const job_id& job) -> row_range
{
    return {inbox_table, cell_part, job.str(), job.str() + "/"};
}

} // namespace pimentoshunt::cell
