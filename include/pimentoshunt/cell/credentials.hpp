/// @file
/// Digests of callers' keys. Keys themselves are kept nowhere.
#pragma once

#include <pimentoshunt/cell/model.hpp>

#include <cstddef>     // size_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace pimentoshunt::cell
{

/// Longest key that is accepted, in bytes.
inline constexpr std::size_t max_key_bytes = 1'024;

/// @brief SHA-256 of a salt of this process and @p key. The salt is random, so
/// that a digest is of no use outside the process.
/// @return empty if the key is empty, longer than @ref max_key_bytes, or can't
///         be hashed
[[nodiscard]] auto digest_of(std::string_view key) -> std::optional<key_digest>;

/// @brief Digest of the key that a caller sent.
/// @param authorization  values of the request's Authorization headers
/// @return empty unless there is exactly one, of the scheme Bearer, whose key is
///         a single word that @ref digest_of accepts
[[nodiscard]] auto caller_key_of(const std::vector<std::string>& authorization)
    -> std::optional<key_digest>;

/// @brief Whether two digests are equal, in a time that doesn't depend on them.
[[nodiscard]] auto are_equal(const key_digest& left, const key_digest& right)
    -> bool;

/// @brief The workspace that holds the key; nullptr if none does.
[[nodiscard]] auto find_key_owner(const configuration& in_force,
                                  const key_digest& key)
    -> const workspace_config*;

} // namespace pimentoshunt::cell
