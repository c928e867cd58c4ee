/// @file
/// Checks callers' requests against the configuration in force before they are
/// served: keys, routes, and whether the configuration is known well enough to
/// tell; see policy/caller_access.hpp for the decisions.
#pragma once

#include <pimentoshunt/cell/policy/caller_access.hpp>
#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/logging.hpp>

#include <algorithm>  // max
#include <functional> // function
#include <map>        // map
#include <memory>     // make_shared
#include <string>     // string
#include <utility>    // move

namespace pimentoshunt::cell
{

/// @brief Callbacks into the instance that the authorizer needs. Without @ref
/// freshness every configuration counts as current.
struct authorization_context
{
    std::function<const configuration*()> in_force;
    std::function<const policy::configuration_freshness&()> freshness;
    /// See configuration_feed::refresh.
    std::function<bool(std::function<void()>)> refresh;
    policy::configuration_bounds bounds;
    /// Called with the reason of each refusal. May be empty.
    std::function<void(const std::string&)> on_refusal;
    std::function<time_point()> now = boot_clock::now;
};

/// @brief Lets requests pass, refuses them, or holds them for a newer version of
/// the configuration. Used by the control thread only.
template<class Platform>
class request_authorizer
{
  public:
    using reply = net::http_server::reply;
    /// Receives a request that may be served. A submission carries the workspace
    /// of its key.
    using next_step = std::function<void(caller_request, reply)>;

    request_authorizer(Platform& platform, authorization_context context)
        : m_platform(platform), m_context(std::move(context))
    {
    }

    /// @brief Checks a request that arrives now, and answers it unless it may be
    /// served.
    auto authorize(const net::server_request& request,
                   const configuration& in_force, reply answer, next_step next)
        -> void
    {
        const auto arrived = m_context.now();
        auto parsed = m_platform.read_caller(request, in_force);
        auto decision = decide(parsed, in_force, arrived, true);
        if (decision.result == policy::access_result::refresh)
        {
            auto held = std::make_shared<held_request>();
            const bool waits = m_context.refresh(
                [this, held]
                {
                    resume(std::move(*held));
                });
            if (waits)
            {
                *held = {request, arrived, std::move(answer), std::move(next)};
                return;
            }
            decision = decide(parsed, in_force, arrived, false);
        }
        settle(std::move(parsed), decision, arrived, answer, next);
    }

  private:
    static constexpr int bad_request = 400;
    static constexpr int unauthorized = 401;
    static constexpr int unavailable = 503;
    static constexpr std::chrono::seconds retry_after_delay{1};
    /// Callers with garbage keys may come by the thousand: each reason is
    /// logged once in this time, with the number of refusals.
    static constexpr milliseconds log_interval{1'000};

    /// A request that waits for a newer version.
    struct held_request
    {
        net::server_request request;
        time_point arrived;
        reply answer;
        next_step next;
    };

    struct refusal_count
    {
        std::uint64_t since_log = 0;
        time_point next_log;
    };

    auto decide(const caller_request& parsed, const configuration& in_force,
                time_point arrived, bool may_refresh) const
        -> policy::access_decision
    {
        policy::access_query query;
        query.route = parsed.route;
        query.key = parsed.key;
        query.uses_queue = parsed.request_kind == caller_request_kind::submit ||
                           parsed.request_kind == caller_request_kind::count;
        query.arrived = arrived;
        query.answered = std::max(arrived, m_context.now());
        query.may_refresh = may_refresh && m_context.refresh;
        if (m_context.freshness)
        {
            return policy::decide_access(query, in_force, m_context.freshness(),
                                         m_context.bounds);
        }
        policy::configuration_freshness current;
        current.on_proof(arrived);
        return policy::decide_access(query, in_force, current, {});
    }

    /// The request is read again: its route and the owner of its key may have
    /// changed.
    auto resume(held_request held) -> void
    {
        const auto& in_force = *m_context.in_force();
        auto parsed = m_platform.read_caller(held.request, in_force);
        const auto decision = decide(parsed, in_force, held.arrived, false);
        settle(std::move(parsed), decision, held.arrived, held.answer,
               held.next);
    }

    auto settle(caller_request parsed, const policy::access_decision& decision,
                time_point arrived, const reply& answer, const next_step& next)
        -> void
    {
        switch (decision.result)
        {
        case policy::access_result::allowed:
            pass(std::move(parsed), decision.workspace, arrived, answer, next);
            return;
        case policy::access_result::unauthorized:
            note(parsed.key ? "unknown key" : "no key", parsed, arrived);
            answer(m_platform.error_answer(
                unauthorized, "the request has no valid key; send one of your "
                              "workspace's keys"));
            return;
        case policy::access_result::refresh:
        case policy::access_result::unproven:
            break;
        }
        refuse_unproven(parsed, arrived, answer);
    }

    auto pass(caller_request parsed, const workspace_config* workspace,
              time_point arrived, const reply& answer, const next_step& next)
        -> void
    {
        if (parsed.route == nullptr)
        {
            note("no route", parsed, arrived);
        }
        if (workspace != nullptr)
        {
            parsed.workspace = workspace->name;
        }
        if (workspace != nullptr && parsed.spec)
        {
            parsed.spec->workspace = workspace->name;
            const auto fault =
                policy::find_step_over_limit(*parsed.spec, *workspace);
            if (!fault.empty())
            {
                logging::info("request refused").with("why", fault);
                answer(m_platform.error_answer(bad_request, fault));
                return;
            }
        }
        next(std::move(parsed), answer);
    }

    auto refuse_unproven(const caller_request& parsed, time_point arrived,
                         const reply& answer) -> void
    {
        note("stale configuration", parsed, arrived);
        // After a pause the feed would take its whole wait to prove the
        // configuration.
        if (m_context.refresh)
        {
            m_context.refresh({});
        }
        auto out = m_platform.error_answer(
            unavailable, "this instance can't tell whether its configuration "
                         "is current; try again");
        out.retry_after = retry_after_delay;
        answer(std::move(out));
    }

    auto note(const std::string& reason, const caller_request& parsed,
              time_point arrived) -> void
    {
        if (m_context.on_refusal)
        {
            m_context.on_refusal(reason);
        }
        auto& count = m_refusals[reason];
        ++count.since_log;
        if (arrived < count.next_log)
        {
            return;
        }
        const auto age = m_context.freshness
                             ? m_context.freshness().age(arrived)
                             : std::nullopt;
        logging::info("requests refused by the configuration")
            .with("why", reason)
            .with("requests", count.since_log)
            .with("last_queue", parsed.route == nullptr
                                    ? std::string()
                                    : parsed.route->queue.name.str())
            .with("configuration_age", age.value_or(milliseconds(-1)));
        count = {0, arrived + log_interval};
    }

    Platform& m_platform;
    authorization_context m_context;
    std::map<std::string, refusal_count> m_refusals;
};

} // namespace pimentoshunt::cell
