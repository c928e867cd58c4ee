#include "store.hpp"

#include <boost/json.hpp>

namespace review
{
namespace
{

namespace json = boost::json;

/// Limits of the pages (PROTOCOL.md; platform.rowBytes of the settings).
constexpr std::size_t most_entries = 100;
constexpr std::size_t most_call_bytes = 1'000'000;
constexpr std::size_t most_row_bytes = 65'536;
constexpr std::size_t most_rows = 500;
/// platform.txMs and the way there and back.
constexpr milliseconds call_time{4};

constexpr char digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

auto base64(const std::string& bytes) -> std::string
{
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        std::uint32_t word = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
        {
            word = word << 8 |
                   (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0u);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            out += k <= count ? digits[word >> (18 - 6 * k) & 63] : '=';
        }
    }
    return out;
}

auto decoded_size(std::string_view text) -> std::size_t
{
    auto size = text.size() / 4 * 3;
    while (!text.empty() && text.back() == '=')
    {
        --size;
        text.remove_suffix(1);
    }
    return size;
}

auto text_of(const json::object& from, const char* name) -> std::string
{
    const auto* found = from.if_contains(name);
    return found != nullptr && found->is_string()
               ? std::string(found->as_string())
               : std::string();
}

auto number_in(const http_request& request, const char* name,
               std::uint64_t otherwise) -> std::uint64_t
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? otherwise
                                        : std::stoull(found->second);
}

auto text_in(const http_request& request, const char* name) -> std::string
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

} // namespace

store::store(record& seen)
    : m_seen(seen), m_server(
                        [this](const http_request& request,
                               const std::function<bool()>& connected)
                        {
                            return serve(request, connected);
                        })
{
}

auto store::stop() -> void
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    m_server.stop();
}

auto store::put(const std::string& table, const std::string& key,
                const std::string& text) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_version;
        const auto value = base64(text);
        apply({table, "", key}, &value);
    }
    m_changed.notify_all();
}

auto store::remove(const std::string& table, const std::string& key) -> void
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_version;
        apply({table, "", key}, nullptr);
    }
    m_changed.notify_all();
}

auto store::apply(const place& at, const std::string* value) -> void
{
    if (value != nullptr)
    {
        m_rows[at] = {*value, m_version};
        m_changes.push_back({at, *value, m_version, false});
    }
    else if (m_rows.erase(at) > 0)
    {
        m_changes.push_back({at, "", m_version, true});
    }
}

auto store::now_ms() const -> std::int64_t
{
    return static_cast<std::int64_t>(m_seen.now());
}

auto store::row_json(const place& at, const row& item) const -> json::object
{
    return {{"table", std::get<0>(at)},
            {"part", std::get<1>(at)},
            {"key", std::get<2>(at)},
            {"value", item.value},
            {"ver", item.version}};
}

auto store::serve(const http_request& request,
                  const std::function<bool()>& connected)
    -> std::optional<http_response>
{
    if (request.path == "/pimentoshunt/rows-feed")
    {
        return feed(request, connected);
    }
    std::this_thread::sleep_for(call_time);
    if (request.path == "/pimentoshunt/rows-tx")
    {
        return transact(request.body);
    }
    if (request.path == "/pimentoshunt/rows-get")
    {
        return get(request);
    }
    return http_response{404, "{}"};
}

