/// @file
/// Executes a request at most once for each idempotency key, over all
/// instances. Conditional writes to the key's table row decide which instance
/// may send the request. docs/design/idempotency.md explains the protocol.
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

/// Error id: the key is empty or too long, or its stored row is unreadable.
inline constexpr int idempotency_key_invalid = 551;
/// Error id: another instance has taken over the key, so this one must not
/// send the request.
inline constexpr int idempotency_claim_lost = 552;

/// @brief Timings and limits of an idempotency log.
struct idempotency_limits
{
    /// Delay between reads of a row whose request is in progress; doubles with
    /// each read up to max_poll.
    milliseconds initial_poll{20};
    milliseconds max_poll{500};
    /// How long a live holder is waited for before its attempt is revoked at
    /// the worker, which prevents an attempt that has not started from starting
    /// later.
    milliseconds holder_grace{1'000};
    /// Longest time from just before the claim until the attempt is sent. Far
    /// below the ten minutes for which a worker remembers a revocation.
    milliseconds max_claim_to_send{60'000};
    /// Rows older than this are removed by sweep().
    std::chrono::hours retention{24};
    /// Most responses kept in memory while the table is unavailable.
    std::size_t max_unrecorded_responses = 1'024;
    /// Most body bytes of these responses.
    std::size_t max_unrecorded_bytes = std::size_t{16} << 20;
};

/// @brief The claim of a key by a request, with the attempt as which the
/// request would be sent.
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
    /// Version of the row as this holder wrote it.
    std::int64_t version = 0;
    /// The row as this holder wrote it.
    idempotency_record record;
    /// The attempt must not be sent after this time.
    time_point send_before;
};

/// @brief What to do with a keyed request.
enum class idempotency_verdict
{
    /// The key is claimed; send the attempt with the permit.
    run,
    /// Return the stored response.
    replay,
    /// An earlier request is still running, as far as is known; retry later.
    in_progress,
    /// An earlier request may have been executed and its response is lost. The
    /// request is never executed again; its effect has to be looked up at the
    /// application.
    unknown,
    /// The key was used for a request with another fingerprint.
    mismatch,
    /// There is no row, or one that a retry may take over; only from peek().
    vacant
};

/// @brief A verdict with the data that belongs to it.
struct idempotency_decision
{
    idempotency_verdict verdict = idempotency_verdict::unknown;
    /// Set for run.
    std::optional<idempotency_permit> permit;
    /// Set for replay.
    std::optional<stored_response> response;
    /// The earlier attempt, for in_progress and unknown.
    attempt_id earlier;
    /// Holder of the row as "instance#incarnation", the sender of the earlier
    /// attempt; empty without a row.
    std::string holder;
    /// Base URL of the worker of the earlier attempt.
    std::string worker_url;
};

/// @brief The result of one call of sweep().
struct idempotency_sweep
{
    std::size_t seen = 0;
    std::size_t removed = 0;
    /// Whether the end of the rows was reached; the next call then starts from
    /// the beginning.
    bool complete = false;
};

namespace detail
{

[[nodiscard]] auto check_key(const idempotency_key& key) -> result<void>;
[[nodiscard]] auto claim_lost_error(const idempotency_key& key)
    -> leaf::error_id;
[[nodiscard]] auto record_unreadable_error(const std::string& row_key)
    -> leaf::error_id;

/// @brief Calls @p body, which returns a result of any type.
/// @return the error of its result, or nothing
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

/// @brief Claims idempotency keys, records responses and decides how a retry is
/// answered. Thread-safe; calls block on the platform's table.
/// @tparam Platform  satisfies platform::port
template<class Platform>
class idempotency_log
{
  public:
    /// @param store  outlives this object
    /// @param holder  "instance#incarnation" of this instance, never reused
    idempotency_log(Platform& store, std::string holder,
                    idempotency_limits limits = {})
        : m_store(store), m_holder(holder), m_limits(limits),
          m_writes(store, std::move(holder))
    {
    }

