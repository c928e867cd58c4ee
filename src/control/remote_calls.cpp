#include <pimentoshunt/control/remote_calls.hpp>

#include <pimentoshunt/control/io_call_message.hpp>
#include <pimentoshunt/entry/operator_server.hpp>
#include <pimentoshunt/membership/member_codec.hpp>
#include <pimentoshunt/ownership/holder.hpp>
#include <pimentoshunt/plan/parse.hpp>

#include <caf/behavior.hpp>
#include <caf/event_based_actor.hpp>

#include <cstring> // strlen
#include <utility> // move

namespace pimentoshunt::control
{
namespace
{

constexpr const char* instance_prefix = "instance/";
/// Time after which an instance row that is not renewed is removed.
constexpr std::chrono::minutes row_expiry{10};
constexpr std::size_t scan_limit = 1'000;
/// Interval of the search for expired idempotency keys, and its rows per pass.
constexpr std::chrono::seconds key_sweep_interval{60};
constexpr std::size_t key_sweep_batch = 200;
/// Time limit of one attempt to record answers whose recording failed.
constexpr milliseconds key_flush_limit{500};

auto io_behavior(caf::event_based_actor*, kernel::io_pool* pool)
    -> caf::behavior
{
    return {[pool](const kernel::io_call& call)
            {
                pool->submit(call);
            }};
}

/// Parses a stored plan; fails if this version does not support it.
auto to_revisioned(plan::stored_plan stored) -> result<plan::plan_ptr>
{
    auto made = std::make_shared<plan::revisioned_plan>();
    BOOST_LEAF_ASSIGN(made->parsed, plan::parse(stored.text));
    made->revision = stored.revision;
    made->text = std::move(stored.text);
    return plan::plan_ptr(std::move(made));
}

} // namespace

auto spawn_io(caf::actor_system& system, kernel::directory& services,
              kernel::service_name name, kernel::io_pool& pool) -> void
{
    services.put(name, system.spawn(io_behavior, &pool));
}

remote_calls::remote_calls(kernel::directory services,
                           platform::http_platform& store,
                           plan::plan_store<platform::http_platform>& plans,
                           worker::http_worker& workers,
                           plan::active_plan& in_force,
                           membership::live_holders& alive,
                           entry::platform_idempotency_log& keys,
                           job_calls& jobs, membership::member self)
    : m_services(services), m_store(store), m_plans(plans), m_workers(workers),
      m_in_force(in_force), m_alive(alive), m_keys(keys), m_jobs(jobs),
      m_self(std::move(self)),
      m_write_ids("member-" +
                  ownership::holder{m_self.id, m_self.incarnation}.str())
{
}

auto remote_calls::make_call_starter(control_loop& control) -> call_starter
{
    const auto on_worker_io = [this](std::function<void()> run)
    {
        m_services.send(kernel::worker_io_service,
                        kernel::io_call{std::move(run)});
    };
    const auto on_platform_io = [this](std::function<void()> run)
    {
        m_services.send(kernel::platform_io_service,
                        kernel::io_call{std::move(run)});
    };
    call_starter made;
    made.fence = [=, this, &control](const ownership::fence_call& call)
    {
        on_worker_io(
            [this, &control, call]
            {
                fence(control, call);
            });
    };
    made.inspect = [=, this, &control](const ownership::inspect_call& call)
    {
        on_worker_io(
            [this, &control, call]
            {
                inspect(control, call);
            });
    };
    made.revoke = [=, this, &control](const ownership::revoke_call& call)
    {
        on_worker_io(
            [this, &control, call]
            {
                revoke(control, call);
            });
    };
    made.checkpoint = [=, this, &control](const ownership::revoke_call& call)
    {
        on_worker_io(
            [this, &control, call]
            {
                checkpoint(control, call);
            });
    };
    made.jobs = [this, &control](jobs::job_coordinator_effects wanted)
    {
        m_jobs.start(control, std::move(wanted));
    };
    made.find_job = [this, &control](const job_announced& notification)
    {
        m_jobs.find(control, notification.job, notification.cancelled);
    };
    made.read_list = [=, this, &control]
    {
        if (!m_list_running.exchange(true))
        {
            on_platform_io(
                [this, &control]
                {
                    read_list(control);
                });
        }
    };
    made.read_plan = [=, this, &control]
    {
        if (!m_plan_running.exchange(true))
        {
            on_platform_io(
                [this, &control]
                {
                    read_plan(control);
                });
        }
    };
    made.publish = [this](plan::plan_ptr newer)
    {
        m_in_force.set(std::move(newer));
    };
    made.publish_alive = [this](std::unordered_set<std::string> names)
    {
        m_alive.set(std::move(names));
    };
    return made;
}

auto remote_calls::maintain_idempotency_keys() -> result<void>
{
    const auto now = boot_clock::now();
    static_cast<void>(m_keys.flush(now + key_flush_limit));
    if (now < m_next_sweep)
    {
        return {};
    }
    m_next_sweep = now + key_sweep_interval;
    BOOST_LEAF_CHECK(
        m_keys.sweep(std::chrono::system_clock::now(), key_sweep_batch));
    return {};
}

auto remote_calls::fence(control_loop& control,
                         const ownership::fence_call& call) -> void
{
    fence_ended notification{
        call.worker.id, call.epoch, ownership::fence_answer::unknown, {}};
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            const auto name =
                ownership::holder{m_self.id, m_self.incarnation}.str();
            BOOST_LEAF_AUTO(outcome, m_workers.fence(call.worker.base_url,
                                                     call.epoch, name));
            notification.answer = outcome.accepted
                                      ? ownership::fence_answer::accepted
                                      : ownership::fence_answer::refused;
            notification.report = std::move(outcome.report);
            return {};
        },
        [] {});
    control.post(std::move(notification));
}

