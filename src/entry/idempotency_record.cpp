/// @file
/// JSON encoding of idempotency records, and the request fingerprint (two
/// FNV-1a digests).
#include <pimentoshunt/entry/idempotency_record.hpp>

#include <pimentoshunt/platform/http_pool.hpp>
#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/array.hpp>     // array
#include <boost/json/object.hpp>    // object
#include <boost/json/serialize.hpp> // serialize

namespace pimentoshunt::entry
{
namespace
{

namespace fields = platform::detail;
using std::chrono::milliseconds;
using std::chrono::system_clock;

constexpr std::uint64_t fnv_prime = 0x100000001b3;

auto mix(std::uint64_t& digest, std::uint64_t byte) -> void
{
    digest = (digest ^ byte) * fnv_prime;
}

auto to_hex(std::uint64_t value) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (int shift = 60; shift >= 0; shift -= 4)
    {
        out += digits[(value >> shift) & 0x0f];
    }
    return out;
}

auto to_string(record_state state) -> const char*
{
    switch (state)
    {
    case record_state::started:
        return "started";
    case record_state::answered:
        return "answered";
    case record_state::lost:
        return "lost";
    case record_state::not_run:
        break;
    }
    return "not_run";
}

auto parse_state(const std::string& text) -> std::optional<record_state>
{
    for (const auto state : {record_state::started, record_state::answered,
                             record_state::not_run, record_state::lost})
    {
        if (text == to_string(state))
        {
            return state;
        }
    }
    return std::nullopt;
}

// JSON strings are Unicode, while a body may hold any bytes. Each byte is
// encoded as the code point of the same number, which keeps ASCII readable.
auto bytes_to_text(const std::string& bytes) -> std::string
{
    std::string out;
    out.reserve(bytes.size());
    for (const char c : bytes)
    {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x80)
        {
            out += c;
            continue;
        }
        out += static_cast<char>(0xc0 | (byte >> 6));
        out += static_cast<char>(0x80 | (byte & 0x3f));
    }
    return out;
}

auto text_to_bytes(const std::string& text) -> std::string
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const auto lead = static_cast<unsigned char>(text[i]);
        if (lead < 0x80 || i + 1 == text.size())
        {
            out += text[i];
            continue;
        }
        const auto next = static_cast<unsigned char>(text[++i]);
        out += static_cast<char>((lead << 6) | (next & 0x3f));
    }
    return out;
}

auto response_to_json(const idempotency_record& record) -> boost::json::object
{
    const auto& response = *record.response;
    boost::json::array headers;
    for (const auto& header : response.headers)
    {
        headers.push_back(boost::json::object{
            {"name", header.name}, {"value", bytes_to_text(header.value)}});
    }
    boost::json::object out{{"status", response.status},
                            {"headers", std::move(headers)}};
    if (record.body_object.empty())
    {
        out["body"] = bytes_to_text(response.body);
    }
    else
    {
        out["object"] = record.body_object;
    }
    return out;
}

auto response_from_json(const boost::json::object& from) -> stored_response
{
    stored_response out;
    out.status = static_cast<int>(fields::number_of(from, "status"));
    out.body = text_to_bytes(fields::text_of(from, "body"));
    const auto* headers = fields::array_of(from, "headers");
    if (headers == nullptr)
    {
        return out;
    }
    for (const auto& item : *headers)
    {
        const auto* header = item.if_object();
        if (header != nullptr)
        {
            out.headers.push_back(
                {fields::text_of(*header, "name"),
                 text_to_bytes(fields::text_of(*header, "value"))});
        }
    }
    return out;
}

} // namespace

auto idempotency_key::row_key() const -> std::string
{
    return idempotency_prefix + platform::encode_query(workspace.str()) + "/" +
           platform::encode_query(text);
}

auto request_fingerprint::add(std::string_view part) -> request_fingerprint&
{
    for (const char c : part)
    {
        const auto byte = static_cast<unsigned char>(c);
        mix(m_first, byte);
        mix(m_second, byte ^ 0xffU);
    }
    // The boundary is marked by a value outside the range of a byte.
    mix(m_first, 0x100);
    mix(m_second, 0x100);
    m_bytes += part.size();
    return *this;
}

auto request_fingerprint::text() const -> std::string
{
    return to_hex(m_first) + to_hex(m_second) + "-" + std::to_string(m_bytes);
}

auto serialize(const idempotency_record& record) -> std::string
{
    const auto claimed = std::chrono::duration_cast<milliseconds>(
        record.claimed_at.time_since_epoch());
    boost::json::object out{
        {"state", to_string(record.state)}, {"fingerprint", record.fingerprint},
        {"holder", record.holder},          {"attempt", record.attempt.str()},
        {"worker_url", record.worker_url},  {"claimed_at_ms", claimed.count()}};
    if (record.response)
    {
        out["answer"] = response_to_json(record);
    }
    return boost::json::serialize(out);
}

auto parse_idempotency_record(const std::string& text)
    -> std::optional<idempotency_record>
{
    const auto parsed = fields::parse_object(text);
    const auto state =
        parsed ? parse_state(fields::text_of(*parsed, "state")) : std::nullopt;
    if (!state)
    {
        return std::nullopt;
    }
    idempotency_record out;
    out.state = *state;
    out.fingerprint = fields::text_of(*parsed, "fingerprint");
    out.holder = fields::text_of(*parsed, "holder");
    out.attempt = attempt_id(fields::text_of(*parsed, "attempt"));
    out.worker_url = fields::text_of(*parsed, "worker_url");
    out.claimed_at = system_clock::time_point(
        milliseconds(fields::number_of(*parsed, "claimed_at_ms")));
    const auto* response = fields::object_of(*parsed, "answer");
    if (response != nullptr)
    {
        out.response = response_from_json(*response);
        out.body_object = fields::text_of(*response, "object");
    }
    if (out.state == record_state::answered && !out.response)
    {
        return std::nullopt;
    }
    return out;
}

} // namespace pimentoshunt::entry
