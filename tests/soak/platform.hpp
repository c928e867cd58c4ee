/// @file
/// A stand-in for the users' platform: store, workers and approval service, each
/// on its own loopback port. One thread serves all of them asynchronously, so a
/// waiting call occupies no thread.
///
/// Not modelled: limits on calls per second, objects, machines, workers that
/// leave or restart, and the approval service's turn for each caller.
#pragma once

#include "record.hpp"
#include "table_store.hpp"
#include "worker.hpp"

#include <pimentoshunt/cell/ownership.hpp>
#include <pimentoshunt/net/http_server.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional> // function
#include <memory>     // unique_ptr
#include <random>     // mt19937_64
#include <string>     // string
#include <thread>     // thread
#include <vector>     // vector

namespace pimentoshunt::soak
{

/// @brief Faults of the store, the same for all callers.
struct store_faults
{
    /// Added to each transaction and read, half before and half after it.
    milliseconds added_latency{0};
    /// Transactions and reads of this part are refused with 503; empty: none.
    std::string unavailable_part;
    /// Share of the transactions that are applied but never answered.
    double lost_answers = 0;
    /// Share of the transactions that are applied 200 to 3000 ms later, if their
    /// conditions still hold, and never answered.
    double delayed_commits = 0;
};

/// @brief Faults of a worker, the same for all orders.
struct worker_faults
{
    /// Orders are neither carried out nor answered.
    bool drops_orders = false;
    /// Orders are carried out but not answered.
    bool drops_answers = false;
    /// Starts are refused with 503.
    bool refuses_starts = false;
    /// Share of the orders that are carried out 200 to 3000 ms later and not
    /// answered.
    double delayed = 0;
};

/// @brief The platform. Serves from construction until finish(); public functions
/// may be called from any other thread and block until they have taken effect.
class platform
{
  public:
    platform(std::size_t workers, std::uint64_t seed);
    ~platform();
    platform(const platform&) = delete;
    auto operator=(const platform&) -> platform& = delete;

    [[nodiscard]] auto store_port() const -> int
    {
        return m_store_port;
    }
    [[nodiscard]] auto approval_port() const -> int
    {
        return m_approval_port;
    }
    [[nodiscard]] auto worker_count() const -> std::size_t
    {
        return m_workers.size();
    }

    auto set(const store_faults& faults) -> void;
    auto set(std::size_t worker, const worker_faults& faults) -> void;
    /// @brief Replaces a worker's entry by an odd one of the given kind, until the
    /// worker writes its own again.
    auto write_odd_entry(std::size_t worker, std::size_t kind) -> void;
    /// @brief Replaces the configuration; it is acknowledged on return.
    auto configure(const std::string& value) -> void;
    /// @brief Drops the store's whole history, so that followers have to read
    /// all rows again.
    auto trim_history() -> void;
    /// @brief The current content of the lease row.
    [[nodiscard]] auto lease() -> cell::lease_content;

    /// @brief Stops serving and moves the recorded runs and changes of owner into
    /// @p out.
    auto finish(soak_record& out) -> void;

  private:
    using reply = net::http_server::reply;

    struct hosted_worker
    {
        std::unique_ptr<worker> model;
        worker_faults faults;
        std::unique_ptr<net::http_server> server;
    };

    struct pending_follow
    {
        follow_call call;
        reply answer;
        time_point until;
    };

    auto listen(net::http_server::handler serve)
        -> std::pair<std::unique_ptr<net::http_server>, int>;
    auto add_worker(std::size_t number) -> void;
    auto run_on_platform_thread(std::function<void()> what) -> void;
    auto after(milliseconds delay, std::function<void()> what) -> void;
    auto tick() -> void;
    auto refresh_registrations() -> void;
    [[nodiscard]] auto random_duration(milliseconds minimum,
                                       milliseconds maximum) -> milliseconds;
    [[nodiscard]] auto random_bool(double probability) -> bool;

    auto serve_store(const net::server_request& request, reply answer) -> void;
    auto transact(cell::row_transaction transaction, reply answer) -> void;
    auto commit(const cell::row_transaction& transaction)
        -> net::server_response;
    auto record_takeover(const cell::row_transaction& transaction) -> void;
    auto read(const read_call& call, const reply& answer) -> void;
    auto answer_follows() -> void;
    auto serve_approvals(const net::server_request& request, reply answer)
        -> void;
    auto serve_worker(hosted_worker& at, const net::server_request& request,
                      reply answer) -> void;

    boost::asio::io_context m_context;
    std::mt19937_64 m_random;
    table_store m_store;
    store_faults m_store_faults;
    std::map<std::string, time_point> m_part_free_at;
    std::vector<pending_follow> m_follows;
    std::vector<hosted_worker> m_workers;
    /// Reply functions of calls that are never answered. They are kept so that
    /// the connections stay open.
    std::vector<reply> m_unanswered;
    std::vector<run_record> m_runs;
    std::vector<takeover_record> m_takeovers;
    std::uint64_t m_registration_sequence = 0;
    std::uint64_t m_tickets = 0;
    std::unique_ptr<net::http_server> m_store_server;
    std::unique_ptr<net::http_server> m_approval_server;
    int m_store_port = 0;
    int m_approval_port = 0;
    std::thread m_thread;
};

/// @brief The queues of the soak: one for short tasks, one for tasks that need
/// approval.
[[nodiscard]] auto soak_queues() -> const std::vector<queue_facts>&;

} // namespace pimentoshunt::soak
