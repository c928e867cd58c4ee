#include <pimentoshunt/control/job_calls.hpp>

#include <pimentoshunt/control/io_call_message.hpp>

#include <memory>  // make_shared
#include <utility> // move

namespace pimentoshunt::control
{
namespace
{

/// Jobs of a partition that are read per request.
constexpr std::size_t jobs_per_page = 1'000;

/// Executes a worker call, blocking, and returns its result.
class worker_call_executor
{
  public:
    explicit worker_call_executor(worker::http_worker& workers)
        : m_workers(workers)
    {
    }

    auto operator()(const jobs::start_task& call) -> jobs::worker_call_result
    {
        const auto answer = handle(
            [&]() -> result<jobs::start_status>
            {
                BOOST_LEAF_AUTO(
                    outcome, m_workers.start_task(call.worker.url, call.start));
                return jobs::start_status_of(outcome);
            },
            [](const error& fault)
            {
                return jobs::start_status_of(fault);
            });
        return jobs::start_result{call.start.attempt, answer};
    }

    auto operator()(const jobs::renew_leases& call) -> jobs::worker_call_result
    {
        jobs::lease_report report{call.worker.id, call.attempts, false, {}};
        leaf::try_handle_all(
            [&]() -> result<void>
            {
                BOOST_LEAF_ASSIGN(report.expired,
                                  m_workers.renew(call.worker.url,
                                                  call.attempts, call.lease));
                report.answered = true;
                return {};
            },
            [] {});
        return report;
    }

    auto operator()(const jobs::inspect_attempt& call)
        -> jobs::worker_call_result
    {
        jobs::attempt_inspected notification{call.attempt, std::nullopt};
        leaf::try_handle_all(
            [&]() -> result<void>
            {
                BOOST_LEAF_ASSIGN(
                    notification.report,
                    m_workers.revoke(call.worker.url, call.attempt));
                return {};
            },
            [] {});
        return notification;
    }

    auto operator()(const jobs::stop_task& call) -> jobs::worker_call_result
    {
        jobs::stop_result notification{call.attempt, false};
        leaf::try_handle_all(
            [&]() -> result<void>
            {
                BOOST_LEAF_CHECK(m_workers.stop(call.worker.url, call.attempt));
                notification.stopped = true;
                return {};
            },
            [] {});
        return notification;
    }

    auto operator()(const jobs::fence_worker& call) -> jobs::worker_call_result
    {
        jobs::worker_fenced notification{call.worker, false, {}};
        leaf::try_handle_all(
            [&]() -> result<void>
            {
                BOOST_LEAF_AUTO(
                    outcome, m_workers.partition_fence(
                                 call.worker.url, call.partition, call.epoch));
                notification.accepted = outcome.accepted;
                notification.running = std::move(outcome.running);
                return {};
            },
            [] {});
        return notification;
    }

  private:
    worker::http_worker& m_workers;
};

} // namespace

auto job_calls::start(control_loop& control,
                      jobs::job_coordinator_effects wanted) -> void
{
    for (auto& item : wanted.calls)
    {
        const auto run = [this, &control, item = std::move(item)]
        {
            control.post(jobs::job_coordinator_event(jobs::worker_call_finished{
                item.partition, item.epoch, answer(item.call)}));
        };
        m_services.send(kernel::task_io_service, kernel::io_call{run});
    }
    for (const auto& item : wanted.reads)
    {
        const auto run = [this, &control, item]
        {
            read(control, item);
        };
        m_services.send(kernel::platform_io_service, kernel::io_call{run});
    }
    if (wanted.commit)
    {
        auto shared =
            std::make_shared<jobs::commit_request>(std::move(*wanted.commit));
        const auto run = [this, &control, shared]
        {
            commit(control, *shared);
        };
        m_services.send(kernel::platform_io_service, kernel::io_call{run});
    }
}

auto job_calls::answer(const jobs::worker_call& call)
    -> jobs::worker_call_result
{
    return std::visit(worker_call_executor(m_workers), call);
}

auto job_calls::read_partition(const jobs::partition_read_request& wanted)
    -> result<jobs::partition_read>
{
    jobs::partition_read notification{
        wanted.partition, wanted.claim, {}, {}, {}};
    BOOST_LEAF_AUTO(state, m_store.read_partition(wanted.partition));
    if (wanted.claim)
    {
        BOOST_LEAF_ASSIGN(state, m_store.claim(state));
    }
    // Read after the claim, which excludes further commits of the earlier
    // owner.
    BOOST_LEAF_ASSIGN(notification.jobs,
                      m_store.list_all(wanted.partition, jobs_per_page));
    BOOST_LEAF_ASSIGN(
        notification.cancels,
        m_store.list_all_cancels(wanted.partition, jobs_per_page));
    notification.state = std::move(state);
    return notification;
}

auto job_calls::read(control_loop& control,
                     const jobs::partition_read_request& wanted) -> void
{
    control.post(jobs::job_coordinator_event(handle(
        [&]
        {
            return read_partition(wanted);
        },
        [&](const error&)
        {
            return jobs::partition_read{
                wanted.partition, wanted.claim, {}, {}, {}};
        })));
}

auto job_calls::refresh(const jobs::partition_state& claim,
                        jobs::commit_finished& notification) -> void
{
    leaf::try_handle_all(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(current, m_store.refresh(claim));
            notification.claims.push_back(std::move(current));
            return {};
        },
        [&](const error& fault)
        {
            if (fault.id == jobs::partition_lost)
            {
                notification.lost.push_back(claim.partition);
            }
        },
        [] {});
}

auto job_calls::commit(control_loop& control, jobs::commit_request& wanted)
    -> void
{
    const bool answered = handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(m_store.persist(wanted.updates));
            return true;
        },
        [](const error&)
        {
            return false;
        });
    jobs::commit_finished notification;
    for (const auto& update : wanted.updates)
    {
        if (answered && update.committed)
        {
            notification.claims.push_back(update.claim);
            continue;
        }
        refresh(update.claim, notification);
    }
    for (auto& job : wanted.jobs)
    {
        for (const auto& update : wanted.updates)
        {
            if (update.claim.partition == job.partition)
            {
                job.progress.committed = answered && update.committed;
            }
        }
    }
    notification.jobs = std::move(wanted.jobs);
    control.post(jobs::job_coordinator_event(std::move(notification)));
}

auto job_calls::find(control_loop& control, const job_id& job, bool cancelled)
    -> void
{
    const auto run = [this, &control, job, cancelled]
    {
        leaf::try_handle_all(
            [&]() -> result<void>
            {
                if (cancelled)
                {
                    control.post(jobs::job_coordinator_event(
                        jobs::job_cancel_requested{job}));
                    return {};
                }
                BOOST_LEAF_AUTO(record, m_store.read(job));
                if (record)
                {
                    control.post(jobs::job_coordinator_event(
                        jobs::job_found{std::move(*record)}));
                }
                return {};
            },
            [] {});
    };
    m_services.send(kernel::platform_io_service, kernel::io_call{run});
}

} // namespace pimentoshunt::control
