/// @file
/// At most one run for each idempotency key, over all instances; the table row
/// of the key decides. docs/design/idempotency.md has the reasons.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/entry/idempotency_record.hpp>
#include <pimentoshunt/error.hpp>
#include <pimentoshunt/platform/group_commit.hpp>
#include <pimentoshunt/worker/port.hpp>

#include <algorithm> // min
#include <chrono>    // system_clock
#include <cstddef>   // size_t
#include <cstdint>   // int64_t
#include <deque>     // deque
#include <mutex>     // mutex
#include <optional>  // optional
#include <string>    // string
#include <thread>    // sleep_for
#include <utility>   // move
#include <vector>    // vector

namespace pimentoshunt::entry
{

/// The key is empty, too long, or the stored row of it is unreadable.
inline constexpr int idempotency_key_invalid = 551;
/// Another instance has taken the key over: this one may not run it.
inline constexpr int idempotency_claim_lost = 552;

/// @brief Times and bounds of the log.
struct idempotency_limits
{
    milliseconds initial_poll{20};
    milliseconds max_poll{500};
    /// How long a live holder is left alone before its attempt is looked up at
    /// the worker, which bars an attempt that has not started.
    milliseconds holder_grace{1'000};
    /// How long a holder may take from before the claim until it sends; far
    /// below the ten minutes for which a worker remembers a revocation.
    milliseconds max_claim_to_send{60'000};
    /// Rows older than that are removed.
    std::chrono::hours retention{24};
    /// Answers that wait in memory while the table is down.
    std::size_t max_unrecorded_responses = 1'024;
    /// The same, in body bytes.
    std::size_t max_unrecorded_bytes = std::size_t{16} << 20;
};

/// @brief What a request would be run as.
struct idempotency_claim
{
    idempotency_key key;
    std::string fingerprint;
    attempt_id attempt;
    std::string worker_url;
};

/// @brief The right to send one attempt to one worker.
struct idempotency_permit
{
    idempotency_key key;
    /// Of the row as this holder wrote it.
    std::int64_t version = 0;
    idempotency_record record;
    /// After that the attempt must not be sent any more.
    time_point send_before;
};

/// @brief What to do with a keyed request.
enum class idempotency_verdict
{
    /// Send it, with the ticket.
    run,
    /// Give the stored answer.
    replay,
    /// An earlier one runs, as far as is known; ask again later.
    in_progress,
    /// An earlier one may have run and its answer is lost: it is never run
    /// again, and its effect has to be looked up at the application.
    unknown,
    /// The key belongs to another request.
    mismatch,
    /// No row, or one that a repeat may take over; only from peek().
    vacant
};

/// @brief A verdict with what it needs.
struct idempotency_decision
{
    idempotency_verdict verdict = idempotency_verdict::unknown;
    /// Set for run.
    std::optional<idempotency_permit> permit;
    /// Set for replay.
    std::optional<stored_response> response;
    /// The earlier attempt, for in_progress and unknown.
    attempt_id earlier;
    /// "instance#incarnation" that sends or sent it, where there is a row.
    std::string holder;
    /// Where the earlier attempt was sent or would be.
    std::string worker_url;
};

/// @brief What one sweep did.
struct idempotency_sweep
{
    std::size_t seen = 0;
    std::size_t removed = 0;
    /// Whether it came to the end of the rows; the next begins at the front.
    bool complete = false;
};

namespace detail
{

[[nodiscard]] auto check_key(const idempotency_key& key) -> result<void>;
[[nodiscard]] auto claim_lost_error(const idempotency_key& key)
    -> leaf::error_id;
[[nodiscard]] auto record_unreadable_error(const std::string& row_key)
    -> leaf::error_id;

/// @brief Runs @p body, which returns a result of any type.
/// @return its error, or nothing
template<class Body>
auto error_of(Body&& body) -> std::optional<error>
{
    return handle(
        [&]() -> result<std::optional<error>>
        {
            auto outcome = body();
            if (!outcome)
            {
                return outcome.error();
            }
            return std::optional<error>();
        },
        [](const error& e)
        {
            return std::optional<error>(e);
        });
}

} // namespace detail

/// @brief Claims keys, records answers and decides about repeats. Safe for use
/// by many threads; calls block.
/// @tparam Platform  satisfies platform::port
template<class Platform>
class idempotency_log
{
  public:
    /// @param store  outlives this object
    /// @param holder  unique for all time, "instance#incarnation"
    idempotency_log(Platform& store, std::string holder,
                    idempotency_limits limits = {})
        : m_store(store), m_holder(holder), m_limits(limits),
          m_writes(store, std::move(holder))
    {
    }

    /// @brief Looks a key up without claiming it: a repeat that can be answered
    /// needs no worker.
    /// @throw (leaf) request 551; platform errors: nothing is known of the key
    [[nodiscard]] auto peek(const idempotency_key& key,
                            const std::string& fingerprint)
        -> result<idempotency_decision>;

    /// @brief Claims a key, or finds out what became of the earlier request.
    /// Waits for an earlier one that runs.
    /// @param claim  its attempt has been sent nowhere
    /// @param until  when the caller's wait ends
    /// @param holder_dead  bool(const std::string& holder): certain of it; a
    ///        wrong "dead" costs a retry or an unknown, never a second run
    /// @param workers  satisfies worker::port
    /// @throw (leaf) request 551; platform errors: the claim's attempt must not
    ///        be sent
    template<class Dead, class Workers>
    [[nodiscard]] auto begin(const idempotency_claim& claim, time_point until,
                             Dead&& holder_dead, Workers& workers)
        -> result<idempotency_decision>;

    /// @brief Moves a claim to another attempt, after the worker refused the
    /// first or could not be reached; never after an unknown outcome.
    /// @throw (leaf) request 552; platform errors: it must not be sent
    [[nodiscard]] auto rebind(const idempotency_permit& permit,
                              const attempt_id& attempt,
                              const std::string& worker_url, time_point until)
        -> result<idempotency_permit>;

    /// @brief Records the whole answer; to be called before the answer is
    /// given. When the table does not take it in time it waits in memory for
    /// flush().
    /// @throw (leaf) request 552; platform errors: not recorded yet
    [[nodiscard]] auto record_response(const idempotency_permit& permit,
                                       stored_response response,
                                       time_point until) -> result<void>;

    /// @brief Records that it has certainly not run.
    /// @throw (leaf) request 552; platform errors: the row stays "started",
    ///        and a repeat finds out from the worker
    [[nodiscard]] auto record_not_run(const idempotency_permit& permit,
                                      time_point until) -> result<void>;

    /// @brief Records that its outcome will never be known.
    /// @throw (leaf) request 552; platform errors: the row stays "started",
    ///        and repeats wait as for a request that runs
    [[nodiscard]] auto record_lost(const idempotency_permit& permit,
                                   time_point until) -> result<void>;

    /// @brief Tries again to record answers that wait in memory.
    /// @return how many still wait
    auto flush(time_point until) -> std::size_t;

    /// @brief Removes rows older than the limit, a bounded number at a time.
    /// @param now  wall-clock time
    /// @param batch  rows read, and at most removed, by this call
    /// @throw (leaf) platform errors
    [[nodiscard]] auto sweep(std::chrono::system_clock::time_point now,
                             std::size_t batch) -> result<idempotency_sweep>;

  private:
    struct key_row
    {
        std::int64_t version = platform::expect_absent;
        std::optional<idempotency_record> record;
    };

    struct unrecorded_response
    {
        idempotency_permit permit;
        stored_response response;
    };

    [[nodiscard]] auto find(const idempotency_key& key) -> result<key_row>;
    [[nodiscard]] auto evaluate(const key_row& found,
                                const std::string& fingerprint)
        -> result<idempotency_decision>;
    [[nodiscard]] auto load_body(const idempotency_record& record)
        -> result<stored_response>;
    [[nodiscard]] auto try_claim(const idempotency_claim& claim,
                                 std::int64_t expect, time_point until)
        -> result<std::optional<idempotency_permit>>;
    template<class Workers>
    [[nodiscard]] static auto
    revoke_earlier_attempt(const idempotency_record& record, Workers& workers)
        -> worker::attempt_state;
    [[nodiscard]] auto rewrite(const idempotency_permit& permit,
                               const idempotency_record& record,
                               time_point until) -> result<std::int64_t>;
    [[nodiscard]] auto write_response(const idempotency_permit& permit,
                                      const stored_response& response,
                                      time_point until) -> result<void>;
    /// Whether the row already holds the answer of this very attempt, as after
    /// a commit whose outcome was unknown.
    [[nodiscard]] auto has_response_of(const idempotency_permit& permit)
        -> bool;
    auto queue_unrecorded(const idempotency_permit& permit,
                          stored_response response) -> void;

    Platform& m_store;
    const std::string m_holder;
    const idempotency_limits m_limits;
    platform::group_committer<Platform> m_writes;
    std::mutex m_mutex;
    std::deque<unrecorded_response> m_unrecorded;
    std::size_t m_unrecorded_bytes = 0;
    std::string m_sweep_cursor;
};

} // namespace pimentoshunt::entry

#include <pimentoshunt/entry/idempotency_log_impl.hpp>
