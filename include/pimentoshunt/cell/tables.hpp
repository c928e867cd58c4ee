/// @file
/// Where a cell keeps its rows.
#pragma once

#include <pimentoshunt/cell/ports.hpp>

#include <charconv> // from_chars
#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <string>   // string
#include <vector>   // vector

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

/// How many parts of the inbox a job may lie in: while the store is down in
/// part, the next one takes it. A job that lies in two is still one.
inline constexpr std::size_t parts_per_job = 3;
/// Distance between them; has no factor in common with their number.
inline constexpr std::size_t part_distance = 3;

/// @brief Number of the part in which a job lies, or lies if the earlier choices
/// failed; the same at all instances.
[[nodiscard]] inline auto inbox_part_number(const job_id& job,
                                            std::size_t choice = 0)
    -> std::size_t
{
    const auto& text = job.str();
    const std::size_t last =
        text.empty() ? 0 : static_cast<unsigned char>(text.back());
    return (last + choice * part_distance) % inbox_parts;
}

/// @brief That part's name.
[[nodiscard]] inline auto inbox_part_of(const job_id& job,
                                        std::size_t choice = 0) -> std::string
{
    return inbox_part(inbox_part_number(job, choice));
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

[[nodiscard]] inline auto job_row(const job_id& job, std::size_t choice = 0)
    -> row_key
{
    return {inbox_table, inbox_part_of(job, choice), job.str()};
}

/// Follows the job's row in the order of keys.
inline const std::string cancel_suffix = ".cancel";

[[nodiscard]] inline auto cancel_row(const job_id& job, std::size_t choice = 0)
    -> row_key
{
    return {inbox_table, inbox_part_of(job, choice), job.str() + cancel_suffix};
}

/// Parts of the table of progress: as for the inbox.
inline constexpr std::size_t progress_parts = 8;

[[nodiscard]] inline auto progress_part(std::size_t number) -> std::string
{
    return "progress-" + std::to_string(number);
}

/// Key of the row by which a part names the owner in force there. No ID of a
/// job begins like it.
inline const std::string part_epoch_key = "@epoch";

/// @brief Each part of progress names the owner that may write there. A new
/// owner writes it before it reads the part: what is read is then complete,
/// and no earlier owner takes note of an end that is not in it.
[[nodiscard]] inline auto part_epoch_row(std::size_t part) -> row_key
{
    return {progress_table, progress_part(part), part_epoch_key};
}

/// @brief Each part of the inbox names the owner whose jobs it takes; writes
/// there depend on it, and jobs carry its epoch. A new owner writes it before
/// it reads the part: no job that an earlier owner may begin comes later.
[[nodiscard]] inline auto inbox_epoch_row(const std::string& part) -> row_key
{
    return {inbox_table, part, part_epoch_key};
}

[[nodiscard]] inline auto is_part_epoch(const row_key& at) -> bool
{
    return at.key == part_epoch_key;
}

/// @brief The epoch that a part's row names; 0 for none, as in a row that is
/// not there.
[[nodiscard]] inline auto named_epoch(const stored_row& row) -> std::uint64_t
{
    std::uint64_t named = 0;
    const auto& text = row.value;
    std::from_chars(text.data(), text.data() + text.size(), named);
    return named;
}

/// @brief A row of progress; those of several owners and parts are put
/// together.
[[nodiscard]] inline auto progress_row(const job_id& job, std::uint64_t epoch,
                                       std::size_t part) -> row_key
{
    return {progress_table, progress_part(part),
            job.str() + "@" + std::to_string(epoch)};
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

/// @brief The ranges that hold a job's rows in the inbox.
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

/// @brief All progress, or that of one job.
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
