/// @file
/// Decodes the rows of the inbox for the owner of the cell.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/row_codec.hpp>

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <vector>   // vector

namespace pimentoshunt::cell
{

/// @brief A job of the inbox and the version of its row.
struct versioned_job
{
    inbox_job item;
    std::uint64_t version = 0;
};

/// @brief The whole inbox as a new owner reads it.
struct inbox_content
{
    std::map<job_id, versioned_job> jobs;
    std::vector<job_id> cancelled;
    std::vector<stored_row> tombstones;
};

/// @return empty if the row is not a valid job, which is logged
[[nodiscard]] auto read_inbox_row(const stored_row& row)
    -> std::optional<versioned_job>;

/// @brief Combines rows of all parts. A job stored in two parts gets the lower
/// epoch: the owner of that epoch may have seen the row and started the job.
[[nodiscard]] auto read_inbox(const std::vector<stored_row>& rows)
    -> inbox_content;

} // namespace pimentoshunt::cell
