/// @file
/// The platform's table store: rows, conditions, one counter of versions and a
/// bounded history.
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

/// @brief How a transaction ended.
struct store_outcome
{
    bool committed = false;
    /// After a conflict, the rows of the conditions that there are.
    std::vector<cell::stored_row> current;
};

/// @brief Rows of a range, and whether there are more.
struct store_page
{
    std::vector<cell::stored_row> rows;
    bool more = false;
};

/// @brief The rows; knows nothing of time or calls.
class table_store
{
  public:
    auto apply(const cell::row_transaction& transaction) -> store_outcome;
    [[nodiscard]] auto read(const cell::row_range& range,
                            std::size_t limit) const -> store_page;
    /// @brief Changes of a table after a version; nothing when the history
    /// does not reach back so far.
    [[nodiscard]] auto changes(const std::string& table,
                               std::uint64_t after) const
        -> std::optional<std::vector<cell::stored_row>>;
    [[nodiscard]] auto find(const cell::row_key& at) const
        -> std::optional<cell::stored_row>;
    /// @brief Keeps no more than the newest @p changes of the history.
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
    /// Changes up to this version are forgotten.
    std::uint64_t m_trimmed_version = 0;
};

} // namespace pimentoshunt::soak
