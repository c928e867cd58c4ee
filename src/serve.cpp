/// @file
/// Builds the components of an instance, starts them and stops them gracefully.
#include <pimentoshunt/serve.hpp>

#include <pimentoshunt/control/control_loop.hpp>
#include <pimentoshunt/control/remote_calls.hpp>
#include <pimentoshunt/entry/caller_server.hpp>
#include <pimentoshunt/entry/job_routes.hpp>
#include <pimentoshunt/entry/operator_server.hpp>
#include <pimentoshunt/kernel/directory.hpp>
#include <pimentoshunt/logging.hpp>
#include <pimentoshunt/metrics/registry.hpp>
#include <pimentoshunt/plan/parse.hpp>
#include <pimentoshunt/transport/transport_service.hpp>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/send.hpp>

#include <csignal>  // sigset_t
#include <cstdio>   // fprintf
#include <memory>   // unique_ptr
#include <thread>   // sleep_for
#include <unistd.h> // getpid

namespace pimentoshunt
{
namespace
{

/// Time in which the load balancer notices that an instance is not ready.
/// Listeners stay open for that long, since requests still arrive.
constexpr milliseconds balancer_detection_time{1'500};
constexpr milliseconds drain_poll_interval{20};
/// Connections of callers beyond the number of requests served at once.
constexpr std::size_t spare_connections = 128;
/// Connections of this instance to one worker, for requests.
constexpr std::size_t worker_connections = 64;
/// Connections of this instance to one worker, for control calls. A call that
/// stops a task may occupy one until the task has ended.
constexpr std::size_t control_connections = 6;

auto address_or_default(const std::string& advertised, const settings& config,
                        int port) -> std::string
{
    return advertised.empty() ? config.host + ":" + std::to_string(port)
                              : advertised;
}

/// Incarnation number of this process: the start time in microseconds, so that
/// each restart of an instance gets a higher one.
auto new_incarnation() -> std::uint64_t
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

auto make_engine_config(const settings& config) -> control::engine_config
{
    control::engine_config made;
    made.self.id = config.instance;
    made.self.incarnation = new_incarnation();
    made.self.address =
        address_or_default(config.advertised_peer, config, config.peer_port);
    made.self.http_address =
        config.host + ":" + std::to_string(config.operator_port);
    made.self.data_centre = config.data_centre;
    made.liveness.suspect_after = config.suspect_after;
    made.ownership_limits.inspect_interval = config.inspect_interval;
    made.desk.queue_limit = config.queue_limit;
    made.seeds = config.seeds;
    made.heartbeat = config.heartbeat;
    made.list_interval = config.list_interval;
    made.plan_poll = config.plan_poll;
    return made;
}

auto caller_limits(const settings& config) -> entry::listener_limits
{
    entry::listener_limits limits;
    limits.requests = config.caller_threads;
    limits.connections = config.caller_threads + spare_connections;
    limits.body_bytes = config.max_body_bytes;
    return limits;
}

auto operator_limits(const settings& config) -> entry::listener_limits
{
    entry::listener_limits limits;
    limits.requests = config.operator_threads;
    limits.connections = config.operator_threads;
    limits.body_bytes = plan::max_plan_bytes;
    limits.keep_alive_timeout = std::chrono::seconds(1);
    return limits;
}

/// Blocks SIGTERM and SIGINT in this thread and in those that it starts, so
/// that the main thread receives them by sigwait().
auto block_stop_signals() -> sigset_t
{
    sigset_t signals;
    ::sigemptyset(&signals);
    ::sigaddset(&signals, SIGTERM);
    ::sigaddset(&signals, SIGINT);
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// Configures the actor system with one scheduler thread that sleeps when idle.
/// All busy services have threads of their own, and the default of one thread
/// per core would poll for work.
class actor_config : public caf::actor_system_config
{
  public:
    actor_config()
    {
        set("scheduler.policy", caf::atom("sharing"));
        set("scheduler.max-threads", 1);
    }
};

/// A running instance. Members are declared in the order of construction.
class instance
{
  public:
    explicit instance(const settings& config)
        : m_config(config), m_engine_config(make_engine_config(config)),
          m_system(m_caf_config), m_services(m_system),
          m_store(*platform::parse_endpoint(config.platform_url),
                  store_limits(config)),
          m_plans(m_store, writer_name()), m_workers(worker_limits(config)),
          m_runs(config.worker_connect_timeout, worker_connections),
          m_keys(m_store, writer_name()), m_jobs(m_store, writer_name()),
          m_job_calls(m_services, m_jobs, m_workers),
          m_calls(m_services, m_store, m_plans, m_workers, m_in_force, m_alive,
                  m_keys, m_job_calls, m_engine_config.self),
          m_control(m_engine_config, m_services, make_starter()),
          m_handler(m_control, m_in_force, m_runs, {m_keys, m_workers, m_alive},
                    m_meters),
          m_callers(caller_limits(config)),
          m_operators(operator_limits(config)),
          m_operator_context{m_control,
                             m_in_force,
                             m_plans,
                             m_store,
                             m_meters,
                             []
                             {
                                 ::kill(::getpid(), SIGTERM);
                             },
                             [this]
                             {
                                 return m_meters.prometheus_text();
                             }}
    {
    }

    auto start() -> result<void>
    {
        control::spawn_io(m_system, m_services, kernel::worker_io_service,
                          m_worker_io);
        control::spawn_io(m_system, m_services, kernel::task_io_service,
                          m_task_io);
        control::spawn_io(m_system, m_services, kernel::platform_io_service,
                          m_platform_io);
        transport::spawn_transport(m_system, m_services, m_sender);
        control::spawn_control(m_system, m_services, m_control);
        entry::add_caller_routes(m_callers, m_handler);
        entry::add_operator_routes(m_operators, m_operator_context);
        entry::add_job_routes(m_operators, m_job_context);
        BOOST_LEAF_CHECK(listen_to_peers());
        BOOST_LEAF_CHECK(
            m_operators.start(m_config.host, m_config.operator_port));
        return m_callers.start(m_config.host, m_config.caller_port);
    }

    /// Stops gracefully: requests in flight are finished, up to the drain
    /// timeout, and the workers are handed over to other instances.
    auto drain() -> void
    {
        m_control.post(control::drain_started{});
        const auto limit = boot_clock::now() + m_config.drain_timeout;
        const auto ready_to_stop = boot_clock::now() + balancer_detection_time;
        while (boot_clock::now() < limit)
        {
            if (boot_clock::now() >= ready_to_stop &&
                m_callers.in_flight() == 0)
            {
                break;
            }
            std::this_thread::sleep_for(drain_poll_interval);
        }
        // Requests that still wait must be answered before the listener can
        // stop.
        m_control.post(control::drain_timed_out{});
        m_callers.stop();
        m_operators.stop();
    }

    auto stop() -> void
    {
        m_receiver.reset();
        for (const auto name :
             {kernel::control_service, kernel::transport_service,
              kernel::worker_io_service, kernel::task_io_service,
              kernel::platform_io_service})
        {
            caf::anon_send_exit(m_services.find(name),
                                caf::exit_reason::user_shutdown);
            m_services.remove(name);
        }
        m_system.await_all_actors_done();
        m_calls.deregister_self();
    }

  private:
    static auto store_limits(const settings& config)
        -> platform::http_platform_limits
    {
        platform::http_platform_limits limits;
        limits.timeout = config.platform_timeout;
        return limits;
    }

    static auto worker_limits(const settings& config)
        -> worker::http_worker_limits
    {
        worker::http_worker_limits limits;
        limits.connect_timeout = config.worker_connect_timeout;
        limits.connections = control_connections;
        return limits;
    }

    auto make_starter() -> control::call_starter
    {
        auto made = m_calls.make_call_starter(m_control);
        made.publish_gauges = [this](const control::gauge_snapshot& seen)
        {
            control::publish(seen, m_meters);
        };
        return made;
    }

    [[nodiscard]] auto writer_name() const -> std::string
    {
        return ownership::holder{m_config.instance,
                                 m_engine_config.self.incarnation}
            .str();
    }

    auto listen_to_peers() -> result<void>
    {
        const auto address =
            m_config.host + ":" + std::to_string(m_config.peer_port);
        try
        {
            m_receiver = std::make_unique<transport::peer_receiver>(
                m_zmq, address,
                [this](wire::envelope message)
                {
                    m_control.post(control::peer_message{std::move(message)});
                });
        }
        catch (const zmq::error_t&)
        {
            return leaf::new_error(error{
                error_kind::settings, 110, address,
                "the address can't be listened on",
                "choose a free peer_port, or end the process that uses it"});
        }
        return {};
    }

    settings m_config;
    control::engine_config m_engine_config;
    actor_config m_caf_config;
    caf::actor_system m_system;
    kernel::directory m_services;
    zmq::context_t m_zmq;
    transport::peer_sender m_sender{m_zmq};
    kernel::io_pool m_worker_io{m_config.io_threads * 2};
    kernel::io_pool m_task_io{m_config.io_threads * 2};
    kernel::io_pool m_platform_io{m_config.io_threads};
    plan::active_plan m_in_force;
    platform::http_platform m_store;
    plan::plan_store<platform::http_platform> m_plans;
    worker::http_worker m_workers;
    entry::run_client m_runs;
    membership::live_holders m_alive;
    entry::platform_idempotency_log m_keys;
    metrics::registry m_meters;
    control::platform_job_store m_jobs;
    control::job_calls m_job_calls;
    control::remote_calls m_calls;
    control::control_loop m_control;
    entry::request_handler m_handler;
    entry::http_listener m_callers;
    entry::http_listener m_operators;
    entry::operator_context m_operator_context;
    entry::job_context m_job_context{m_control, m_in_force, m_jobs};
    std::unique_ptr<transport::peer_receiver> m_receiver;
};

} // namespace

auto serve(const settings& config) -> int
{
    logging::setup(config);
    const auto signals = block_stop_signals();
    instance running(config);
    const bool started = handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(running.start());
            return true;
        },
        [](const error& fault)
        {
            std::fprintf(stderr, "%s\n", fault.message().c_str());
            return false;
        });
    if (started)
    {
        int received = 0;
        ::sigwait(&signals, &received);
        running.drain();
    }
    running.stop();
    return started ? 0 : 1;
}

} // namespace pimentoshunt
