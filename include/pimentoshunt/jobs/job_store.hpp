/// @file
/// Stores jobs in the platform's table. The owner of a partition rewrites the
/// partition's row in each commit, so that a later owner's claim makes every
/// commit of the earlier owner fail.
#pragma once

#include <pimentoshunt/error.hpp>
#include <pimentoshunt/jobs/job_record.hpp>
#include <pimentoshunt/platform/port.hpp>
#include <pimentoshunt/platform/write_id.hpp>

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <iterator>      // make_move_iterator
#include <optional>      // optional
#include <string>        // string
#include <unordered_set> // unordered_set
#include <utility>       // move
#include <vector>        // vector

namespace pimentoshunt::jobs
{

/// Error id: another job has the id.
inline constexpr int job_id_taken = 651;
/// Error id: the id is empty, too long, or has invalid characters.
inline constexpr int job_id_invalid = 652;
/// Error id: a stored job cannot be parsed.
inline constexpr int stored_job_unreadable = 653;
/// Error id: another instance owns the partition.
inline constexpr int partition_lost = 654;

inline constexpr std::size_t max_job_id_bytes = 64;

/// @brief The row of a partition.
struct partition_state
{
    int partition = 0;
    /// "instance#incarnation"; empty when the partition was never claimed.
    std::string owner;
    /// Fencing token of the owner; grows with each claim.
    std::uint64_t epoch = 0;
    /// Version of the row; 0 when there is none.
    std::int64_t version = 0;
};

/// @brief The changes that the owner of a partition commits together.
struct partition_update
{
    /// The row as known to the owner; a successful commit advances its version.
    partition_state claim;
    struct job_update
    {
        job_id id;
        job_progress progress;
    };
    std::vector<job_update> jobs;
    /// Jobs whose rows are removed.
    std::vector<job_id> erased;
    /// Set by persist(). False when the row had changed, by another owner or by
    /// an own commit of unknown outcome; refresh() distinguishes the two.
    bool committed = false;
};

/// @brief The outcome of a submission.
struct job_submit_outcome
{
    /// False when the same job was submitted before under this id.
    bool created = false;
};

namespace detail
{

[[nodiscard]] auto check_job_id(const job_id& id) -> result<void>;
[[nodiscard]] auto spec_key(const job_id& id) -> std::string;
[[nodiscard]] auto progress_key(const job_id& id) -> std::string;
[[nodiscard]] auto cancel_key(const job_id& id) -> std::string;
[[nodiscard]] auto partition_key(int partition) -> std::string;
[[nodiscard]] auto partition_prefix(const char* table, int partition)
    -> std::string;
[[nodiscard]] auto serialize_partition(const partition_state& state)
    -> std::string;
[[nodiscard]] auto parse_partition(int partition, const platform::row& row)
    -> partition_state;
[[nodiscard]] auto job_id_taken_error(const job_id& id) -> leaf::error_id;
[[nodiscard]] auto stored_job_unreadable_error(const std::string& key)
    -> leaf::error_id;
[[nodiscard]] auto partition_lost_error(int partition) -> leaf::error_id;
/// Appends the operations of one partition; the first rewrites the partition's
/// row.
auto append_operations(const partition_update& update,
                       std::vector<platform::operation>& out) -> void;

/// @brief Reads pages until one is empty.
/// @param next  returns the page after a job id
/// @param id_of  returns the id of an item, to find the next page
template<class Item, class Next, class Id>
[[nodiscard]] auto read_pages(Next next, Id id_of) -> result<std::vector<Item>>
{
    std::vector<Item> all;
    job_id after;
    for (;;)
    {
        BOOST_LEAF_AUTO(some, next(after));
        if (some.empty())
        {
            return all;
        }
        after = id_of(some.back());
        all.insert(all.end(), std::make_move_iterator(some.begin()),
                   std::make_move_iterator(some.end()));
    }
}

} // namespace detail

/// @brief Reads and writes jobs; calls block on the platform's table. Any
/// instance may submit, read and cancel jobs; the other functions are for the
/// owner of a partition.
/// @tparam Platform  satisfies platform::port
template<class Platform>
class job_store
{
  public:
    /// @param store  outlives this object
    /// @param owner  "instance#incarnation" of this instance, never reused
    job_store(Platform& store, std::string owner)
        : m_store(store), m_owner(owner), m_write_ids(std::move(owner))
    {
    }

    /// @brief Stores a new job. Submitting the same job again is not an error.
    /// @throw (leaf) job 651, 652; platform errors: 301 when the job may have
    ///        been stored
    [[nodiscard]] auto submit(const job_spec& spec)
        -> result<job_submit_outcome>;

    /// @brief Reads a job.
    /// @return nothing when there is no such job
    /// @throw (leaf) job 652, 653; platform errors
    [[nodiscard]] auto read(const job_id& id)
        -> result<std::optional<job_record>>;

