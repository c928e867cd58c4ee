/// @file
/// Reads whole ranges of the store page by page. Used by the control thread.
#pragma once

#include <pimentoshunt/cell/ports.hpp>

#include <algorithm>  // min
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <functional> // function
#include <iterator>   // make_move_iterator
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <utility>    // move
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief Rows of a table and the version from which to follow changes; each
/// page was read at that version or later.
struct table_rows
{
    std::vector<stored_row> rows;
    std::uint64_t version = 0;
};

/// @brief What has been read of a range. A read that failed within the range
/// continues after the last page: over a slow link a range with many pages would
/// otherwise never be complete.
struct partial_range
{
    explicit partial_range(row_range range) : rest(std::move(range))
    {
    }

    row_range rest;
    table_rows found;
    bool has_pages = false;
    bool complete = false;

    auto add(read_result page) -> void
    {
        // The lowest version, so that the feed repeats changes made during the
        // read.
        found.version =
            has_pages ? std::min(found.version, page.version) : page.version;
        has_pages = true;
        for (auto& row : page.rows)
        {
            found.rows.push_back(std::move(row));
        }
        complete = !page.more || found.rows.empty();
        if (!complete)
        {
            // The smallest key that follows, in byte order.
            rest.from = found.rows.back().at.key + '\x01';
        }
    }
};

/// @brief Reads the pages of a range that are missing.
/// @param limit  time limit of each page; see cell_platform
/// @param done   called with whether the range is complete
template<class Platform>
auto read_rest(Platform& platform, std::shared_ptr<partial_range> range,
               milliseconds limit, std::function<void(bool)> done) -> void
{
    if (range->complete)
    {
        done(true);
        return;
    }
    platform.read(
        range->rest, limit,
        [&platform, range, limit, done = std::move(done)](read_result page)
        {
            if (!page.answered)
            {
                done(false);
                return;
            }
            range->add(std::move(page));
            read_rest(platform, range, limit, done);
        });
}

/// @brief Reads all rows of a range, page by page.
/// @param limit  time limit of each page; see cell_platform
/// @param done   called with an empty value if the store did not answer
template<class Platform>
auto read_range(Platform& platform, row_range range, milliseconds limit,
                std::function<void(std::optional<table_rows>)> done) -> void
{
    auto found = std::make_shared<partial_range>(std::move(range));
    read_rest(platform, found, limit,
              [found, done = std::move(done)](bool complete)
              {
                  done(complete ? std::optional(std::move(found->found))
                                : std::nullopt);
              });
}

/// @brief What has been read of several ranges.
using partial_ranges = std::vector<std::shared_ptr<partial_range>>;

/// @brief Reads the pages of several ranges that are missing, concurrently.
/// @param limit  time limit of each page
/// @param done   called with whether all ranges are complete
template<class Platform>
auto read_rest(Platform& platform, const partial_ranges& ranges,
               milliseconds limit, std::function<void(bool)> done) -> void
{
    struct combined_read
    {
        std::size_t missing = 0;
        bool complete = true;
    };
    auto state = std::make_shared<combined_read>();
    state->missing = ranges.size();
    const auto on_range_ended = [state, done = std::move(done)](bool complete)
    {
        state->complete = state->complete && complete;
        if (--state->missing == 0)
        {
            done(state->complete);
        }
    };
    for (const auto& range : ranges)
    {
        read_rest(platform, range, limit, on_range_ended);
    }
}

/// @brief The rows of all ranges. The version is the lowest of all, so that the
/// feed repeats later changes.
[[nodiscard]] inline auto combine(const partial_ranges& ranges) -> table_rows
{
    table_rows out;
    bool first = true;
    for (const auto& range : ranges)
    {
        auto& found = range->found;
        out.version =
            first ? found.version : std::min(out.version, found.version);
        first = false;
        out.rows.insert(out.rows.end(),
                        std::make_move_iterator(found.rows.begin()),
                        std::make_move_iterator(found.rows.end()));
    }
    return out;
}

/// @brief Ranges of which nothing has been read.
[[nodiscard]] inline auto unread(const std::vector<row_range>& ranges)
    -> partial_ranges
{
    partial_ranges out;
    for (const auto& range : ranges)
    {
        out.push_back(std::make_shared<partial_range>(range));
    }
    return out;
}

/// @brief Reads all rows of several ranges concurrently.
/// @param limit  time limit of each page
/// @param done   called with an empty value if the store did not answer for one
///               of the ranges
template<class Platform>
auto read_ranges(Platform& platform, const std::vector<row_range>& ranges,
                 milliseconds limit,
                 std::function<void(std::optional<table_rows>)> done) -> void
{
    const auto parts = unread(ranges);
    read_rest(platform, parts, limit,
              [parts, done = std::move(done)](bool complete)
              {
                  done(complete ? std::optional(combine(parts)) : std::nullopt);
              });
}

} // namespace pimentoshunt::cell
