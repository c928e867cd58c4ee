#include "world.hh"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <random>

namespace review
{
namespace
{

namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

constexpr milliseconds tx_time{3};
constexpr milliseconds read_time{2};
constexpr std::int64_t heartbeat_ms = 1500;
constexpr std::int64_t stop_ms = 100;
constexpr auto history_time = std::chrono::seconds(20);
constexpr std::size_t page_rows = 500;
const std::string digits64 =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

auto text(const json::object& from, const char* name) -> std::string
{
    const auto* const found = from.if_contains(name);
    return found != nullptr && found->is_string()
               ? std::string(found->get_string())
               : std::string();
}

auto number(const json::object& from, const char* name) -> std::int64_t
{
    const auto* const found = from.if_contains(name);
    boost::system::error_code fault;
    return found != nullptr && found->is_number()
               ? found->to_number<std::int64_t>(fault)
               : 0;
}

auto key_of(const json::object& from) -> row_key
{
    return {text(from, "table"), text(from, "part"), text(from, "key")};
}

auto decode_query(const std::string& target)
    -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> out;
    const auto mark = target.find('?');
    std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty())
    {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        rest = end == std::string::npos ? "" : rest.substr(end + 1);
        const auto equals = pair.find('=');
        std::string value;
        const auto raw =
            equals == std::string::npos ? "" : pair.substr(equals + 1);
        for (std::size_t i = 0; i < raw.size(); ++i)
        {
            if (raw[i] == '%' && i + 2 < raw.size())
            {
                value += static_cast<char>(
                    std::stoi(raw.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            else
            {
                value += raw[i] == '+' ? ' ' : raw[i];
            }
        }
        out[pair.substr(0, equals)] = value;
    }
    return out;
}

auto row_json(const row_key& at, const stored& row) -> json::object
{
    return {{"table", at[0]},
            {"part", at[1]},
            {"key", at[2]},
            {"value", row.value},
            {"ver", row.ver}};
}

auto decoded_size(const std::string& base64) -> std::size_t
{
    const auto padding = std::count(base64.begin(), base64.end(), '=');
    return base64.size() / 4 * 3 - static_cast<std::size_t>(padding);
}

auto request_of(const http::request<http::string_body>& got) -> request
{
    request out;
    out.method = std::string(got.method_string());
    out.target = std::string(got.target());
    out.body = got.body();
    out.instance = std::string(got["Expected-Instance"]);
    return out;
}

auto refused(int status) -> std::optional<response>
{
    response out;
    out.status = status;
    return out;
}

/// A port below those that the system gives to connections.
auto free_port() -> int
{
    static std::mt19937 random(std::random_device{}());
    constexpr unsigned first = 12'000;
    constexpr unsigned count = 20'000;
    for (;;)
    {
        const auto port = first + random() % count;
        asio::io_context io;
        boost::system::error_code fault;
        tcp::acceptor probe(io, tcp::v4());
        probe.bind({asio::ip::make_address("127.0.0.1"),
                    static_cast<unsigned short>(port)},
                   fault);
        if (!fault)
        {
            return static_cast<int>(port);
        }
    }
}

} // namespace

auto encode64(const std::string& bytes) -> std::string
{
    std::string out;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char c : bytes)
    {
        group = group << 8U | static_cast<unsigned char>(c);
        bits += 8;
        while (bits >= 6)
        {
            bits -= 6;
            out += digits64[group >> bits & 63U];
        }
    }
    if (bits > 0)
    {
        out += digits64[group << (6 - bits) & 63U];
    }
    out.append((4 - out.size() % 4) % 4, '=');
    return out;
}

auto decode64(const std::string& text) -> std::string
{
    std::string out;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char c : text)
    {
        const auto digit = digits64.find(c);
        if (digit == std::string::npos)
        {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out += static_cast<char>(group >> bits & 255U);
        }
    }
    return out;
}