    /// @brief Lists at most @p limit jobs of a partition after @p after, in id
    /// order.
    /// @throw (leaf) job 653; platform errors
    [[nodiscard]] auto list(int partition, const job_id& after,
                            std::size_t limit)
        -> result<std::vector<job_record>>;

    /// @brief Lists all jobs of a partition, read page by page.
    /// @param page  most rows in one page
    /// @throw (leaf) job 653; platform errors
    [[nodiscard]] auto list_all(int partition, std::size_t page)
        -> result<std::vector<job_record>>;

    /// @brief Stores a request to cancel a job, which the partition's owner
    /// reads.
    /// @throw (leaf) job 652; platform errors: 301 when the request may have
    ///        been stored
    [[nodiscard]] auto request_cancel(const job_id& id) -> result<void>;

    /// @brief Lists at most @p limit jobs of a partition after @p after whose
    /// cancellation was requested.
    /// @throw (leaf) platform errors
    [[nodiscard]] auto list_cancels(int partition, const job_id& after,
                                    std::size_t limit)
        -> result<std::vector<job_id>>;

    /// @brief Lists all jobs of a partition whose cancellation was requested,
    /// read page by page.
    /// @param page  most rows in one page
    /// @throw (leaf) platform errors
    [[nodiscard]] auto list_all_cancels(int partition, std::size_t page)
        -> result<std::vector<job_id>>;

    /// @brief Reads a partition's row; version and epoch are 0 without a row.
    /// @throw (leaf) platform errors
    [[nodiscard]] auto read_partition(int partition) -> result<partition_state>;

    /// @brief Takes over a partition from its owner.
    /// @param seen  the partition's row as read before
    /// @return the claim, with a new epoch
    /// @throw (leaf) job 654 when the row has changed since; platform errors:
    ///        301 when the partition may have been claimed and has to be read
    ///        again
    [[nodiscard]] auto claim(const partition_state& seen)
        -> result<partition_state>;

    /// @brief Commits the progress of many jobs of many partitions together.
    /// A partition that another instance owns is left out, and its
    /// partition_update::committed stays false.
    /// @throw (leaf) platform errors: after 301 refresh() each claim, then
    ///        commit the same updates again
    [[nodiscard]] auto persist(std::vector<partition_update>& updates)
        -> result<void>;

    /// @brief Returns the claim with the row's current version, after a commit
    /// of unknown outcome.
    /// @throw (leaf) job 654 when another instance owns it; platform errors
    [[nodiscard]] auto refresh(const partition_state& claim)
        -> result<partition_state>;

  private:
    [[nodiscard]] auto persist_once(std::vector<partition_update*>& open)
        -> result<bool>;

