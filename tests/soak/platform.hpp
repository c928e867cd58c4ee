/// @file
/// A stand-in for the users' platform: store, workers and approval service,
/// each on a loopback port of its own. One thread serves them all, so calls
/// that wait cost nothing.
///
/// Left out: bounds on calls a second, objects, machines, workers that leave
/// or are born again, and the approval service's turn for each caller.
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

/// @brief What the store does to all callers.
struct store_faults
{
    /// Added to each transaction and read.
    milliseconds added_latency{0};
    /// Calls about this part are turned away.
    std::string unavailable_part;
    /// Share of the transactions that are done and never answered.
    double lost_answers = 0;
    /// Share that is done a while later, if its conditions still hold, and
    /// never answered.
    double delayed_commits = 0;
};

/// @brief What a worker does to all orders.
struct worker_faults
{
    /// Orders vanish.
    bool drops_orders = false;
    /// Orders are carried out, answers vanish.
    bool drops_answers = false;
    /// Starts are turned away.
    bool refuses_starts = false;
    /// Share of the orders that are carried out a while later, unanswered.
    double delayed = 0;
};

/// @brief The platform; it runs until it is finished.
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
    /// @brief The store's history is cut short.
    auto trim_history() -> void;
    /// @brief The lease row as it stands.
    [[nodiscard]] auto lease() -> cell::lease_content;

    /// @brief Stops, and fills in the runs and changes of owner.
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
    /// Calls that are never answered: their connections stay open.
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

/// @brief The queues of the soak: short tasks, and tasks with approvals.
[[nodiscard]] auto soak_queues() -> const std::vector<queue_facts>&;

} // namespace pimentoshunt::soak
