/// @file
/// Stores the accepted plan in the platform's table: one row for the plan in
/// force, replaced by compare-and-swap, and one row for each revision.
#pragma once

#include <pimentoshunt/error.hpp>
#include <pimentoshunt/platform/port.hpp>
#include <pimentoshunt/platform/write_id.hpp>

#include <chrono>   // system_clock
#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <string>   // string
#include <utility>  // move

namespace pimentoshunt::plan
{

/// Longer texts are kept in the object store, and the row holds the object's
/// name.
inline constexpr std::size_t max_inline_text_bytes = std::size_t{64} << 10;
/// Key of the row that holds the plan in force.
inline constexpr const char* current_plan_key = "plan/current";

/// Error id: the plan was changed since the operator read it.
inline constexpr int stale_revision = 251;
/// Error id: it is not known whether the plan was accepted.
inline constexpr int submission_outcome_unknown = 252;
/// Error id: the stored plan can't be parsed, or its object is missing.
inline constexpr int stored_plan_unreadable = 253;

/// @brief A plan as stored; its text was validated before it was submitted.
struct stored_plan
{
    std::uint64_t revision = 0;
    std::string submitted_by;
    /// Wall-clock time of the instance that accepted the plan.
    std::chrono::system_clock::time_point accepted_at;
    std::string text;
};

/// @brief A plan that an operator submits.
struct plan_submission
{
    std::string text;
    /// Revision that the operator edited; 0 if there was no plan.
    std::uint64_t based_on = 0;
    std::string submitted_by;
};

namespace detail
{

/// @brief Value of a plan row; the text may be kept in the object store.
struct plan_row
{
    stored_plan plan;
    /// Name of the object that holds the text; empty if the row holds it.
    std::string object;
    /// Write id of the commit that created the revision.
    std::string write_id;
};

[[nodiscard]] auto serialize_plan_row(const plan_row& item) -> std::string;
[[nodiscard]] auto parse_plan_row(const std::string& text)
    -> std::optional<plan_row>;
[[nodiscard]] auto history_key(std::uint64_t revision) -> std::string;
[[nodiscard]] auto stale_revision_error(std::uint64_t based_on,
                                        std::uint64_t in_force)
    -> leaf::error_id;
[[nodiscard]] auto unknown_outcome_error(std::uint64_t revision)
    -> leaf::error_id;
[[nodiscard]] auto unreadable_plan_error(const std::string& key)
    -> leaf::error_id;

} // namespace detail

/// @brief Reads and replaces the accepted plan; calls block.
/// @tparam Platform  satisfies platform::port
template<class Platform>
class plan_store
{
  public:
    /// @param store  must outlive this object
    /// @param writer  unique among all writers ever, such as
    ///                "instance#incarnation"
    plan_store(Platform& store, std::string writer)
        : m_store(store), m_write_ids(std::move(writer))
    {
    }

    /// @brief Puts a plan in force if the revision in force is still the one
    /// that the submission is based on.
    /// @return the new revision
    /// @throw (leaf) plan 251 with both revisions if the submission is stale;
    ///        plan 252 if the outcome is unknown; plan 253 if the stored plan
    ///        is unreadable; platform errors if nothing changed
    [[nodiscard]] auto submit(const plan_submission& submission)
        -> result<std::uint64_t>;

    /// @brief Reads the plan in force.
    /// @return nothing if no plan was ever accepted
    /// @throw (leaf) platform errors; plan 253 if the plan is unreadable
    [[nodiscard]] auto read() -> result<std::optional<stored_plan>>
    {
        return read_row(current_plan_key);
    }

    /// @brief Reads a given revision.
    /// @return nothing if there is no such revision
    /// @throw (leaf) platform errors; plan 253 if the plan is unreadable
    [[nodiscard]] auto read(std::uint64_t revision)
        -> result<std::optional<stored_plan>>
    {
        return read_row(detail::history_key(revision));
    }

    /// @brief Reads the number of the revision in force; 0 if there is no plan.
    /// @throw (leaf) platform errors; plan 253
    [[nodiscard]] auto read_revision() -> result<std::uint64_t>;

  private:
    [[nodiscard]] auto read_row(const std::string& key)
        -> result<std::optional<stored_plan>>;
    [[nodiscard]] auto store_long_text(detail::plan_row& item) -> result<void>;
    [[nodiscard]] auto resolve_lost_commit(const detail::plan_row& item)
        -> result<std::uint64_t>;