auto parse_behaviour(const std::string& spec) -> behaviour
{
    behaviour out;
    const auto ms = spec.find("ms=");
    if (ms != std::string::npos)
    {
        out.ms = std::atoll(spec.c_str() + ms + 3);
    }
    out.fails = spec.find("end=failed") != std::string::npos;
    return out;
}

world::world(std::string folder, std::string record)
    : m_folder(std::move(folder)), m_record(record)
{
}

world::~world()
{
    stop_all();
    m_io.stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

auto world::now_ms() const -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - m_began)
        .count();
}

auto world::note(const std::string& line) -> void
{
    m_record << now_ms() << " ms  " << line << "\n" << std::flush;
}

auto world::listen(int& port) -> std::shared_ptr<tcp::acceptor>
{
    port = port == 0 ? free_port() : port;
    auto out = std::make_shared<tcp::acceptor>(
        m_io, tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                            static_cast<unsigned short>(port)));
    port = out->local_endpoint().port();
    return out;
}

auto world::add_worker(const std::string& id) -> worker&
{
    return new_life(id, 0);
}

auto world::restart_worker(const std::string& crashed, const std::string& id)
    -> void
{
    const auto address = workers.at(crashed)->address;
    new_life(id, std::atoi(address.c_str() + address.find(':') + 1));
}

auto world::new_life(const std::string& id, int port) -> worker&
{
    auto made = std::make_unique<worker>();
    auto& at = *made;
    at.id = id;
    at.service = "press";
    at.rack = "r-1";
    at.started = steady::now();
    at.born = std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
    at.acceptor = listen(port);
    at.address = "127.0.0.1:" + std::to_string(port);
    asio::co_spawn(m_io, accept(at.acceptor, &at), asio::detached);
    const std::lock_guard guard(lock);
    workers[id] = std::move(made);
    write_entry(at);
    return at;
}

auto world::crash_worker(const std::string& id) -> void
{
    asio::post(m_io,
               [this, id]
               {
                   const std::lock_guard guard(lock);
                   auto& at = *workers.at(id);
                   at.up = false;
                   boost::system::error_code ignored;
                   at.acceptor->close(ignored);
                   for (auto* const socket : at.sockets)
                   {
                       socket->set_option(asio::socket_base::linger(true, 0),
                                          ignored);
                       socket->close(ignored);
                   }
                   for (const auto& [key, run] : at.running)
                   {
                       if (on_end)
                       {
                           on_end(at, run, "lost with its worker");
                       }
                   }
                   at.running.clear();
               });
}

auto world::configure(const std::string& value) -> void
{
    const std::lock_guard guard(lock);
    put_row({"op", "", "config"}, encode64(value));
}

auto world::start_platform() -> void
{
    m_store = listen(m_store_port);
    asio::co_spawn(m_io, accept(m_store, nullptr), asio::detached);
    asio::co_spawn(m_io, tick(), asio::detached);
    asio::co_spawn(m_io, refresh(), asio::detached);
    m_thread = std::thread(
        [this]
        {
            const auto kept = asio::make_work_guard(m_io);
            m_io.run();
        });
}

