/// @file
/// Names of the cell's tables, parts and rows in the store.
#pragma once

#include <pimentoshunt/cell/ports.hpp>

#include <algorithm> // any_of
#include <charconv>  // from_chars
#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <string>    // string
#include <vector>    // vector

namespace pimentoshunt::cell
{

/// Part of the owner's lease, epoch and roster rows: they are in one part so
/// that one transaction can cover them and depend on the epoch row.
inline const std::string cell_part = "cell-0";
/// Number of parts of the inbox. A part runs one transaction after another:
/// with a single part all instances would wait for each other when the store is
/// slow.
inline constexpr std::size_t inbox_parts = 8;

[[nodiscard]] inline auto inbox_part(std::size_t number) -> std::string
{
    return "inbox-" + std::to_string(number);
}

/// Number of parts in which a job may be stored: while some parts of the store
/// are down, the next choice takes it. A job stored in two parts is still one
/// job.
inline constexpr std::size_t parts_per_job = 3;
/// Distance between a job's parts; has no factor in common with @ref
/// inbox_parts.
inline constexpr std::size_t part_distance = 3;

/// @brief Number of the part in which a job is stored; the same at all
/// instances.
/// @param choice  0 for the preferred part; higher if earlier choices failed
[[nodiscard]] inline auto inbox_part_number(const job_id& job,
                                            std::size_t choice = 0)
    -> std::size_t
{
    const auto& text = job.str();
    const std::size_t last =
        text.empty() ? 0 : static_cast<unsigned char>(text.back());
    return (last + choice * part_distance) % inbox_parts;
}

/// @brief Name of that part.
[[nodiscard]] inline auto inbox_part_of(const job_id& job,
                                        std::size_t choice = 0) -> std::string
{
    return inbox_part(inbox_part_number(job, choice));
}

/// Accepted jobs and their cancellations.
inline const std::string inbox_table = "inbox";
/// What is durable of a job besides its acceptance.
inline const std::string progress_table = "progress";
inline const std::string owner_table = "owner";

/// Workers that may have been given work.
inline const std::string roster_table = "roster";

[[nodiscard]] inline auto roster_row(const worker_id& worker) -> row_key
{
    return {roster_table, cell_part, worker.str()};
}

/// @brief Names the owner of the cell; written at each renewal.
[[nodiscard]] inline auto lease_row() -> row_key
{
    return {owner_table, cell_part, "lease"};
}

/// @brief Written at takeovers only; the owner's writes depend on its version.
[[nodiscard]] inline auto epoch_row() -> row_key
{
    return {owner_table, cell_part, "epoch"};
}

[[nodiscard]] inline auto job_row(const job_id& job, std::size_t choice = 0)
    -> row_key
{
    return {inbox_table, inbox_part_of(job, choice), job.str()};
}

/// Sorts the cancellation after the job's row.
inline const std::string cancel_suffix = ".cancel";

[[nodiscard]] inline auto cancel_row(const job_id& job, std::size_t choice = 0)
    -> row_key
{
    return {inbox_table, inbox_part_of(job, choice), job.str() + cancel_suffix};
}

/// Number of parts of the progress table; for the same reason as for the inbox.
inline constexpr std::size_t progress_parts = 8;

[[nodiscard]] inline auto progress_part(std::size_t number) -> std::string
{
    return "progress-" + std::to_string(number);
}

/// Key of the row in which a part names its owner. No job ID begins like it.
inline const std::string part_epoch_key = "@epoch";

/// @brief Key of the row in which a part of the progress table names the owner
/// that may write there. A new owner writes it before it reads the part: the
/// read is then complete, and no earlier owner acknowledges an end that the
/// read lacks.
[[nodiscard]] inline auto part_epoch_row(std::size_t part) -> row_key
{
    return {progress_table, progress_part(part), part_epoch_key};
}

/// @brief Key of the row in which a part of the inbox names the owner that gets
/// its jobs; writes to the part depend on it, and jobs carry its epoch. A new
/// owner writes it before it reads the part: no job that an earlier owner may
/// start is added later.
[[nodiscard]] inline auto inbox_epoch_row(const std::string& part) -> row_key
{
    return {inbox_table, part, part_epoch_key};
}

[[nodiscard]] inline auto is_part_epoch(const row_key& at) -> bool
{
    return at.key == part_epoch_key;
}

/// @brief The epoch that a part's epoch row names; 0 if it names none or does
/// not exist.
[[nodiscard]] inline auto named_epoch(const stored_row& row) -> std::uint64_t
{
    std::uint64_t named = 0;
    const auto& text = row.value;
    std::from_chars(text.data(), text.data() + text.size(), named);
    return named;
}

/// @brief Key of a progress row. A job may have rows of several owners and in
/// several parts; their progress is merged.
[[nodiscard]] inline auto progress_row(const job_id& job, std::uint64_t epoch,
                                       std::size_t part) -> row_key
{
    return {progress_table, progress_part(part),
            job.str() + "@" + std::to_string(epoch)};
}

/// @brief ID of the job whose cancellation the row marks; empty for other rows.
[[nodiscard]] inline auto cancelled_job(const row_key& at) -> job_id
{
    const auto place = at.key.find(cancel_suffix);
    return place == std::string::npos ? job_id()
                                      : job_id(at.key.substr(0, place));
}

/// Value of the tombstone that takes the place of a job's row after a cancellation
/// of the job before it was stored.
inline const std::string tombstone_value = "cancelled";

[[nodiscard]] inline auto is_tombstone(const stored_row& row) -> bool
{
    return row.value == tombstone_value;
}

/// @brief Whether one of a job's rows in the inbox is the stored job.
[[nodiscard]] inline auto holds_job(const std::vector<stored_row>& rows) -> bool
{
    return std::any_of(rows.begin(), rows.end(),
                       [](const stored_row& row)
                       {
                           return !row.removed && !is_tombstone(row) &&
                                  cancelled_job(row.at).empty();
                       });
}

/// @brief Ranges of the whole inbox.
[[nodiscard]] inline auto inbox_ranges() -> std::vector<row_range>
{
    std::vector<row_range> out;
    for (std::size_t i = 0; i < inbox_parts; ++i)
    {
        out.push_back({inbox_table, inbox_part(i), "", ""});
    }
    return out;
}

/// @brief Ranges of a job's rows in the inbox.
[[nodiscard]] inline auto job_ranges(const job_id& job)
    -> std::vector<row_range>
{
    std::vector<row_range> out;
    for (std::size_t i = 0; i < parts_per_job; ++i)
    {
        out.push_back(
            {inbox_table, inbox_part_of(job, i), job.str(), job.str() + "/"});
    }
    return out;
}

/// @brief Ranges of all progress, or of the keys from @p from to before @p
/// until.
[[nodiscard]] inline auto progress_ranges(const std::string& from = "",
                                          const std::string& until = "")
    -> std::vector<row_range>
{
    std::vector<row_range> out;
    for (std::size_t i = 0; i < progress_parts; ++i)
    {
        out.push_back({progress_table, progress_part(i), from, until});
    }
    return out;
}

[[nodiscard]] inline auto progress_ranges(const job_id& job)
    -> std::vector<row_range>
{
    return progress_ranges(job.str(), job.str() + "A");
}

} // namespace pimentoshunt::cell
