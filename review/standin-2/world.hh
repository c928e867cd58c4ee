// Stand-ins for the platform's store, for workers and for clients, and the
// processes of the cell. One thread serves all stand-ins; tests run on the main
// thread and lock the world for each access.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review
{

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

struct request
{
    std::string method, target, body, instance;
};

struct response
{
    int status = 200;
    std::string body = "{}";
};

/// What happens to one call.
enum class fate
{
    serve,
    /// Done, but never answered.
    lose_answer,
    /// Neither done nor answered.
    drop,
};

/// How a task behaves, parsed from its spec: "ms=300 end=failed save=...".
struct behaviour
{
    std::int64_t ms = 300;
    bool fails = false;
};

struct listed_end
{
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how, saved;
    steady::time_point at;
};

struct live_run
{
    std::string task;
    std::uint64_t run = 0;
    std::string spec;
    steady::time_point began;
    std::optional<steady::time_point> ends_at;
    std::string how;
    bool stopping = false;
};

/// One life of a worker. Keeps to the page "Running tasks".
struct worker
{
    std::string id, service, address, rack;
    std::int64_t cpu = 64000, memory = 262144;
    std::int64_t born = 0;
    steady::time_point started;
    bool up = true, draining = false;
    std::uint64_t token = 0, ends = 0, sequence = 0;
    std::int64_t lease_end = 0;
    std::map<std::pair<std::string, std::uint64_t>, live_run> running;
    std::map<std::string, std::uint64_t> highest;
    std::deque<listed_end> ended;
    std::uint64_t taken_note_of = 0;
    std::uint64_t starts = 0;
    std::shared_ptr<asio::ip::tcp::acceptor> acceptor;
    std::set<asio::ip::tcp::socket*> sockets;

    [[nodiscard]] auto clock() const -> std::int64_t
    {
        return std::chrono::duration_cast<milliseconds>(steady::now() - started)
            .count();
    }
};

struct stored
{
    std::string value;
    std::uint64_t ver = 0;
};

struct change
{
    std::uint64_t ver = 0;
    std::string table, part, key, value;
    bool gone = false;
    steady::time_point at;
};

using row_key = std::array<std::string, 3>;

struct cell_process
{
    std::string name, settings;
    int front = 0, ready = 0, peer = 0;
    pid_t pid = -1;
    /// Wait status of the last process that ended by itself.
    std::optional<int> ended;
};

/// Result of a client's call; status 0: no answer.
struct answer
{
    int status = 0;
    std::string body;
    /// When the whole request was written; 0: it was not.
    std::int64_t sent_ms = 0;
};

class world
{
  public:
    world(std::string folder, std::string record);
    ~world();

    /// Adds a worker on a free port.
    auto add_worker(const std::string& id) -> worker&;
    /// The worker's process ends; its entry stays until it expires.
    auto crash_worker(const std::string& id) -> void;
    /// A new life on the machine of a crashed worker, at the same address.
    auto restart_worker(const std::string& crashed, const std::string& id)
        -> void;
    auto configure(const std::string& text) -> void;
    auto start_platform() -> void;
    auto start_cells(int count) -> bool;
    auto start_cell(cell_process& cell) -> void;
    auto reap() -> void;
    auto stop_all() -> void;

    auto call(const cell_process& at, const std::string& method,
              const std::string& path, const std::string& body,
              int timeout_ms = 3000) -> answer;
    auto note(const std::string& text) -> void;
    [[nodiscard]] auto now_ms() const -> std::int64_t;

    std::mutex lock;
    std::map<row_key, stored> rows;
    std::deque<change> history;
    std::uint64_t version = 0, trimmed = 0;
    std::size_t row_bytes = 65536, call_bytes = 1000000;
    std::uint64_t oversize = 0, transactions = 0;
    std::map<std::string, std::unique_ptr<worker>> workers;
    std::vector<cell_process> cells;
    std::string host = "desk.example";
    std::int64_t max_hold_ms = 6000;
    /// Decides what happens to a transaction of the store.
    std::function<fate(const json::object&)> on_transaction;
    /// Called, locked, when a run begins or ends.
    std::function<void(const worker&, const live_run&)> on_begin;
    std::function<void(const worker&, const live_run&, const std::string&)>
        on_end;
    /// Called, locked, with each order that a worker has read; may hold back its
    /// answer or its execution.
    std::function<fate(const worker&, const request&)> on_order;

  private:
    auto new_life(const std::string& id, int port) -> worker&;
    auto listen(int& port) -> std::shared_ptr<asio::ip::tcp::acceptor>;
    auto accept(std::shared_ptr<asio::ip::tcp::acceptor> from, worker* at)
        -> asio::awaitable<void>;
    auto start_serving(asio::ip::tcp::socket socket, worker* at) -> void;
    auto serve(std::shared_ptr<asio::ip::tcp::socket> held, worker* at)
        -> asio::awaitable<void>;
    auto serve_store(const request& what)
        -> asio::awaitable<std::optional<response>>;
    auto serve_worker(worker& at, const request& what)
        -> asio::awaitable<std::optional<response>>;
    auto transact(const json::object& what) -> response;
    auto read(const std::map<std::string, std::string>& query) -> response;
    auto feed(const std::map<std::string, std::string>& query, bool last)
        -> std::optional<response>;
    auto put_row(const row_key& at, const std::string& value) -> void;
    auto order(worker& at, const std::string& path, const json::object& what)
        -> response;
    auto lists(const worker& at) -> std::string;
    auto end_run(worker& at, live_run run, const std::string& how) -> void;
    auto tick() -> asio::awaitable<void>;
    auto refresh() -> asio::awaitable<void>;
    auto write_entry(worker& at) -> void;

    std::string m_folder;
    std::ofstream m_record;
    steady::time_point m_began = steady::now();
    asio::io_context m_io;
    std::thread m_thread;
    int m_store_port = 0;
    std::shared_ptr<asio::ip::tcp::acceptor> m_store;
};

auto parse_behaviour(const std::string& spec) -> behaviour;
auto encode64(const std::string& bytes) -> std::string;
auto decode64(const std::string& text) -> std::string;

} // namespace review
