/// @file
/// Rows of the inbox as an owner reads them.
#pragma once

#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/row_codec.hpp>

#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <vector>   // vector

namespace pimentoshunt::cell
{

/// @brief A job of the inbox, and the version of its row.
struct versioned_job
{
    inbox_job item;
    std::uint64_t version = 0;
};

/// @brief All of the inbox, as a new owner reads it.
struct inbox_content
{
    std::map<job_id, versioned_job> jobs;
    std::vector<job_id> cancelled;
};

/// @return nothing when the row is no job, which is logged
[[nodiscard]] auto read_inbox_row(const stored_row& row)
    -> std::optional<versioned_job>;

/// @brief Puts all rows together. A job that lies in two parts has the lower
/// epoch: the owner of that time may have seen the row.
[[nodiscard]] auto read_inbox(const std::vector<stored_row>& rows)
    -> inbox_content;

} // namespace pimentoshunt::cell
