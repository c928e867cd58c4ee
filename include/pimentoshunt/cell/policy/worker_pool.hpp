/// @file
/// The workers of each service by the room that they offer. Answers a load of
/// many waiting steps on many workers: each step looks for the emptiest workers
/// in every pass, and most workers of a busy cell have no room for it.
///
/// Inputs: room, claims and speeds of the workers as of their last change;
/// whether a worker may get work, at most one supervision interval old: whoever
/// uses the result checks that again. A worker that is not listed yet is not
/// chosen. Used by the scheduler on the control thread; no I/O.
#pragma once

#include <pimentoshunt/cell/detail/records.hpp>
#include <pimentoshunt/cell/policy/speed_preference.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t, uint64_t
#include <map>     // map
#include <vector>  // vector

namespace pimentoshunt::cell
{
namespace policy
{

/// @brief Sums over the workers of a service that count as its capacity.
struct pool_sums
{
    resources capacity;
    resources room;
};

} // namespace policy

namespace detail
{

/// @brief What a ranking reads of a worker, side by side in memory.
struct pool_place
{
    worker_record* worker = nullptr;
    std::int64_t room = 0;
    std::int64_t unclaimed = 0;
    double log_speed = 0;
    /// Position in the order in which workers became known.
    std::uint64_t ordinal = 0;
    bool is_offered = false;
    bool is_counted = false;
    /// What the worker adds to the sums.
    policy::pool_sums counted;
};

/// @brief The workers of a service.
struct service_places
{
    std::vector<pool_place> places;
    policy::pool_sums sums;
};

} // namespace detail

namespace policy
{

/// @brief Whether a worker may get work, and whether it counts as capacity of
/// its service.
struct pool_state
{
    bool is_offered = false;
    bool is_counted = false;
};

/// @brief Hands out workers one by one, the most suitable first.
/// @note The room of workers may change meanwhile; the order is that of the
///       time of construction.
class worker_ranking
{
  public:
    /// @brief The next worker; nullptr: there is none left.
    /// @complexity logarithmic in the number of workers left
    [[nodiscard]] auto next() -> detail::worker_record*;

  private:
    friend class worker_pool;

    struct place
    {
        bool lacks_room = false;
        double cost = 0;
        std::int64_t unclaimed = 0;
        std::uint64_t ordinal = 0;
        detail::worker_record* worker = nullptr;
    };

    static auto is_worse(const place& left, const place& right) -> bool;

    /// A heap with the most suitable worker first.
    std::vector<place> m_places;
};

/// @brief Lists workers by service. Keeps references to their records: a record
/// must be removed before it is destroyed.
class worker_pool
{
  public:
    /// @brief Which workers a ranking contains.
    enum class content
    {
        /// Those with room for at least one task.
        with_room,
        /// Full ones too, after the others.
        all
    };

    /// @brief Lists a worker, or updates all that is known of it.
    auto update(detail::worker_record& worker, pool_state state) -> void;

    /// @brief Updates the room of a listed worker; no effect on another one.
    auto update_room(detail::worker_record& worker) -> void;

    auto remove(detail::worker_record& worker) -> void;

    /// @brief Ranks the offered workers of a service by preference, then by
    /// processors that no request in flight claims.
    /// @complexity linear in the number of workers, but for few numbers of each
    /// @param one  processors of one task
    [[nodiscard]] auto rank(const service_name& service, std::int64_t one,
                            const speed_preference& preference,
                            content which = content::with_room) const
        -> worker_ranking;

    /// @brief The offered workers of a service with room for one task.
    /// @param one  processors of the task
    [[nodiscard]] auto with_room(const service_name& service,
                                 std::int64_t one) const
        -> std::vector<detail::worker_record*>;

    /// @brief Sums over the counted workers of a service.
    [[nodiscard]] auto sums(const service_name& service) const -> pool_sums;

  private:
    std::map<service_name, detail::service_places> m_services;
    std::uint64_t m_last_ordinal = 0;
};

} // namespace policy
} // namespace pimentoshunt::cell