auto remote_calls::inspect(control_loop& control,
                           const ownership::inspect_call& call) -> void
{
    inspection_ended notification{call.worker.id, call.number, std::nullopt};
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(report, m_workers.state(call.worker.base_url));
            notification.report = std::move(report);
            return {};
        },
        [] {});
    control.post(std::move(notification));
}

auto remote_calls::revoke(control_loop& control,
                          const ownership::revoke_call& call) -> void
{
    revocation_ended notification{call.worker.id, call.attempt, std::nullopt};
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(
                report, m_workers.revoke(call.worker.base_url, call.attempt));
            notification.state = report.state;
            return {};
        },
        [] {});
    control.post(std::move(notification));
}

auto remote_calls::checkpoint(control_loop& control,
                              const ownership::revoke_call& call) -> void
{
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            BOOST_LEAF_CHECK(
                m_workers.checkpoint(call.worker.base_url, call.attempt));
            control.post(revocation_ended{call.worker.id, call.attempt,
                                          worker::attempt_state::stopped});
            return {};
        },
        [] {});
}

auto remote_calls::register_self() -> result<void>
{
    // The row is rewritten on every call: other instances take an instance
    // whose row no longer changes for dead.
    const platform::transaction change{
        m_write_ids.next(),
        {{instance_prefix + m_self.id.str(), platform::expect_any,
          membership::serialize(m_self)}}};
    BOOST_LEAF_CHECK(m_store.commit(change));
    return {};
}

auto remote_calls::deregister_self() -> void
{
    const auto key = instance_prefix + m_self.id.str();
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(row, m_store.read(key));
            const auto stored =
                row ? membership::parse_member(row->value) : std::nullopt;
            if (stored && stored->incarnation == m_self.incarnation)
            {
                BOOST_LEAF_CHECK(m_store.commit(
                    {m_write_ids.next(), {{key, row->version, std::nullopt}}}));
            }
            return {};
        },
        [] {});
}

auto remote_calls::sweep(const std::vector<platform::row>& rows) -> void
{
    const auto now = boot_clock::now();
    std::map<std::string, row_age> seen;
    for (const auto& row : rows)
    {
        const auto known = m_rows.find(row.key);
        const bool same =
            known != m_rows.end() && known->second.write_id == row.write_id;
        const auto since = same ? known->second.since : now;
        seen.emplace(row.key, row_age{row.write_id, since});
        if (now - since > row_expiry)
        {
            // Conditional on the row's version, so that a row that its instance
            // renews concurrently is kept.
            leaf::try_handle_all(
                [&]() -> result<void>
                {
                    BOOST_LEAF_CHECK(m_store.commit(
                        {m_write_ids.next(),
                         {{row.key, row.version, std::nullopt}}}));
                    return {};
                },
                [] {});
        }
    }
    m_rows = std::move(seen);
}

auto remote_calls::registered() -> result<std::vector<membership::member>>
{
    BOOST_LEAF_AUTO(rows, m_store.scan(instance_prefix, "", scan_limit));
    sweep(rows);
    std::vector<membership::member> members;
    for (const auto& row : rows)
    {
        if (auto item = membership::parse_member(row.value))
        {
            item->row_write_id = row.write_id;
            members.push_back(std::move(*item));
        }
    }
    return members;
}

auto remote_calls::drained() -> result<std::vector<worker_id>>
{
    BOOST_LEAF_AUTO(rows, m_store.scan(entry::drained_prefix, "", scan_limit));
    std::vector<worker_id> workers;
    workers.reserve(rows.size());
    for (const auto& row : rows)
    {
        workers.emplace_back(
            row.key.substr(std::strlen(entry::drained_prefix)));
    }
    return workers;
}

auto remote_calls::read_list(control_loop& control) -> void
{
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            list_read notification;
            notification.asked_at = boot_clock::now();
            BOOST_LEAF_CHECK(register_self());
            BOOST_LEAF_ASSIGN(notification.list, m_store.instances());
            BOOST_LEAF_ASSIGN(notification.registered, registered());
            BOOST_LEAF_ASSIGN(notification.drained, drained());
            control.post(std::move(notification));
            return maintain_idempotency_keys();
        },
        [] {});
    m_list_running = false;
}

auto remote_calls::read_plan(control_loop& control) -> void
{
    const auto asked_at = boot_clock::now();
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            plan_read notification;
            notification.asked_at = asked_at;
            BOOST_LEAF_AUTO(revision, m_plans.read_revision());
            if (revision != 0 && revision == m_in_force.get()->revision)
            {
                notification.found = m_in_force.get();
            }
            else if (revision != 0)
            {
                BOOST_LEAF_AUTO(stored, m_plans.read());
                BOOST_LEAF_ASSIGN(notification.found,
                                  to_revisioned(std::move(*stored)));
            }
            control.post(std::move(notification));
            return {};
        },
        [] {});
    m_plan_running = false;
}

} // namespace pimentoshunt::control