    /// @brief Looks up a key without claiming it, since a retry with a known
    /// response needs no worker.
    /// @throw (leaf) request 551; platform errors when the key's state is
    ///        unknown
    [[nodiscard]] auto peek(const idempotency_key& key,
                            const std::string& fingerprint)
        -> result<idempotency_decision>;

    /// @brief Claims a key, or determines the outcome of the earlier request
    /// with it. Waits while an earlier request is running.
    /// @param claim  its attempt must not have been sent yet
    /// @param until  when the wait ends
    /// @param holder_dead  bool(const std::string& holder): whether the holder
    ///        is certainly dead; a wrong "true" costs a retry or an unknown
    ///        outcome, never a second execution
    /// @param workers  satisfies worker::port
    /// @throw (leaf) request 551; platform errors; in both cases the claim's
    ///        attempt must not be sent
    template<class Dead, class Workers>
    [[nodiscard]] auto begin(const idempotency_claim& claim, time_point until,
                             Dead&& holder_dead, Workers& workers)
        -> result<idempotency_decision>;

    /// @brief Moves a claim to another attempt, after the worker has refused the
    /// previous one or could not be reached; never after an unknown outcome.
    /// @throw (leaf) request 552; platform errors; in both cases the new
    ///        attempt must not be sent
    [[nodiscard]] auto rebind(const idempotency_permit& permit,
                              const attempt_id& attempt,
                              const std::string& worker_url, time_point until)
        -> result<idempotency_permit>;

    /// @brief Records the whole response; called before the response is
    /// returned to the caller. If the table does not accept it in time, the
    /// response is kept in memory for flush().
    /// @throw (leaf) request 552; platform errors when it is not recorded yet
    [[nodiscard]] auto record_response(const idempotency_permit& permit,
                                       stored_response response,
                                       time_point until) -> result<void>;

    /// @brief Records that the request was certainly not executed.
    /// @throw (leaf) request 552; platform errors: the row stays "started",
    ///        and a retry learns the outcome from the worker
    [[nodiscard]] auto record_not_run(const idempotency_permit& permit,
                                      time_point until) -> result<void>;

    /// @brief Records that the outcome of the request will never be known.
    /// @throw (leaf) request 552; platform errors: the row stays "started",
    ///        and retries wait as for a running request
    [[nodiscard]] auto record_lost(const idempotency_permit& permit,
                                   time_point until) -> result<void>;

    /// @brief Retries recording the responses kept in memory.
    /// @return how many are still unrecorded
    auto flush(time_point until) -> std::size_t;

    /// @brief Removes rows older than idempotency_limits::retention, a bounded
    /// number in each call.
    /// @param now  wall-clock time
    /// @param batch  most rows read, and thus removed, by this call
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
    /// Writes the claim if the row has the expected version.
    /// @return nothing when the row has changed
    [[nodiscard]] auto try_claim(const idempotency_claim& claim,
                                 std::int64_t expect, time_point until)
        -> result<std::optional<idempotency_permit>>;
    /// Revokes the record's attempt at its worker; an attempt counts as running
    /// when the worker does not answer.
    template<class Workers>
    [[nodiscard]] static auto
    revoke_earlier_attempt(const idempotency_record& record, Workers& workers)
        -> worker::attempt_state;
    /// Writes a new state to the row; fails with 552 when the row has changed.
    /// @return the row's new version
    [[nodiscard]] auto rewrite(const idempotency_permit& permit,
                               const idempotency_record& record,
                               time_point until) -> result<std::int64_t>;
    [[nodiscard]] auto write_response(const idempotency_permit& permit,
                                      const stored_response& response,
                                      time_point until) -> result<void>;
    /// Whether the row already holds the response to the permit's attempt, as
    /// after a commit whose outcome was unknown.
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
