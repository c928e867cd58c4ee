/// @file
/// Calls to the platform over HTTP, and the recovery of lost commit replies.
#include <pimentoshunt/platform/http_platform.hpp>

#include <pimentoshunt/platform/json_fields.hpp>

#include <boost/json/array.hpp>     // array
#include <boost/json/object.hpp>    // object
#include <boost/json/serialize.hpp> // serialize

#include <algorithm> // any_of, min, none_of
#include <thread>    // sleep_for
#include <utility>   // move

namespace pimentoshunt::platform
{
namespace
{

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int first_server_error = 500;
constexpr milliseconds initial_retry_delay{20};
constexpr milliseconds max_retry_delay{200};

auto is_success(int status) -> bool
{
    return status >= status_ok && status < 300;
}

auto no_answer_error(const std::string& peer_address,
                     const http_exchange& exchange) -> leaf::error_id
{
    if (exchange.state == exchange_state::never_sent)
    {
        return leaf::new_error(error{
            error_kind::platform, not_sent, peer_address,
            "the platform could not be reached: " + exchange.detail,
            "check platform_url and the platform's health, then try again"});
    }
    return leaf::new_error(
        error{error_kind::platform, outcome_unknown, peer_address,
              "the platform gave no answer and the outcome is unknown: " +
                  exchange.detail,
              "read the state back before trying again"});
}

auto status_error(const std::string& peer_address, int status) -> leaf::error_id
{
    if (status >= first_server_error)
    {
        return leaf::new_error(
            error{error_kind::platform, outcome_unknown, peer_address,
                  "the platform failed with status " + std::to_string(status),
                  "wait for the platform to recover, then read the state "
                  "back"});
    }
    return leaf::new_error(error{
        error_kind::platform, call_refused, peer_address,
        "the platform rejected the call with status " + std::to_string(status),
        "compare the platform's version with docs/platform-contract.md"});
}

auto malformed_answer_error(const std::string& peer_address) -> leaf::error_id
{
    return leaf::new_error(
        error{error_kind::platform, answer_malformed, peer_address,
              "the platform's answer does not follow the contract",
              "compare the platform's version with docs/platform-contract.md"});
}

auto row_of(const boost::json::object& from) -> row
{
    return row{detail::text_of(from, "key"), detail::text_of(from, "value"),
               detail::number_of(from, "version"),
               detail::text_of(from, "write_id")};
}

auto rows_of(const boost::json::object& from, const char* name)
    -> std::optional<std::vector<row>>
{
    const auto* items = detail::array_of(from, name);
    if (items == nullptr)
    {
        return std::nullopt;
    }
    std::vector<row> rows;
    rows.reserve(items->size());
    for (const auto& item : *items)
    {
        if (!item.is_object())
        {
            return std::nullopt;
        }
        rows.push_back(row_of(item.get_object()));
    }
    return rows;
}

auto serialize_change(const transaction& change) -> std::string
{
    boost::json::array items;
    items.reserve(change.operations.size());
    for (const auto& each : change.operations)
    {
        boost::json::object item{{"key", each.key}, {"expect", each.expect}};
        if (each.value)
        {
            item["value"] = *each.value;
        }
        else
        {
            item["delete"] = true;
        }
        items.push_back(std::move(item));
    }
    return boost::json::serialize(boost::json::object{
        {"write_id", change.write_id}, {"ops", std::move(items)}});
}

/// Selects the operation whose row is read back to find out whether the
/// transaction took effect: one that writes a value, preferably with an
/// expected version. Returns nullptr if there is none.
auto select_probe(const transaction& change) -> const operation*
{
    const operation* best = nullptr;
    for (const auto& each : change.operations)
    {
        if (each.value && each.expect != expect_any)
        {
            return &each;
        }
        if (each.value && best == nullptr)
        {
            best = &each;
        }
    }
    return best;
}

auto was_written_by(const row& item, const transaction& change) -> bool
{
    return item.write_id == change.write_id;
}

auto worker_of(const boost::json::object& from) -> worker::description
{
    worker::description out;
    out.id = worker_id(detail::text_of(from, "id"));
    out.base_url = detail::text_of(from, "base_url");
    out.data_centre = data_centre_name(detail::text_of(from, "data_centre"));
    out.rack = detail::text_of(from, "rack");
    out.capacity = detail::resources_of(from, "resources");
    out.connections = detail::number_of(from, "connections", out.connections);
    out.leaving = detail::text_of(from, "state") == "leaving";
    return out;
}

} // namespace

http_platform::http_platform(http_endpoint peer, http_platform_limits limits)
    : m_limits(limits),
      m_peer_address(peer.host + ":" + std::to_string(peer.port)),
      m_pool(std::move(peer),
             pool_limits{limits.connections, limits.connect_timeout})
{
}

auto http_platform::get(const std::string& path) -> http_exchange
{
    http_call request;
    request.method = "GET";
    request.path = path;
    request.timeout = m_limits.timeout;
    request.repeatable = true;
    return m_pool.call(request);
}

auto http_platform::read(const std::string& key) -> result<std::optional<row>>
{
    const auto answer = get("/table/" + encode_path(key));
    if (answer.state != exchange_state::answered)
    {
        return no_answer_error(m_peer_address, answer);
    }
    if (answer.status == status_not_found)
    {
        return std::optional<row>();
    }
    if (answer.status != status_ok)
    {
        return status_error(m_peer_address, answer.status);
    }
    const auto parsed = detail::parse_object(answer.body);
    if (!parsed || detail::number_of(*parsed, "version") < 1)
    {
        return malformed_answer_error(m_peer_address);
    }
    return std::optional<row>(row_of(*parsed));
}

auto http_platform::scan(const std::string& prefix, const std::string& after,
                         std::size_t limit) -> result<std::vector<row>>
{
    const auto answer = get("/table?prefix=" + encode_query(prefix) +
                            "&after=" + encode_query(after) +
                            "&limit=" + std::to_string(limit));
    if (answer.state != exchange_state::answered)
    {
        return no_answer_error(m_peer_address, answer);
    }
    if (answer.status != status_ok)
    {
        return status_error(m_peer_address, answer.status);
    }
    const auto parsed = detail::parse_object(answer.body);
    auto rows = parsed ? rows_of(*parsed, "rows") : std::nullopt;
    if (!rows)
    {
        return malformed_answer_error(m_peer_address);
    }
    return std::move(*rows);
}

auto http_platform::send_commit(const transaction& change, milliseconds limit)
    -> commit_attempt
{
    http_call request;
    request.method = "POST";
    request.path = "/commit";
    request.body = serialize_change(change);
    request.timeout = limit;
    const auto answer = m_pool.call(request);
    commit_attempt out;
    out.state = answer.state;
    out.status = answer.status;
    out.detail = answer.detail;
    if (answer.state != exchange_state::answered)
    {
        return out;
    }
    if (answer.status >= first_server_error)
    {
        out.state = exchange_state::unknown;
        out.detail = "status " + std::to_string(answer.status);
        return out;
    }
    if (answer.status == status_ok)
    {
        out.outcome.committed = true;
        return out;
    }
    if (answer.status != status_conflict)
    {
        return out;
    }
    const auto parsed = detail::parse_object(answer.body);
    auto rows = parsed ? rows_of(*parsed, "conflicts") : std::nullopt;
    if (!rows)
    {
        out.state = exchange_state::unknown;
        out.detail = "malformed conflict list";
        return out;
    }
    out.outcome.conflicts = std::move(*rows);
    // A conflict with a row that this transaction wrote means that an earlier
    // attempt of the same transaction took effect.
    out.outcome.committed =
        std::any_of(out.outcome.conflicts.begin(), out.outcome.conflicts.end(),
                    [&](const row& item)
                    {
                        return was_written_by(item, change);
                    });
    return out;
}

auto http_platform::commit(const transaction& change) -> result<commit_outcome>
{
    auto first = send_commit(change, m_limits.timeout);
    if (first.state == exchange_state::unknown)
    {
        return resolve_lost_commit(change);
    }
    if (first.state == exchange_state::never_sent)
    {
        http_exchange failed;
        failed.state = first.state;
        failed.detail = first.detail;
        return no_answer_error(m_peer_address, failed);
    }
    if (first.status != status_ok && first.status != status_conflict)
    {
        return status_error(m_peer_address, first.status);
    }
    return std::move(first.outcome);
}

auto http_platform::read_back(const transaction& change, const operation& probe,
                              commit_outcome& outcome) -> commit_evidence
{
    return handle(
        [&]() -> result<commit_evidence>
        {
            BOOST_LEAF_AUTO(found, read(probe.key));
            if (found && was_written_by(*found, change))
            {
                outcome.committed = true;
                return commit_evidence::committed;
            }
            const auto version = found ? found->version : expect_absent;
            if (probe.expect == expect_any)
            {
                return commit_evidence::inconclusive;
            }
            if (version == probe.expect)
            {
                return commit_evidence::unchanged;
            }
            // If the row is one version past the expected one and another
            // transaction wrote it, this transaction did not take effect and
            // can't any more. If the row is further ahead, this transaction
            // may have taken effect and its value been overwritten.
            if (version != probe.expect + 1)
            {
                return commit_evidence::inconclusive;
            }
            outcome.conflicts.push_back(
                row{found->key, {}, found->version, found->write_id});
            return commit_evidence::conflict;
        },
        [](const error&)
        {
            return commit_evidence::inconclusive;
        });
}

auto http_platform::conflicts_without_probe(const commit_attempt& attempt,
                                            const operation& probe) -> bool
{
    // If the conflicts don't include the probe's row, that row has the expected
    // version, so the first attempt did not take effect. The conflicting rows
    // prevent it from taking effect later.
    const auto& conflicts = attempt.outcome.conflicts;
    return attempt.state == exchange_state::answered && !conflicts.empty() &&
           std::none_of(conflicts.begin(), conflicts.end(),
                        [&](const row& item)
                        {
                            return item.key == probe.key;
                        });
}

auto http_platform::resolve_lost_commit(const transaction& change)
    -> result<commit_outcome>
{
    const auto until = boot_clock::now() + m_limits.resolve_timeout;
    const auto* const probe = select_probe(change);
    auto retry_delay = initial_retry_delay;
    while (probe != nullptr && boot_clock::now() < until)
    {
        commit_outcome outcome;
        const auto seen = read_back(change, *probe, outcome);
        if (seen == commit_evidence::committed ||
            seen == commit_evidence::conflict)
        {
            return outcome;
        }
        if (seen == commit_evidence::unchanged)
        {
            // The first request may still be in flight. The expected version
            // lets only one of the two take effect, so sending it again is
            // harmless.
            auto again = send_commit(change, m_limits.timeout);
            if (again.outcome.committed ||
                conflicts_without_probe(again, *probe))
            {
                return std::move(again.outcome);
            }
        }
        std::this_thread::sleep_for(retry_delay);
        retry_delay = std::min(retry_delay * 2, max_retry_delay);
    }
    http_exchange failure;
    failure.detail =
        "a commit's reply was lost and its outcome is undetermined";
    return no_answer_error(m_peer_address, failure);
}

auto http_platform::put_object(const std::string& name,
                               const std::string& bytes) -> result<void>
{
    http_call request;
    request.method = "PUT";
    request.path = "/objects/" + encode_path(name);
    request.body = bytes;
    request.content_type = "application/octet-stream";
    request.timeout = m_limits.timeout;
    request.repeatable = true;
    const auto answer = m_pool.call(request);
    if (answer.state != exchange_state::answered)
    {
        return no_answer_error(m_peer_address, answer);
    }
    if (!is_success(answer.status))
    {
        return status_error(m_peer_address, answer.status);
    }
    return {};
}

auto http_platform::get_object(const std::string& name)
    -> result<std::optional<std::string>>
{
    auto answer = get("/objects/" + encode_path(name));
    if (answer.state != exchange_state::answered)
    {
        return no_answer_error(m_peer_address, answer);
    }
    if (answer.status == status_not_found)
    {
        return std::optional<std::string>();
    }
    if (answer.status != status_ok)
    {
        return status_error(m_peer_address, answer.status);
    }
    return std::optional<std::string>(std::move(answer.body));
}

auto http_platform::instances() -> result<instance_list>
{
    const auto answer = get("/instances");
    if (answer.state != exchange_state::answered)
    {
        return no_answer_error(m_peer_address, answer);
    }
    if (answer.status != status_ok)
    {
        return status_error(m_peer_address, answer.status);
    }
    const auto parsed = detail::parse_object(answer.body);
    const auto* items =
        parsed ? detail::array_of(*parsed, "instances") : nullptr;
    if (items == nullptr)
    {
        return malformed_answer_error(m_peer_address);
    }
    instance_list out;
    for (const auto& item : *items)
    {
        if (!item.is_object())
        {
            continue;
        }
        const auto& entry = item.get_object();
        if (detail::text_of(entry, "kind") == "worker")
        {
            out.workers.push_back(worker_of(entry));
        }
        else
        {
            out.entries.emplace_back(detail::text_of(entry, "id"));
        }
    }
    return out;
}

} // namespace pimentoshunt::platform