    Platform& m_store;
    platform::write_id_source m_write_ids;
};

template<class Platform>
auto plan_store<Platform>::submit(const plan_submission& submission)
    -> result<std::uint64_t>
{
    BOOST_LEAF_AUTO(row, m_store.read(current_plan_key));
    std::uint64_t in_force = 0;
    if (row)
    {
        const auto current = detail::parse_plan_row(row->value);
        if (!current)
        {
            return detail::unreadable_plan_error(current_plan_key);
        }
        in_force = current->plan.revision;
    }
    if (in_force != submission.based_on)
    {
        return detail::stale_revision_error(submission.based_on, in_force);
    }
    detail::plan_row item;
    item.write_id = m_write_ids.next();
    item.plan = {in_force + 1, submission.submitted_by,
                 std::chrono::system_clock::now(), submission.text};
    BOOST_LEAF_CHECK(store_long_text(item));
    const auto value = detail::serialize_plan_row(item);
    const platform::transaction change{
        item.write_id,
        {{current_plan_key, row ? row->version : platform::expect_absent,
          value},
         {detail::history_key(item.plan.revision), platform::expect_absent,
          value}}};
    // false: the commit had no effect. Empty: its outcome is unknown and is
    // determined from the history row below.
    const auto committed = handle(
        [&]() -> result<std::optional<bool>>
        {
            BOOST_LEAF_AUTO(outcome, m_store.commit(change));
            return std::optional<bool>(outcome.committed);
        },
        [](const error& fault)
        {
            const bool unsent = fault.id == platform::not_sent ||
                                fault.id == platform::call_refused;
            return unsent ? std::optional<bool>(false) : std::nullopt;
        });
    if (committed && *committed)
    {
        return item.plan.revision;
    }
    if (committed)
    {
        // Either another submission won, or the request was not sent; the
        // revision in force tells which.
        BOOST_LEAF_AUTO(now_in_force, read_revision());
        if (now_in_force != submission.based_on)
        {
            return detail::stale_revision_error(submission.based_on,
                                                now_in_force);
        }
        return leaf::new_error(
            error{error_kind::platform, platform::not_sent, current_plan_key,
                  "the plan was not accepted: the store made no change",
                  "submit it again"});
    }
    return resolve_lost_commit(item);
}

template<class Platform>
auto plan_store<Platform>::resolve_lost_commit(const detail::plan_row& item)
    -> result<std::uint64_t>
{
    // A history row is never overwritten. Its write id therefore tells who
    // created the revision, even if later plans were accepted since.
    const auto found = handle(
        [&]() -> result<std::optional<platform::row>>
        {
            return m_store.read(detail::history_key(item.plan.revision));
        },
        [](const error&)
        {
            return std::optional<platform::row>();
        });
    const auto seen =
        found ? detail::parse_plan_row(found->value) : std::nullopt;
    if (!seen)
    {
        return detail::unknown_outcome_error(item.plan.revision);
    }
    if (seen->write_id != item.write_id)
    {
        return detail::stale_revision_error(item.plan.revision - 1,
                                            seen->plan.revision);
    }
    return item.plan.revision;
}

template<class Platform>
auto plan_store<Platform>::store_long_text(detail::plan_row& item)
    -> result<void>
{
    if (item.plan.text.size() <= max_inline_text_bytes)
    {
        return {};
    }
    // The write id makes the name unique: if the commit loses to another
    // submission, the object is left over but no row refers to it.
    item.object = "plan/" + item.write_id;
    return m_store.put_object(item.object, item.plan.text);
}

template<class Platform>
auto plan_store<Platform>::read_row(const std::string& key)
    -> result<std::optional<stored_plan>>
{
    BOOST_LEAF_AUTO(row, m_store.read(key));
    if (!row)
    {
        return std::optional<stored_plan>();
    }
    auto item = detail::parse_plan_row(row->value);
    if (!item)
    {
        return detail::unreadable_plan_error(key);
    }
    if (item->object.empty())
    {
        return std::optional<stored_plan>(std::move(item->plan));
    }
    BOOST_LEAF_AUTO(text, m_store.get_object(item->object));
    if (!text)
    {
        return detail::unreadable_plan_error(item->object);
    }
    item->plan.text = std::move(*text);
    return std::optional<stored_plan>(std::move(item->plan));
}

template<class Platform>
auto plan_store<Platform>::read_revision() -> result<std::uint64_t>
{
    BOOST_LEAF_AUTO(row, m_store.read(current_plan_key));
    if (!row)
    {
        return std::uint64_t{0};
    }
    const auto item = detail::parse_plan_row(row->value);
    if (!item)
    {
        return detail::unreadable_plan_error(current_plan_key);
    }
    return item->plan.revision;
}

} // namespace pimentoshunt::plan