auto world::start_cell(cell_process& cell) -> void
{
    const auto log = m_folder + "/" + cell.name + ".log";
    const auto option = "--settings=" + cell.settings;
    const pid_t child = ::fork();
    if (child == 0)
    {
        const int out =
            ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        // The stand-ins' sockets are not the cell's.
        constexpr int most_files = 4'096;
        for (int file = 3; file < most_files; ++file)
        {
            ::close(file);
        }
        ::execl("target/pimentoshunt", "target/pimentoshunt", "cell",
                option.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    cell.pid = child;
    cell.ended.reset();
}

auto world::start_cells(int count) -> bool
{
    for (int i = 0; i < count; ++i)
    {
        cell_process cell;
        cell.name = "cell-" + std::to_string(i);
        cell.front = free_port();
        cell.ready = free_port();
        cell.peer = free_port();
        cell.settings = m_folder + "/" + cell.name + ".json";
        const auto local = [](int port)
        {
            return "127.0.0.1:" + std::to_string(port);
        };
        std::ofstream(cell.settings) << json::serialize(
            json::object{{"instance", cell.name},
                         {"data_centre", "zone-a"},
                         {"caller_address", local(cell.front)},
                         {"status_address", local(cell.ready)},
                         {"peer_address", local(cell.peer)},
                         {"store_address", local(m_store_port)},
                         {"processors", 0.25},
                         {"longest_lease_ms", max_hold_ms},
                         {"stop_grace_s", 6},
                         {"log_level", "info"}});
        start_cell(cell);
        cells.push_back(cell);
    }
    const auto until = steady::now() + std::chrono::seconds(20);
    while (steady::now() < until)
    {
        int ready = 0;
        reap();
        for (auto& cell : cells)
        {
            // As on the platform, one that has ended is started again.
            if (cell.pid < 0)
            {
                note(cell.name + " has ended at its start: started again");
                start_cell(cell);
            }
            auto probe = cell;
            probe.front = cell.ready;
            ready +=
                call(probe, "GET", "/pimentoshunt/ready", "", 500).status == 200
                    ? 1
                    : 0;
        }
        if (ready == count)
        {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

auto world::reap() -> void
{
    for (auto& cell : cells)
    {
        int status = 0;
        if (cell.pid > 0 && ::waitpid(cell.pid, &status, WNOHANG) == cell.pid)
        {
            cell.pid = -1;
            cell.ended = status;
        }
    }
}

auto world::stop_all() -> void
{
    for (auto& cell : cells)
    {
        if (cell.pid > 0)
        {
            ::kill(cell.pid, SIGCONT);
            ::kill(cell.pid, SIGKILL);
            ::waitpid(cell.pid, nullptr, 0);
            cell.pid = -1;
        }
    }
}

auto world::call(const cell_process& at, const std::string& method,
                 const std::string& path, const std::string& body,
                 int timeout_ms) -> answer
{
    answer out;
    try
    {
        asio::io_context io;
        beast::tcp_stream stream(io);
        stream.expires_after(milliseconds(timeout_ms));
        http::request<http::string_body> ask;
        ask.method_string(method);
        ask.target(path);
        ask.version(11);
        ask.set(http::field::host, host);
        ask.set("Deadline-Ms", std::to_string(timeout_ms));
        ask.keep_alive(false);
        if (!body.empty())
        {
            ask.set(http::field::content_type, "application/json");
            ask.body() = body;
        }
        ask.prepare_payload();
        beast::flat_buffer buffer;
        http::response<http::string_body> got;
        bool done = false;
        stream.async_connect(
            tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                          static_cast<unsigned short>(at.front)),
            [&](beast::error_code fault)
            {
                if (fault)
                {
                    return;
                }
                http::async_write(
                    stream, ask,
                    [&](beast::error_code failed, std::size_t)
                    {
                        if (failed)
                        {
                            return;
                        }
                        out.sent_ms = now_ms();
                        http::async_read(
                            stream, buffer, got,
                            [&](beast::error_code read, std::size_t)
                            {
                                done = !read;
                            });
                    });
            });
        io.run();
        if (done)
        {
            out.status = static_cast<int>(got.result_int());
            out.body = got.body();
        }
    }
    catch (const std::exception&)
    {
        out = {};
    }
    return out;
}

auto world::accept(std::shared_ptr<tcp::acceptor> from, worker* at)
    -> asio::awaitable<void>
{
    for (;;)
    {
        boost::system::error_code fault;
        tcp::socket socket(m_io);
        co_await from->async_accept(socket,
                                    asio::redirect_error(use_awaitable, fault));
        if (fault)
        {
            co_return;
        }
        start_serving(std::move(socket), at);
    }
}

auto world::start_serving(tcp::socket socket, worker* at) -> void
{
    asio::co_spawn(m_io,
                   serve(std::make_shared<tcp::socket>(std::move(socket)), at),
                   asio::detached);
}

auto world::serve(std::shared_ptr<tcp::socket> held, worker* at)
    -> asio::awaitable<void>
{
    auto& socket = *held;
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    if (at != nullptr)
    {
        const std::lock_guard guard(lock);
        at->sockets.insert(&socket);
    }
    try
    {
        beast::flat_buffer buffer;
        for (;;)
        {
            http::request_parser<http::string_body> parser;
            parser.body_limit(4u << 20);
            co_await http::async_read(socket, buffer, parser, use_awaitable);
            const auto& got = parser.get();
            const request what = request_of(got);
            std::optional<response> out;
            if (at == nullptr)
            {
                out = co_await serve_store(what);
            }
            else
            {
                out = co_await serve_worker(*at, what);
            }
            if (!out)
            {
                // Never answered: the connection delivers nothing further.
                char byte = 0;
                co_await asio::async_read(socket, asio::buffer(&byte, 1),
                                          use_awaitable);
                break;
            }
            http::response<http::string_body> reply;
            reply.version(11);
            reply.result(static_cast<unsigned>(out->status));
            reply.set(http::field::content_type, "application/json");
            reply.body() = std::move(out->body);
            reply.keep_alive(got.keep_alive());
            reply.prepare_payload();
            co_await http::async_write(socket, reply, use_awaitable);
        }
    }
    catch (const std::exception&)
    {
        // The peer has closed the connection.
    }
    if (at != nullptr)
    {
        const std::lock_guard guard(lock);
        at->sockets.erase(&socket);
    }
}

auto world::serve_store(const request& what)
    -> asio::awaitable<std::optional<response>>
{
    asio::steady_timer timer(m_io);
    const auto path = what.target.substr(0, what.target.find('?'));
    if (path == "/pimentoshunt/rows-tx")
    {
        boost::system::error_code fault;
        const auto body = json::parse(what.body, fault);
        if (fault || !body.is_object())
        {
            co_return refused(400);
        }
        timer.expires_after(tx_time);
        co_await timer.async_wait(use_awaitable);
        const std::lock_guard guard(lock);
        ++transactions;
        const auto how =
            on_transaction ? on_transaction(body.get_object()) : fate::serve;
        if (how == fate::drop)
        {
            co_return std::nullopt;
        }
        if (what.body.size() > call_bytes)
        {
            ++oversize;
            co_return refused(400);
        }
        std::optional<response> out = transact(body.get_object());
        if (how != fate::serve)
        {
            out.reset();
        }
        co_return out;
    }
    const auto query = decode_query(what.target);
    if (path == "/pimentoshunt/rows-get")
    {
        timer.expires_after(read_time);
        co_await timer.async_wait(use_awaitable);
        const std::lock_guard guard(lock);
        std::optional<response> out = read(query);
        co_return out;
    }
    if (path == "/pimentoshunt/rows-feed")
    {
        const auto until =
            steady::now() + milliseconds(query.contains("waitMs")
                                             ? std::stoll(query.at("waitMs"))
                                             : 0);
        for (;;)
        {
            {
                const std::lock_guard guard(lock);
                auto out = feed(query, steady::now() >= until);
                if (out)
                {
                    co_return out;
                }
            }
            timer.expires_after(milliseconds(2));
            co_await timer.async_wait(use_awaitable);
        }
    }
    co_return refused(404);
}

auto world::put_row(const row_key& at, const std::string& value) -> void
{
    auto& row = rows[at];
    row.value = value;
    row.ver = ++version;
    history.push_back(
        {row.ver, at[0], at[1], at[2], value, false, steady::now()});
}

auto world::transact(const json::object& what) -> response
{
    static const json::array none;
    const auto list = [&](const char* name) -> const json::array&
    {
        const auto* const found = what.if_contains(name);
        return found != nullptr && found->is_array() ? found->get_array()
                                                     : none;
    };
    const auto& expected = list("expected");
    const auto& puts = list("puts");
    const auto& removals = list("remove");
    if (expected.size() + puts.size() + removals.size() > 100)
    {
        ++oversize;
        return {400, "{}"};
    }
    for (const auto& item : puts)
    {
        const auto& row = item.get_object();
        const auto at = key_of(row);
        if (at[0] == "op" || at[0] == "servers")
        {
            return {403, "{}"};
        }
        if (decoded_size(text(row, "value")) > row_bytes)
        {
            ++oversize;
            return {400, R"({"error":"the value is larger than rowBytes"})"};
        }
    }
    bool holds = true;
    json::array current;
    for (const auto& item : expected)
    {
        const auto& row = item.get_object();
        const auto at = key_of(row);
        const auto found = rows.find(at);
        const auto ver = found == rows.end() ? 0 : found->second.ver;
        holds = holds && ver == static_cast<std::uint64_t>(number(row, "ver"));
        if (found != rows.end())
        {
            current.push_back(row_json(at, found->second));
        }
    }
    const auto now = steady::now();
    const auto now_ms =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
            .count();
    if (!holds)
    {
        return {412,
                json::serialize(json::object{
                    {"rows", current}, {"ver", version}, {"nowMs", now_ms}})};
    }
    ++version;
    for (const auto& item : puts)
    {
        const auto& row = item.get_object();
        const auto at = key_of(row);
        rows[at] = {text(row, "value"), version};
        history.push_back(
            {version, at[0], at[1], at[2], text(row, "value"), false, now});
    }
    for (const auto& item : removals)
    {
        const auto at = key_of(item.get_object());
        if (rows.erase(at) > 0)
        {
            history.push_back({version, at[0], at[1], at[2], "", true, now});
        }
    }
    while (!history.empty() && now - history.front().at > history_time)
    {
        trimmed = history.front().ver;
        history.pop_front();
    }
    return {200,
            json::serialize(json::object{{"ver", version}, {"nowMs", now_ms}})};
}

auto world::read(const std::map<std::string, std::string>& query) -> response
{
    const auto value = [&](const char* name) -> std::string
    {
        const auto found = query.find(name);
        return found == query.end() ? "" : found->second;
    };
    const auto table = value("table");
    const auto part = value("part");
    const auto to = value("to");
    json::array out;
    std::size_t bytes = 0;
    bool more = false;
    for (auto item = rows.lower_bound({table, part, value("from")});
         item != rows.end(); ++item)
    {
        const auto& at = item->first;
        if (at[0] != table || at[1] != part || (!to.empty() && at[2] >= to))
        {
            break;
        }
        bytes += item->second.value.size() + 200;
        if (out.size() == page_rows || (bytes > 1000000 && !out.empty()))
        {
            more = true;
            break;
        }
        out.push_back(row_json(at, item->second));
    }
    return {200, json::serialize(json::object{{"rows", std::move(out)},
                                              {"hasMore", more},
                                              {"ver", version}})};
}

auto world::feed(const std::map<std::string, std::string>& query, bool last)
    -> std::optional<response>
{
    const auto after = std::stoull(query.at("after"));
    const auto& table = query.at("table");
    if (after < trimmed)
    {
        return response{410, "{}"};
    }
    json::array out;
    for (const auto& item : history)
    {
        if (item.ver > after && item.table == table)
        {
            json::object row{{"table", item.table},
                             {"part", item.part},
                             {"key", item.key},
                             {"ver", item.ver}};
            if (item.gone)
            {
                row["tombstone"] = true;
            }
            else
            {
                row["value"] = item.value;
            }
            out.push_back(std::move(row));
        }
    }
    if (out.empty() && !last)
    {
        return std::nullopt;
    }
    return response{200, json::serialize(json::object{{"rows", std::move(out)},
                                                      {"ver", version}})};
}

auto world::serve_worker(worker& at, const request& what)
    -> asio::awaitable<std::optional<response>>
{
    const auto path = what.target.substr(0, what.target.find('?'));
    boost::system::error_code fault;
    const auto body = json::parse(what.body, fault);
    if (fault || !body.is_object())
    {
        co_return refused(400);
    }
    const auto& order_body = body.get_object();
    auto how = fate::serve;
    {
        const std::lock_guard guard(lock);
        if (!what.instance.empty() && what.instance != at.id)
        {
            co_return refused(421);
        }
        how = on_order ? on_order(at, what) : fate::serve;
        if (how == fate::drop)
        {
            co_return std::nullopt;
        }
        auto out = order(at, path, order_body);
        if (how == fate::lose_answer)
        {
            co_return std::nullopt;
        }
        if (path != "/pimentoshunt/hold" || out.status != 200)
        {
            std::optional<response> refusal = out;
            co_return refusal;
        }
    }
    const auto until = steady::now() + milliseconds(std::min<std::int64_t>(
                                           number(order_body, "waitMs"), 2000));
    asio::steady_timer timer(m_io);
    for (;;)
    {
        {
            const std::lock_guard guard(lock);
            if (!at.ended.empty() || steady::now() >= until)
            {
                std::optional<response> out = response();
                out->body = lists(at);
                co_return out;
            }
        }
        timer.expires_after(milliseconds(2));
        co_await timer.async_wait(use_awaitable);
    }
}

auto world::order(worker& at, const std::string& path, const json::object& what)
    -> response
{
    const auto answer = [&](int status, const std::string& reason) -> response
    {
        json::object out{{"clockMs", at.clock()}};
        if (!reason.empty())
        {
            out["reason"] = reason;
        }
        return {status, json::serialize(out)};
    };
    const auto token = static_cast<std::uint64_t>(number(what, "fencingToken"));
    if (token < at.token)
    {
        return answer(409, "fence");
    }
    at.token = token;
    const auto extend = [&]
    {
        const auto wanted = number(what, "deadlineMs");
        if (wanted > 0)
        {
            at.lease_end = std::max(at.lease_end,
                                    std::min(wanted, at.clock() + max_hold_ms));
        }
    };
    if (path == "/pimentoshunt/hold")
    {
        extend();
        const auto seen = static_cast<std::uint64_t>(number(what, "lastSeen"));
        while (!at.ended.empty() && at.ended.front().number <= seen)
        {
            at.taken_note_of = at.ended.front().number;
            at.ended.pop_front();
        }
        return answer(200, "");
    }
    const auto task = text(what, "task");
    const auto run = static_cast<std::uint64_t>(number(what, "run"));
    if (path == "/pimentoshunt/run-stop")
    {
        auto& highest = at.highest[task];
        highest = std::max(highest, run);
        const auto found = at.running.find({task, run});
        if (found != at.running.end() && !found->second.stopping)
        {
            found->second.stopping = true;
            found->second.how = "stopped";
            found->second.ends_at = steady::now() + milliseconds(stop_ms);
        }
        return answer(200, "");
    }
    if (path == "/pimentoshunt/pace")
    {
        return answer(200, "");
    }
    if (path != "/pimentoshunt/run-start")
    {
        return {404, "{}"};
    }
    if (at.running.contains({task, run}))
    {
        extend();
        return answer(200, "");
    }
    const auto highest = at.highest.find(task);
    if (highest != at.highest.end() && run <= highest->second)
    {
        extend();
        return answer(409, "old");
    }
    if (number(what, "deadlineMs") <= at.clock())
    {
        return answer(409, "late");
    }
    extend();
    live_run made;
    made.task = task;
    made.run = run;
    made.spec = text(what, "spec");
    made.began = steady::now();
    const auto plan = parse_behaviour(made.spec);
    if (plan.ms >= 0)
    {
        made.ends_at = made.began + milliseconds(plan.ms);
    }
    made.how = plan.fails ? "failed" : "done";
    ++at.starts;
    if (on_begin)
    {
        on_begin(at, made);
    }
    at.running[{task, run}] = made;
    return answer(200, "");
}

auto world::lists(const worker& at) -> std::string
{
    json::array running;
    for (const auto& [key, run] : at.running)
    {
        const auto age =
            std::chrono::duration_cast<milliseconds>(steady::now() - run.began)
                .count();
        std::int64_t percent = 100;
        if (run.ends_at)
        {
            const auto whole = std::chrono::duration_cast<milliseconds>(
                                   *run.ends_at - run.began)
                                   .count();
            percent = std::min<std::int64_t>(
                99, 100 * age / std::max<std::int64_t>(whole, 1));
        }
        running.push_back(json::array{run.task, run.run, "", percent, 0});
    }
    json::array ended;
    for (const auto& end : at.ended)
    {
        if (ended.size() == 500)
        {
            break;
        }
        ended.push_back(
            json::array{end.number, end.task, end.run, end.how, end.saved});
    }
    return json::serialize(json::object{{"clockMs", at.clock()},
                                        {"born", at.born},
                                        {"running", std::move(running)},
                                        {"endedRuns", std::move(ended)}});
}

auto world::end_run(worker& at, live_run run, const std::string& how) -> void
{
    auto& highest = at.highest[run.task];
    highest = std::max(highest, run.run);
    at.ended.push_back({++at.ends, run.task, run.run, how, "", steady::now()});
    if (on_end)
    {
        on_end(at, run, how);
    }
}

auto world::tick() -> asio::awaitable<void>
{
    asio::steady_timer timer(m_io);
    for (;;)
    {
        timer.expires_after(milliseconds(2));
        co_await timer.async_wait(use_awaitable);
        const std::lock_guard guard(lock);
        const auto now = steady::now();
        for (auto& [id, item] : workers)
        {
            auto& at = *item;
            const bool lapsed = at.lease_end > 0 && at.clock() > at.lease_end;
            for (auto next = at.running.begin(); next != at.running.end();)
            {
                const auto one = next++;
                const bool due =
                    one->second.ends_at && *one->second.ends_at <= now;
                if (due || lapsed)
                {
                    auto run = one->second;
                    at.running.erase(one);
                    end_run(at, run, due ? run.how : "lapsed");
                }
            }
        }
    }
}

auto world::write_entry(worker& at) -> void
{
    put_row(
        {"servers", "", at.id},
        encode64(json::serialize(json::object{
            {"service", at.service},
            {"address", at.address},
            {"zone", "zone-a"},
            {"version", "v1"},
            {"slots", 8},
            {"state", at.draining ? "draining" : "ready"},
            {"coldRemainingMs", 0},
            {"capacity", {{"cpu", at.cpu}, {"memMb", at.memory}, {"gpu", 0}}},
            {"labels", json::array{"a", at.rack}},
            {"clockMs", at.clock()},
            {"born", at.born},
            {"machine", "m-" + at.id},
            {"sequence", ++at.sequence}})));
}

auto world::refresh() -> asio::awaitable<void>
{
    asio::steady_timer timer(m_io);
    std::map<std::string, std::int64_t> silent_since;
    for (;;)
    {
        timer.expires_after(milliseconds(heartbeat_ms));
        co_await timer.async_wait(use_awaitable);
        const std::lock_guard guard(lock);
        for (auto& [id, item] : workers)
        {
            auto& at = *item;
            if (at.up)
            {
                write_entry(at);
                continue;
            }
            auto& since = silent_since[id];
            since = since == 0 ? now_ms() : since;
            const row_key key{"servers", "", id};
            if (now_ms() - since >= 2 * heartbeat_ms && rows.contains(key))
            {
                rows.erase(key);
                history.push_back({++version, key[0], key[1], key[2], "", true,
                                   steady::now()});
            }
        }
    }
}

} // namespace review
