/// @file
/// Where a cell keeps its rows.
#pragma once

#include <pimentoshunt/cell/ports.hpp>

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

namespace pimentoshunt::cell
{

/// What the owner writes lies in one part, so that one transaction can cover
/// it and depend on the owner's row.
inline const std::string cell_part = "cell-0";
/// Parts of the inbox. A part takes one transaction after another: when the
/// store is slow, all instances together would have to wait for one.
inline constexpr std::size_t inbox_parts = 8;

[[nodiscard]] inline auto inbox_part(std::size_t number) -> std::string
{
    return "inbox-" + std::to_string(number);
}

/// @brief The part of the inbox that holds a job; the same at all instances.
[[nodiscard]] inline auto inbox_part_of(const job_id& job) -> std::string
{
    const auto& text = job.str();
    const auto last =
        text.empty() ? 0u : static_cast<unsigned char>(text.back());
    return inbox_part(last % inbox_parts);
}

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
    return {inbox_table, inbox_part_of(job), job.str()};
}

/// Follows the job's row in the order of keys.
inline const std::string cancel_suffix = ".cancel";

[[nodiscard]] inline auto cancel_row(const job_id& job) -> row_key
{
    return {inbox_table, inbox_part_of(job), job.str() + cancel_suffix};
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

/// @brief All of the inbox.
[[nodiscard]] inline auto inbox_ranges() -> std::vector<row_range>
{
    std::vector<row_range> out;
    for (std::size_t i = 0; i < inbox_parts; ++i)
    {
        out.push_back({inbox_table, inbox_part(i), "", ""});
    }
    return out;
}

/// @brief The range that holds a job's rows in the inbox.
[[nodiscard]] inline auto job_range(const job_id& job) -> row_range
{
    return {inbox_table, inbox_part_of(job), job.str(), job.str() + "/"};
}

} // namespace pimentoshunt::cell