auto store::transact(const std::string& body) -> http_response
{
    json::error_code fault;
    const auto parsed = json::parse(body, fault);
    if (fault || !parsed.is_object())
    {
        return {400, "{}"};
    }
    const auto& root = parsed.as_object();
    const auto list = [&](const char* name)
    {
        const auto* found = root.if_contains(name);
        return found != nullptr && found->is_array() ? found->as_array()
                                                     : json::array();
    };
    const auto at_of = [](const json::value& item)
    {
        const auto& from = item.as_object();
        return place{text_of(from, "table"), text_of(from, "part"),
                     text_of(from, "key")};
    };
    const auto expected = list("expected");
    const auto puts = list("puts");
    const auto removals = list("remove");
    const auto entries = expected.size() + puts.size() + removals.size();
    if (entries > most_entries || body.size() > most_call_bytes)
    {
        m_seen.add("refused", "store", "", body.size(),
                   "a call of " + std::to_string(entries) + " entries");
        return {413, R"({"error":"the call is too large"})"};
    }
    for (const auto& item : puts)
    {
        const auto size = decoded_size(text_of(item.as_object(), "value"));
        if (size > most_row_bytes)
        {
            m_seen.add("refused", "store", std::get<2>(at_of(item)), size,
                       "the row is longer than platform.rowBytes");
            return {413, R"({"error":"the row is too large"})"};
        }
    }
    std::unique_lock lock(m_mutex);
    bool holds = true;
    json::array current;
    for (const auto& item : expected)
    {
        const auto at = at_of(item);
        const auto found = m_rows.find(at);
        const auto version = found == m_rows.end() ? 0 : found->second.version;
        holds = holds && version == item.at("ver").to_number<std::uint64_t>();
        if (found != m_rows.end())
        {
            current.push_back(row_json(at, found->second));
        }
    }
    if (!holds)
    {
        return {412, json::serialize(json::object{{"ver", m_version},
                                                  {"nowMs", now_ms()},
                                                  {"rows", current}})};
    }
    ++m_version;
    for (const auto& item : puts)
    {
        const auto value = text_of(item.as_object(), "value");
        apply(at_of(item), &value);
    }
    for (const auto& item : removals)
    {
        apply(at_of(item), nullptr);
    }
    const auto version = m_version;
    lock.unlock();
    m_changed.notify_all();
    return {200, json::serialize(
                     json::object{{"ver", version}, {"nowMs", now_ms()}})};
}

auto store::get(const http_request& request) -> http_response
{
    const auto table = text_in(request, "table");
    const auto part = text_in(request, "part");
    const auto from = text_in(request, "from");
    const auto to = text_in(request, "to");
    const auto limit = std::min<std::size_t>(
        number_in(request, "limit", most_rows), most_rows);
    const std::lock_guard lock(m_mutex);
    json::array rows;
    bool more = false;
    std::size_t bytes = 0;
    for (auto item = m_rows.lower_bound({table, part, from});
         item != m_rows.end() && std::get<0>(item->first) == table &&
         std::get<1>(item->first) == part &&
         (to.empty() || std::get<2>(item->first) < to);
         ++item)
    {
        bytes += item->second.value.size();
        if (rows.size() >= limit || (bytes > most_call_bytes && !rows.empty()))
        {
            more = true;
            break;
        }
        rows.push_back(row_json(item->first, item->second));
    }
    return {200, json::serialize(json::object{{"ver", m_version},
                                              {"nowMs", now_ms()},
                                              {"rows", rows},
                                              {"hasMore", more}})};
}

auto store::feed(const http_request& request,
                 const std::function<bool()>& connected)
    -> std::optional<http_response>
{
    const auto table = text_in(request, "table");
    const auto after = number_in(request, "after", 0);
    const auto until =
        steady::now() + milliseconds(number_in(request, "waitMs", 0));
    std::unique_lock lock(m_mutex);
    while (true)
    {
        json::array rows;
        auto version = std::max(m_version, after);
        auto first = std::partition_point(m_changes.begin(), m_changes.end(),
                                          [&](const change& item)
                                          {
                                              return item.version <= after;
                                          });
        for (; first != m_changes.end(); ++first)
        {
            if (std::get<0>(first->at) != table)
            {
                continue;
            }
            if (rows.size() >= most_rows && first->version > version)
            {
                break;
            }
            auto row = row_json(first->at, {first->value, first->version});
            if (first->removed)
            {
                row["tombstone"] = true;
            }
            rows.push_back(std::move(row));
            if (rows.size() >= most_rows)
            {
                version = first->version;
            }
        }
        if (!rows.empty() || steady::now() >= until || m_stopped ||
            !connected())
        {
            return http_response{
                200,
                json::serialize(json::object{
                    {"ver", version}, {"nowMs", now_ms()}, {"rows", rows}})};
        }
        m_changed.wait_until(
            lock, std::min(until, steady::now() + milliseconds(200)));
    }
}

} // namespace review