    Platform& m_store;
    const std::string m_owner;
    platform::write_id_source m_write_ids;
};

template<class Platform>
auto job_store<Platform>::submit(const job_spec& spec)
    -> result<job_submit_outcome>
{
    BOOST_LEAF_CHECK(detail::check_job_id(spec.id));
    const auto key = detail::spec_key(spec.id);
    const auto value = serialize(spec);
    BOOST_LEAF_AUTO(outcome,
                    m_store.commit({m_write_ids.next(),
                                    {{key, platform::expect_absent, value}}}));
    if (outcome.committed)
    {
        return job_submit_outcome{true};
    }
    BOOST_LEAF_AUTO(row, m_store.read(key));
    if (!row || row->value != value)
    {
        return detail::job_id_taken_error(spec.id);
    }
    return job_submit_outcome{false};
}

template<class Platform>
auto job_store<Platform>::read(const job_id& id)
    -> result<std::optional<job_record>>
{
    BOOST_LEAF_CHECK(detail::check_job_id(id));
    BOOST_LEAF_AUTO(spec_row, m_store.read(detail::spec_key(id)));
    if (!spec_row)
    {
        return std::optional<job_record>();
    }
    const auto spec = parse_job_spec(spec_row->value);
    if (!spec)
    {
        return detail::stored_job_unreadable_error(spec_row->key);
    }
    BOOST_LEAF_AUTO(progress_row, m_store.read(detail::progress_key(id)));
    if (!progress_row)
    {
        return std::optional<job_record>(job_record{*spec, {}});
    }
    const auto progress = parse_job_progress(progress_row->value);
    if (!progress)
    {
        return detail::stored_job_unreadable_error(progress_row->key);
    }
    return std::optional<job_record>(job_record{*spec, *progress});
}

template<class Platform>
auto job_store<Platform>::list(int partition, const job_id& after,
                               std::size_t limit)
    -> result<std::vector<job_record>>
{
    const auto prefix = detail::partition_prefix("job", partition);
    const auto progress_prefix =
        detail::partition_prefix("progress", partition);
    BOOST_LEAF_AUTO(rows, m_store.scan(prefix, prefix + after.str(), limit));
    BOOST_LEAF_AUTO(
        progress_rows,
        m_store.scan(progress_prefix, progress_prefix + after.str(), limit));
    std::vector<job_record> out;
    out.reserve(rows.size());
    auto at = progress_rows.begin();
    for (const auto& row : rows)
    {
        const auto spec = parse_job_spec(row.value);
        if (!spec)
        {
            return detail::stored_job_unreadable_error(row.key);
        }
        out.push_back({*spec, {}});
        const auto key = detail::progress_key(spec->id);
        while (at != progress_rows.end() && at->key < key)
        {
            ++at;
        }
        if (at == progress_rows.end() || at->key != key)
        {
            continue;
        }
        auto progress = parse_job_progress(at->value);
        if (!progress)
        {
            return detail::stored_job_unreadable_error(at->key);
        }
        out.back().progress = std::move(*progress);
    }
    return out;
}

template<class Platform>
auto job_store<Platform>::list_all(int partition, std::size_t page)
    -> result<std::vector<job_record>>
{
    return detail::read_pages<job_record>(
        [&](const job_id& after)
        {
            return list(partition, after, page);
        },
        [](const job_record& last)
        {
            return last.spec.id;
        });
}

template<class Platform>
auto job_store<Platform>::request_cancel(const job_id& id) -> result<void>
{
    BOOST_LEAF_CHECK(detail::check_job_id(id));
    BOOST_LEAF_CHECK(m_store.commit(
        {m_write_ids.next(),
         {{detail::cancel_key(id), platform::expect_any, m_owner}}}));
    return {};
}

template<class Platform>
auto job_store<Platform>::list_cancels(int partition, const job_id& after,
                                       std::size_t limit)
    -> result<std::vector<job_id>>
{
    const auto prefix = detail::partition_prefix("cancel", partition);
    BOOST_LEAF_AUTO(rows, m_store.scan(prefix, prefix + after.str(), limit));
    std::vector<job_id> out;
    out.reserve(rows.size());
    for (const auto& row : rows)
    {
        out.emplace_back(row.key.substr(prefix.size()));
    }
    return out;
}

template<class Platform>
auto job_store<Platform>::list_all_cancels(int partition, std::size_t page)
    -> result<std::vector<job_id>>
{
    return detail::read_pages<job_id>(
        [&](const job_id& after)
        {
            return list_cancels(partition, after, page);
        },
        [](const job_id& last)
        {
            return last;
        });
}

template<class Platform>
auto job_store<Platform>::read_partition(int partition)
    -> result<partition_state>
{
    BOOST_LEAF_AUTO(row, m_store.read(detail::partition_key(partition)));
    if (!row)
    {
        partition_state out;
        out.partition = partition;
        return out;
    }
    return detail::parse_partition(partition, *row);
}

template<class Platform>
auto job_store<Platform>::claim(const partition_state& seen)
    -> result<partition_state>
{
    auto next = seen;
    next.owner = m_owner;
    next.epoch = seen.epoch + 1;
    next.version = seen.version + 1;
    BOOST_LEAF_AUTO(
        outcome,
        m_store.commit({m_write_ids.next(),
                        {{detail::partition_key(seen.partition), seen.version,
                          detail::serialize_partition(next)}}}));
    if (!outcome.committed)
    {
        return detail::partition_lost_error(seen.partition);
    }
    return next;
}

template<class Platform>
auto job_store<Platform>::refresh(const partition_state& claim)
    -> result<partition_state>
{
    BOOST_LEAF_AUTO(now, read_partition(claim.partition));
    if (now.owner != claim.owner || now.epoch != claim.epoch)
    {
        return detail::partition_lost_error(claim.partition);
    }
    return now;
}

template<class Platform>
auto job_store<Platform>::persist(std::vector<partition_update>& updates)
    -> result<void>
{
    std::vector<partition_update*> open;
    for (auto& update : updates)
    {
        update.committed = false;
        open.push_back(&update);
    }
    while (!open.empty())
    {
        BOOST_LEAF_AUTO(committed, persist_once(open));
        if (committed)
        {
            return {};
        }
    }
    return {};
}

template<class Platform>
auto job_store<Platform>::persist_once(std::vector<partition_update*>& open)
    -> result<bool>
{
    platform::transaction change{m_write_ids.next(), {}};
    for (const auto* update : open)
    {
        detail::append_operations(*update, change.operations);
    }
    BOOST_LEAF_AUTO(outcome, m_store.commit(change));
    if (outcome.committed)
    {
        for (auto* update : open)
        {
            ++update->claim.version;
            update->committed = true;
        }
        return true;
    }
    std::unordered_set<std::string> lost;
    for (const auto& row : outcome.conflicts)
    {
        lost.insert(row.key);
    }
    std::vector<partition_update*> rest;
    for (auto* update : open)
    {
        if (lost.count(detail::partition_key(update->claim.partition)) == 0)
        {
            rest.push_back(update);
        }
    }
    if (rest.size() == open.size())
    {
        return leaf::new_error(
            error{error_kind::platform, platform::answer_malformed, "commit",
                  "the platform refused a commit without naming a conflict",
                  "compare the platform's version with "
                  "docs/platform-contract.md"});
    }
    open = std::move(rest);
    return false;
}

} // namespace pimentoshunt::jobs
