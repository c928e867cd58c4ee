/// @file
/// In-memory table store of the platform: conditional transactions, one version
/// counter for all tables, and a bounded history of changes. Not thread-safe.
#pragma once

#include <pimentoshunt/cell/ports.hpp>

#include <cstdint>  // uint64_t
#include <deque>    // deque
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <tuple>    // tuple
#include <vector>   // vector

namespace pimentoshunt::soak
{

/// @brief Result of a transaction.
struct store_outcome
{
    bool committed = false;
    /// After a conflict, the existing rows of the conditions.
    std::vector<cell::stored_row> current;
};

/// @brief Rows of a range, and whether further rows follow.
struct store_page
{
    std::vector<cell::stored_row> rows;
    bool more = false;
};

/// @brief The rows and their history, without delays and faults.
class table_store
{
  public:
    /// @brief Applies all writes and removals, or none if a condition does not
    /// hold.
    auto apply(const cell::row_transaction& transaction) -> store_outcome;
    /// @brief Reads up to @p limit rows, at most 500; limit 0 means 500.
    [[nodiscard]] auto read(const cell::row_range& range,
                            std::size_t limit) const -> store_page;
    /// @brief Changes of a table after a version, oldest first; nothing if the
    /// history no longer contains all of them.
    [[nodiscard]] auto changes(const std::string& table,
                               std::uint64_t after) const
        -> std::optional<std::vector<cell::stored_row>>;
    [[nodiscard]] auto find(const cell::row_key& at) const
        -> std::optional<cell::stored_row>;
    /// @brief Drops all but the newest @p changes entries of the history.
    auto trim_history(std::size_t changes) -> void;

    [[nodiscard]] auto version() const noexcept -> std::uint64_t
    {
        return m_version;
    }

  private:
    using row_position = std::tuple<std::string, std::string, std::string>;

    [[nodiscard]] auto is_satisfied(const cell::row_condition& condition) const
        -> bool;
    auto append_history(cell::stored_row row) -> void;

    std::map<row_position, cell::stored_row> m_rows;
    std::deque<cell::stored_row> m_history;
    std::uint64_t m_version = 0;
    /// The history may lack changes up to this version.
    std::uint64_t m_trimmed_version = 0;
};

} // namespace pimentoshunt::soak
