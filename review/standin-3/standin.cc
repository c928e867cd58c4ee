// Stand-ins for the outside systems of a cell, for the scripts of this review:
//   standin platform PORT TX_MS                  the store, with the operator's rows
//   standin worker ID PORT STORE_PORT RECORD [CONNECTIONS [CLOCK_RATE]]
//                                                a worker that registers itself; it
//                                                is cut off while /own/cut says so
//   standin call METHOD PORT HOSTNAME PATH [BODY] [TIMEOUT_MS]
//                                                one request; prints status and body
// A worker reads the run time of a task from its spec, "ms=NUMBER", or with "last" the
// time until it is at work. RECORD gets a
// line for each order and each end. Loopback addresses only.
#include <boost/json/src.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace json = boost::json;
using std::string;
using clock_type = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

namespace
{

auto now_ms() -> std::int64_t
{
    return std::chrono::duration_cast<ms>(clock_type::now().time_since_epoch())
        .count();
}

auto unix_ms() -> std::int64_t
{
    return std::chrono::duration_cast<ms>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

struct request
{
    string method;
    string path;
    std::map<string, string> query;
    std::map<string, string> headers;
    string body;
};

struct response
{
    int status = 200;
    string body;
    // Whether the answer is lost: the connection then delivers nothing further.
    bool lost = false;
};

auto lower(string text) -> string
{
    for (auto& c : text)
    {
        c = static_cast<char>(::tolower(c));
    }
    return text;
}

auto unquote(const string& text) -> string
{
    string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (text[i] == '%' && i + 2 < text.size())
        {
            out += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        }
        else
        {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

// Reads one message; false at the end of the connection.
auto read_message(int fd, string& buffer, string& head, string& body) -> bool
{
    const auto fill = [&]
    {
        char block[65536];
        const auto count = ::recv(fd, block, sizeof block, 0);
        if (count <= 0)
        {
            return false;
        }
        buffer.append(block, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == string::npos)
    {
        if (!fill())
        {
            return false;
        }
    }
    head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    std::size_t length = 0;
    const auto at = lower(head).find("content-length:");
    if (at != string::npos)
    {
        length = std::strtoul(head.c_str() + at + 15, nullptr, 10);
    }
    while (buffer.size() < length)
    {
        if (!fill())
        {
            return false;
        }
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

auto parse_request(const string& head, const string& body) -> request
{
    request out;
    out.body = body;
    const auto line = head.substr(0, head.find("\r\n"));
    const auto first = line.find(' ');
    const auto second = line.find(' ', first + 1);
    out.method = line.substr(0, first);
    auto target = line.substr(first + 1, second - first - 1);
    const auto mark = target.find('?');
    out.path = target.substr(0, mark);
    string rest = mark == string::npos ? "" : target.substr(mark + 1);
    while (!rest.empty())
    {
        const auto next = rest.find('&');
        const auto item = rest.substr(0, next);
        rest = next == string::npos ? "" : rest.substr(next + 1);
        const auto is = item.find('=');
        out.query[unquote(item.substr(0, is))] =
            is == string::npos ? "" : unquote(item.substr(is + 1));
    }
    std::size_t at = head.find("\r\n") + 2;
    while (at < head.size())
    {
        const auto end = head.find("\r\n", at);
        const auto field = head.substr(at, end - at);
        const auto colon = field.find(':');
        if (colon != string::npos)
        {
            auto value = field.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            out.headers[lower(field.substr(0, colon))] = value;
        }
        at = end + 2;
    }
    return out;
}

auto send_all(int fd, const string& text) -> bool
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        const auto count =
            ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

auto loopback(int port) -> sockaddr_in
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

// Serves until the process ends; a connection beyond the limit is reset.
auto serve(int port, int limit,
           const std::function<response(const request&)>& handle) -> void
{
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int one = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto address = loopback(port);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener, 512) != 0)
    {
        std::fprintf(stderr, "cannot listen on port %d\n", port);
        std::_Exit(3);
    }
    static std::atomic<int> open{0};
    while (true)
    {
        const int fd = ::accept(listener, nullptr, nullptr);
        if (fd < 0)
        {
            continue;
        }
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        if (open >= limit)
        {
            const linger reset{1, 0};
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::close(fd);
            continue;
        }
        ++open;
        std::thread(
            [fd, handle]
            {
                string buffer;
                string head;
                string body;
                while (read_message(fd, buffer, head, body))
                {
                    const auto out = handle(parse_request(head, body));
                    if (out.lost)
                    {
                        char block[4096];
                        while (::recv(fd, block, sizeof block, 0) > 0)
                        {
                        }
                        break;
                    }
                    const auto text = "HTTP/1.1 " + std::to_string(out.status) +
                                      " X\r\nContent-Type: application/json\r\n"
                                      "Content-Length: " +
                                      std::to_string(out.body.size()) +
                                      "\r\n\r\n" + out.body;
                    if (!send_all(fd, text))
                    {
                        break;
                    }
                }
                ::close(fd);
                --open;
            })
            .detach();
    }
}

// One request over a new connection; status 0: no answer.
auto call(int port, const string& method, const string& host,
          const string& path, const string& body, int timeout_ms) -> response
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{timeout_ms / 1000, (timeout_ms % 1000) * 1000L};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const auto address = loopback(port);
    response out{0, ""};
    string buffer;
    string head;
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) == 0 &&
        send_all(fd, method + " " + path + " HTTP/1.1\r\nHost: " + host +
                         "\r\nConnection: close\r\nDeadline-Ms: 3000\r\n"
                         "Content-Type: application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body) &&
        read_message(fd, buffer, head, out.body))
    {
        out.status = std::atoi(head.c_str() + 9);
    }
    ::close(fd);
    return out;
}

auto text_at(const json::object& from, const char* name) -> string
{
    const auto* found = from.if_contains(name);
    return found != nullptr && found->is_string()
               ? string(found->get_string().c_str())
               : "";
}

auto number_at(const json::object& from, const char* name) -> std::int64_t
{
    const auto* found = from.if_contains(name);
    return found != nullptr && found->is_number()
               ? found->to_number<std::int64_t>()
               : 0;
}

auto base64(const string& bytes) -> string
{
    static const char letters[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t block = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            block =
                block << 8U |
                (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                      : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            out += i + k > bytes.size() ? '='
                                        : letters[block >> (18 - 6 * k) & 63U];
        }
    }
    return out;
}

// The platform's store: rows in tables, transactions, feeds.
class store
{
  public:
    explicit store(int tx_ms) : m_tx(tx_ms)
    {
    }

    auto handle(const request& in) -> response
    {
        // The store is silent for a time; what it has received then it performs
        // later, if the conditions still hold.
        if (in.path == "/own/silent")
        {
            m_late = std::stoll(in.query.at("late"));
            m_silent_until = now_ms() + std::stoll(in.query.at("ms"));
            return {200, "{}"};
        }
        if (in.path.rfind("/pimentoshunt/", 0) == 0 &&
            now_ms() < m_silent_until)
        {
            if (in.path == "/pimentoshunt/rows-tx")
            {
                std::thread(
                    [this, in, wait = ms(m_late)]
                    {
                        std::this_thread::sleep_for(wait);
                        transaction(in);
                    })
                    .detach();
            }
            return {0, "", true};
        }
        if (in.path == "/pimentoshunt/rows-tx")
        {
            std::this_thread::sleep_for(m_tx);
            return transaction(in);
        }
        if (in.path == "/pimentoshunt/rows-get")
        {
            return get(in);
        }
        if (in.path == "/pimentoshunt/rows-feed")
        {
            return feed(in);
        }
        // The operator and the workers: the key's value, or its removal.
        if (in.path == "/own/put" || in.path == "/own/remove")
        {
            const std::lock_guard lock(m_mutex);
            ++m_version;
            const key at{in.query.at("table"), "", in.query.at("key")};
            in.path == "/own/put" ? put(at, base64(in.body)) : remove(at);
            m_changed.notify_all();
            return {200, "{}"};
        }
        return {404, "{}"};
    }

  private:
    using key = std::tuple<string, string, string>;
    struct row
    {
        string value;
        std::uint64_t version = 0;
    };
    struct change
    {
        key at;
        string value;
        std::uint64_t version = 0;
        bool gone = false;
    };

    auto put(const key& at, const string& value) -> void
    {
        m_rows[at] = {value, m_version};
        m_history.push_back({at, value, m_version, false});
    }
    auto remove(const key& at) -> void
    {
        if (m_rows.erase(at) > 0)
        {
            m_history.push_back({at, "", m_version, true});
        }
    }
    static auto key_of(const json::object& from) -> key
    {
        return {text_at(from, "table"), text_at(from, "part"),
                text_at(from, "key")};
    }
    static auto to_json(const key& at, const string& value,
                        std::uint64_t version, bool gone) -> json::object
    {
        json::object out{{"table", std::get<0>(at)},
                         {"part", std::get<1>(at)},
                         {"key", std::get<2>(at)},
                         {"value", value},
                         {"ver", version}};
        if (gone)
        {
            out["tombstone"] = true;
        }
        return out;
    }
    auto answer(json::array rows, bool more = false) const -> response
    {
        return {200, json::serialize(json::object{{"rows", std::move(rows)},
                                                  {"hasMore", more},
                                                  {"ver", m_version},
                                                  {"nowMs", now_ms()}})};
    }

    // At most 100 entries and 1 MB a call, and 65,536 bytes a value.
    static auto is_within_limits(const json::object& root, std::size_t size)
        -> bool
    {
        const auto& puts = root.at("puts").as_array();
        const auto& conditions = root.at("expected").as_array();
        const auto* removed = root.if_contains("remove");
        const auto entries =
            puts.size() + conditions.size() +
            (removed == nullptr ? 0 : removed->as_array().size());
        for (const auto& item : puts)
        {
            if (text_at(item.as_object(), "value").size() / 4 * 3 > 65'536 + 2)
            {
                return false;
            }
        }
        return entries <= 100 && size <= 1'000'000;
    }

    auto transaction(const request& in) -> response
    {
        const auto root = json::parse(in.body).as_object();
        if (!is_within_limits(root, in.body.size()))
        {
            return {400, json::serialize(json::object{
                             {"error", "a row, or the call, is too large"}})};
        }
        const std::lock_guard lock(m_mutex);
        bool holds = true;
        json::array current;
        for (const auto& item : root.at("expected").as_array())
        {
            const auto at = key_of(item.as_object());
            const auto found = m_rows.find(at);
            const auto version =
                found == m_rows.end() ? 0 : found->second.version;
            holds = holds && static_cast<std::int64_t>(version) ==
                                 number_at(item.as_object(), "ver");
            if (found != m_rows.end())
            {
                current.push_back(
                    to_json(at, found->second.value, version, false));
            }
        }
        if (!holds)
        {
            auto out = answer(std::move(current));
            out.status = 412;
            return out;
        }
        ++m_version;
        for (const auto& item : root.at("puts").as_array())
        {
            put(key_of(item.as_object()), text_at(item.as_object(), "value"));
        }
        if (const auto* removed = root.if_contains("remove"))
        {
            for (const auto& item : removed->as_array())
            {
                remove(key_of(item.as_object()));
            }
        }
        m_changed.notify_all();
        return answer({});
    }

    auto get(const request& in) -> response
    {
        const std::lock_guard lock(m_mutex);
        const auto value = [&](const char* name)
        {
            const auto found = in.query.find(name);
            return found == in.query.end() ? string() : found->second;
        };
        const auto table = value("table");
        const auto part = value("part");
        const auto to = value("to");
        json::array rows;
        bool more = false;
        for (auto item = m_rows.lower_bound({table, part, value("from")});
             item != m_rows.end(); ++item)
        {
            const auto& [t, p, k] = item->first;
            if (t != table || p != part || (!to.empty() && k >= to))
            {
                break;
            }
            if (rows.size() >= 500)
            {
                more = true;
                break;
            }
            rows.push_back(to_json(item->first, item->second.value,
                                   item->second.version, false));
        }
        return answer(std::move(rows), more);
    }

    auto feed(const request& in) -> response
    {
        const auto table = in.query.at("table");
        const auto after =
            std::strtoull(in.query.at("after").c_str(), nullptr, 10);
        const auto wait = std::atoi(in.query.at("waitMs").c_str());
        const auto until = clock_type::now() + ms(wait);
        std::unique_lock lock(m_mutex);
        while (true)
        {
            json::array rows;
            for (const auto& item : m_history)
            {
                if (item.version > after && std::get<0>(item.at) == table)
                {
                    rows.push_back(
                        to_json(item.at, item.value, item.version, item.gone));
                }
            }
            if (!rows.empty() || clock_type::now() >= until)
            {
                return answer(std::move(rows));
            }
            m_changed.wait_until(lock, until);
        }
    }

    ms m_tx;
    std::atomic<std::int64_t> m_silent_until{0};
    std::atomic<std::int64_t> m_late{0};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<key, row> m_rows;
    std::vector<change> m_history;
    std::uint64_t m_version = 1;
};

// One life of a worker.
class worker
{
  public:
    worker(string id, int port, int store_port, const char* record, double rate)
        : m_id(std::move(id)), m_port(port), m_store_port(store_port),
          m_rate(rate), m_record(std::fopen(record, "a")), m_born(unix_ms()),
          m_began(now_ms())
    {
        std::setvbuf(m_record, nullptr, _IOLBF, 0);
        note("worker " + m_id + " begins a life");
        std::thread(
            [this]
            {
                while (true)
                {
                    heartbeat();
                    std::this_thread::sleep_for(ms(1'000));
                }
            })
            .detach();
        std::thread(
            [this]
            {
                while (true)
                {
                    tick();
                    std::this_thread::sleep_for(ms(5));
                }
            })
            .detach();
    }

    auto handle(const request& in) -> response
    {
        if (in.path == "/own/cut")
        {
            m_cut_until = now_ms() + std::stoll(in.query.at("ms"));
            return {200, "{}"};
        }
        if (is_cut())
        {
            return {0, "", true};
        }
        auto out = answer(in);
        // An answer that would be sent during the cut does not arrive.
        out.lost = is_cut();
        return out;
    }

  private:
    auto is_cut() const -> bool
    {
        return now_ms() < m_cut_until;
    }

    auto answer(const request& in) -> response
    {
        const auto meant = in.headers.find("expected-instance");
        if (meant != in.headers.end() && meant->second != m_id)
        {
            return {421, "{}"};
        }
        const auto root = json::parse(in.body).as_object();
        std::unique_lock lock(m_mutex);
        const auto fence = number_at(root, "fencingToken");
        if (fence < m_fence)
        {
            return refusal("fence");
        }
        m_fence = fence;
        if (in.path == "/pimentoshunt/run-start")
        {
            return start(root);
        }
        if (in.path == "/pimentoshunt/run-stop")
        {
            return stop(root);
        }
        if (in.path == "/pimentoshunt/hold")
        {
            extend(root);
            const auto seen = number_at(root, "lastSeen");
            while (!m_ends.empty() && m_ends.front().number <= seen)
            {
                m_ends.pop_front();
            }
            m_changed.wait_for(
                lock,
                ms(std::min<std::int64_t>(number_at(root, "waitMs"), 2'000)),
                [&]
                {
                    return !m_ends.empty();
                });
            return lists();
        }
        return {200, json::serialize(base())};
    }

    struct running
    {
        std::int64_t number = 0;
        std::int64_t began = 0;
        std::int64_t takes = 0;
        bool lasts = false;
        std::int64_t stops_at = 0;
    };
    struct end
    {
        std::int64_t number = 0;
        string task;
        std::int64_t run = 0;
        string how;
    };

    // The worker's own steady clock, by which runs and leases are measured.
    auto clock() const -> std::int64_t
    {
        return static_cast<std::int64_t>(
            static_cast<double>(now_ms() - m_began) * m_rate);
    }
    auto note(const string& text) -> void
    {
        std::fprintf(m_record, "%lld %s\n", static_cast<long long>(unix_ms()),
                     text.c_str());
    }
    auto base() const -> json::object
    {
        return {{"clockMs", clock()}, {"born", m_born}};
    }
    auto refusal(const char* why) const -> response
    {
        auto out = base();
        out["reason"] = why;
        return {409, json::serialize(out)};
    }
    // A lease never shortens, and is at most 10 s long.
    auto extend(const json::object& root) -> void
    {
        if (root.contains("deadlineMs"))
        {
            m_lease = std::max(m_lease, std::min(number_at(root, "deadlineMs"),
                                                 clock() + 10'000));
        }
    }
    auto start(const json::object& root) -> response
    {
        const auto task = text_at(root, "task");
        const auto number = number_at(root, "run");
        const auto present = m_running.find(task);
        if (present != m_running.end() && present->second.number == number)
        {
            return {200, json::serialize(base())};
        }
        if (number <= m_highest[task])
        {
            extend(root);
            return refusal("old");
        }
        if (number_at(root, "deadlineMs") <= clock())
        {
            return refusal("late");
        }
        extend(root);
        const auto spec = text_at(root, "spec");
        const auto at = spec.find("ms=");
        running run;
        run.number = number;
        run.began = clock();
        run.takes =
            at == string::npos ? 1'000 : std::atoll(spec.c_str() + at + 3);
        run.lasts = spec.find("last") != string::npos;
        m_running[task] = run;
        note("start " + task + " run " + std::to_string(number) + " on " +
             m_id + " token " + std::to_string(m_fence));
        return {200, json::serialize(base())};
    }
    auto stop(const json::object& root) -> response
    {
        const auto task = text_at(root, "task");
        const auto number = number_at(root, "run");
        m_highest[task] = std::max(m_highest[task], number);
        const auto present = m_running.find(task);
        if (present != m_running.end() && present->second.number == number &&
            present->second.stops_at == 0)
        {
            present->second.stops_at = clock() + 100;
            note("stop " + task + " run " + std::to_string(number) + " on " +
                 m_id);
        }
        return {200, json::serialize(base())};
    }
    auto finish(const string& task, std::int64_t number, const char* how)
        -> void
    {
        m_highest[task] = std::max(m_highest[task], number);
        m_ends.push_back({++m_end_number, task, number, how});
        note(string(how) + " " + task + " run " + std::to_string(number) +
             " on " + m_id);
        m_changed.notify_all();
    }
    auto tick() -> void
    {
        const std::lock_guard lock(m_mutex);
        for (auto item = m_running.begin(); item != m_running.end();)
        {
            const auto& run = item->second;
            const char* how = nullptr;
            if (run.stops_at > 0 && clock() >= run.stops_at)
            {
                how = "stopped";
            }
            else if (!run.lasts && clock() >= run.began + run.takes)
            {
                how = "done";
            }
            else if (clock() >= m_lease)
            {
                how = "lapsed";
            }
            if (how != nullptr)
            {
                finish(item->first, run.number, how);
                item = m_running.erase(item);
            }
            else
            {
                ++item;
            }
        }
    }
    auto lists() const -> response
    {
        auto out = base();
        json::array present;
        for (const auto& [task, run] : m_running)
        {
            // A task that lasts is at work, at 100, after its run time.
            const auto percent = std::min<std::int64_t>(
                run.lasts ? 100 : 99, (clock() - run.began) * 100 /
                                          std::max<std::int64_t>(run.takes, 1));
            present.push_back(json::array{task, run.number, "", percent, 500});
        }
        json::array ended;
        for (const auto& item : m_ends)
        {
            if (ended.size() < 500)
            {
                ended.push_back(json::array{item.number, item.task, item.run,
                                            item.how, ""});
            }
        }
        out["running"] = std::move(present);
        out["endedRuns"] = std::move(ended);
        return {200, json::serialize(out)};
    }
    auto heartbeat() -> void
    {
        if (is_cut())
        {
            return;
        }
        const json::object entry{
            {"id", m_id},
            {"service", "washdesk"},
            {"address", "127.0.0.1:" + std::to_string(m_port)},
            {"zone", "zone-a"},
            {"version", "1"},
            {"slots", 8},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"sequence", ++m_sequence},
            {"born", m_born},
            {"machine", "m-" + m_id},
            {"capacity", {{"cpu", 16'000}, {"memMb", 65'536}, {"gpu", 0}}},
            {"labels", {"a", "r1-1"}}};
        call(m_store_port, "POST", "store",
             "/own/put?table=servers&key=" + m_id, json::serialize(entry),
             1'000);
    }

    string m_id;
    int m_port;
    int m_store_port;
    double m_rate;
    std::atomic<std::int64_t> m_cut_until{0};
    std::FILE* m_record;
    std::int64_t m_born;
    std::int64_t m_began;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_fence = 0;
    std::int64_t m_lease = 0;
    std::int64_t m_end_number = 0;
    std::int64_t m_sequence = 0;
    std::map<string, running> m_running;
    std::map<string, std::int64_t> m_highest;
    std::deque<end> m_ends;
};

} // namespace

auto main(int count, char** words) -> int
{
    ::signal(SIGPIPE, SIG_IGN);
    const std::vector<string> args(words, words + count);
    if (count >= 4 && args[1] == "platform")
    {
        store rows(std::stoi(args[3]));
        serve(std::stoi(args[2]), 4'000,
              [&](const request& in)
              {
                  return rows.handle(in);
              });
    }
    if (count >= 6 && args[1] == "worker")
    {
        worker one(args[2], std::stoi(args[3]), std::stoi(args[4]), words[5],
                   count > 7 ? std::stod(args[7]) : 1.0);
        serve(std::stoi(args[3]), count > 6 ? std::stoi(args[6]) : 64,
              [&](const request& in)
              {
                  return one.handle(in);
              });
    }
    if (count >= 6 && args[1] == "call")
    {
        const auto out = call(std::stoi(args[3]), args[2], args[4], args[5],
                              count > 6 ? args[6] : "",
                              count > 7 ? std::stoi(args[7]) : 3'000);
        std::printf("%d %s\n", out.status, out.body.c_str());
        return out.status == 0 ? 1 : 0;
    }
    std::fprintf(stderr, "see the head of standin.cc\n");
    return 2;
}
