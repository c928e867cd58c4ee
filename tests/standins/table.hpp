/// @file
/// The in-memory transactional table and object store of the platform
/// stand-in; its HTTP handlers call them from several threads.
#pragma once

#include <pimentoshunt/platform/port.hpp>

#include <cstddef>  // size_t
#include <map>      // map
#include <mutex>    // mutex
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

namespace pimentoshunt::standins
{

/// @brief Result of a transaction.
struct commit_result
{
    bool committed = false;
    /// New row version of each operation if committed; 0 for a deleted row.
    std::vector<std::int64_t> versions;
    /// Rows whose version differs from the expected one, if not committed.
    /// Their values are left empty; an absent row has version 0.
    std::vector<platform::row> conflicts;
};

/// @brief A table of versioned rows with compare-and-swap. Thread-safe.
class table
{
  public:
    /// @brief The row @p key, if present.
    /// @complexity logarithmic in the number of rows
    [[nodiscard]] auto read(const std::string& key) const
        -> std::optional<platform::row>;

    /// @brief Up to @p limit rows whose keys begin with @p prefix and come
    /// after the key @p after, in key order.
    [[nodiscard]] auto scan(const std::string& prefix, const std::string& after,
                            std::size_t limit) const
        -> std::vector<platform::row>;

    /// @brief Applies all operations, or none if a row is at another version
    /// than expected.
    auto commit(const platform::transaction& change) -> commit_result;

  private:
    [[nodiscard]] auto find_conflicts(const platform::transaction& change) const
        -> std::vector<platform::row>;
    auto apply(const platform::operation& change, const std::string& write_id)
        -> std::int64_t;

    mutable std::mutex m_mutex;
    std::map<std::string, platform::row> m_rows;
};

/// @brief A store of named byte strings. Thread-safe.
class object_store
{
  public:
    auto put(const std::string& name, std::string bytes) -> void;
    [[nodiscard]] auto get(const std::string& name) const
        -> std::optional<std::string>;

  private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_objects;
};

} // namespace pimentoshunt::standins
