#include <pimentoshunt/cell/serve.hpp>

#include "platform/gateway.hpp"

#include <pimentoshunt/cell/instance.hpp>
#include <pimentoshunt/logging.hpp>
#include <pimentoshunt/net/http_client.hpp>
#include <pimentoshunt/net/http_server.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>  // seconds
#include <cmath>   // lround
#include <csignal> // SIGTERM
#include <cstdio>  // fprintf
#include <fstream> // ifstream
#include <sstream> // ostringstream
#include <thread>  // thread
#include <utility> // move
#include <vector>  // vector

namespace pimentoshunt::cell
{
namespace
{

namespace asio = boost::asio;

static_assert(cell_platform<adapter::gateway>);

/// The platform's load balancer stops sending connections after two failed
/// health checks, one a second; until then new connections still arrive.
constexpr milliseconds balancer_detection_time{2'600};
constexpr milliseconds drain_poll_interval{50};
/// Part of the stop grace that is reserved, to end before the process is
/// killed.
constexpr milliseconds grace_margin{1'200};
/// Several times what the instance of a full cell of 48 workers writes; at
/// about 20 us a line this takes one percent of a core.
constexpr std::uint64_t log_lines_per_second = 500;

auto new_incarnation() -> std::uint64_t
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

auto addresses_of(const settings& config) -> adapter::addresses
{
    return {config.store_address, config.approval_address,
            config.machine_address};
}

auto options_of(const settings& config) -> instance_options
{
    instance_options out;
    out.name = config.instance;
    out.data_centre = config.data_centre;
    out.peer_address = config.peer_address;
    out.incarnation = new_incarnation();
    constexpr double millicpus_each = 1'000;
    out.ownership.millicpus = std::lround(config.processors * millicpus_each);
    out.scheduler.longest_lease = config.longest_lease;
    out.scheduler.lease = std::min(out.scheduler.lease, config.longest_lease);
    out.configuration_bounds = {config.credential_max_age,
                                config.configuration_max_age};
    return out;
}

auto limits_of(const settings& config) -> net::server_limits
{
    constexpr std::size_t mebibyte = 1u << 20;
    net::server_limits out;
    out.held_bytes = config.connection_memory_mb * mebibyte;
    return out;
}

/// Owns the threads, listeners and signal handlers of the process.
class process
{
  public:
    process(settings config, std::string settings_file)
        : m_config(std::move(config)),
          m_settings_file(std::move(settings_file)),
          m_client(m_network, m_control.get_executor(), {}),
          m_platform(m_client, m_meters, addresses_of(m_config)),
          m_instance(m_platform, m_control, make_options()),
          m_caller_server(m_network, m_control.get_executor(),
                          limits_of(m_config),
                          [this](const net::server_request& request,
                                 net::http_server::reply answer)
                          {
                              m_instance.serve(request, std::move(answer));
                          }),
          m_status_server(m_network, m_control.get_executor(),
                          limits_of(m_config),
                          [this](const net::server_request& request,
                                 const net::http_server::reply& answer)
                          {
                              serve_status(request, answer);
                          }),
          m_signals(m_control, SIGTERM, SIGINT, SIGHUP),
          m_drain_timer(m_control)
    {
    }

    auto start() -> result<void>
    {
        BOOST_LEAF_CHECK(m_caller_server.listen(m_config.caller_address));
        BOOST_LEAF_CHECK(m_status_server.listen(m_config.status_address));
        return {};
    }

    auto run() -> void
    {
        logging::info("instance starting")
            .with("callers", m_config.caller_address)
            .with("store", m_config.store_address);
        wait_for_signal();
        m_instance.start();
        std::thread network(
            [this]
            {
                m_network.run();
            });
        m_control.run();
        m_network.stop();
        network.join();
        logging::info("instance stopped");
    }

  private:
    auto make_options() -> instance_options
    {
        auto out = options_of(m_config);
        out.on_configuration = [this, limits = limits_of(m_config)](
                                   const configuration& in_force) mutable
        {
            limits.header_bytes = in_force.max_header_bytes;
            limits.body_bytes = in_force.max_body_bytes;
            limits.header_timeout = in_force.header_timeout;
            limits.idle_timeout = in_force.idle_timeout;
            m_caller_server.set_limits(limits);
        };
        out.counted = [this](const scheduler_counts& counts)
        {
            count_runs(counts);
        };
        out.load_measured = [this](const owner_load& load, milliseconds lag)
        {
            record_load(load, lag);
        };
        out.on_refusal = [this](const std::string& reason)
        {
            m_meters.add("caller_refusals_total", {"reason", reason});
        };
        // Exports the series with 0 before the first event.
        count_runs({});
        return out;
    }

    auto count_runs(const scheduler_counts& counts) -> void
    {
        m_meters.add("runs_total", {"event", "end noted"}, counts.ends_durable);
        m_meters.add("runs_total", {"event", "unknown run"},
                     counts.unknown_runs);
        m_meters.add("runs_total", {"event", "unknown end"},
                     counts.unknown_ends);
        m_meters.add("runs_total", {"event", "worker crashed"}, counts.crashes);
        m_meters.add("jobs_given_up_total", {"for", "crashes"},
                     counts.crash_failures);
        m_meters.add("copies_total", {"event", "started"}, counts.copies);
        m_meters.add("copies_total", {"event", "ended first"},
                     counts.copies_first);
        m_meters.add("long_waits_total", {"of", "step"}, counts.long_waits);
        m_meters.add("worker_entries_ignored_total", {"for", "malformed"},
                     counts.malformed_entries);
        m_meters.add("worker_entries_ignored_total", {"for", "contradicted"},
                     counts.contradicted_entries);
        m_meters.add("overloads_total", {"of", "service"}, counts.overloads);
        for (const auto& [queue, jobs] : counts.delayed_jobs)
        {
            m_meters.add("jobs_delayed_total", {"queue", queue.str()}, jobs);
        }
        for (const auto& [queue, jobs] : counts.expired_jobs)
        {
            m_meters.add("jobs_expired_total", {"queue", queue.str()}, jobs);
        }
        count_workspaces(counts.workspaces);
    }

    auto record_load(const owner_load& load, milliseconds lag) -> void
    {
        using real_s = std::chrono::duration<double>;
        m_load_measured_at = boot_clock::now();
        m_meters.add("owner_passes_total", {}, load.passes);
        m_meters.add("owner_examined_workers_total", {}, load.examined_workers);
        m_meters.set("owner_lag_seconds", {}, real_s(lag).count());
        m_meters.set("owner_waiting_steps", {},
                     static_cast<double>(load.waiting_steps));
        m_meters.set("owner_busy_share", {"with", "passes"},
                     real_s(load.pass_time) / real_s(load.interval));
        m_meters.set("owner_busy_share", {"with", "processor"},
                     real_s(load.processor_time) / real_s(load.interval));
    }

    auto count_workspaces(const std::vector<policy::workspace_count>& counts)
        -> void
    {
        if (counts.empty())
        {
            return;
        }
        m_workspaces_counted_at = boot_clock::now();
        for (const auto& item : counts)
        {
            const meter_label label{"workspace", item.name};
            m_meters.set("workspace_millicpus", label,
                         static_cast<double>(item.millicpus));
            m_meters.set("workspace_waiting_jobs", label,
                         static_cast<double>(item.waiting_jobs));
            m_meters.add("workspace_held_back_total", label, item.held_back);
        }
    }

    /// Only the owner knows what workspaces use and how busy it is: an instance that was the owner
    /// must not go on showing what it knew last.
    auto remove_outdated_gauges() -> void
    {
        constexpr std::chrono::seconds max_age{5};
        const auto now = boot_clock::now();
        if (now - m_workspaces_counted_at > max_age)
        {
            m_meters.clear("workspace_millicpus");
            m_meters.clear("workspace_waiting_jobs");
        }
        if (now - m_load_measured_at > max_age)
        {
            m_meters.clear("owner_lag_seconds");
            m_meters.clear("owner_waiting_steps");
            m_meters.clear("owner_busy_share");
        }
    }

    auto serve_status(const net::server_request& request,
                      const net::http_server::reply& answer) -> void
    {
        constexpr int unavailable = 503;
        constexpr int not_found = 404;
        if (m_platform.is_readiness_request(request))
        {
            const bool ready = m_instance.ready();
            answer({ready ? 200 : unavailable,
                    ready ? "{}" : R"({"ready":false})"});
            return;
        }
        if (request.target == "/metrics")
        {
            if (const auto age = m_instance.configuration_age())
            {
                m_meters.set("configuration_age_seconds", {},
                             std::chrono::duration<double>(*age).count());
            }
            remove_outdated_gauges();
            answer({200, m_meters.text(), "text/plain; version=0.0.4"});
            return;
        }
        answer({not_found, R"({"error":"nothing is here"})"});
    }

    auto wait_for_signal() -> void
    {
        m_signals.async_wait(
            [this](auto fault, int number)
            {
                if (fault)
                {
                    return;
                }
                if (number == SIGHUP)
                {
                    reload();
                    wait_for_signal();
                    return;
                }
                drain();
            });
    }

    auto reload() -> void
    {
        std::ifstream file(m_settings_file);
        std::ostringstream text;
        text << file.rdbuf();
        handle(
            [&]() -> result<bool>
            {
                BOOST_LEAF_AUTO(read, parse_settings(text.str()));
                m_config = std::move(read);
                m_platform.set_addresses(addresses_of(m_config));
                logging::set_level(logging::parse_level(m_config.log_level));
                logging::info("settings reloaded");
                return true;
            },
            [](const error& fault)
            {
                logging::error(
                    "settings are invalid; keeping the previous ones")
                    .with("fault", fault.message());
                return false;
            });
    }

    auto drain() -> void
    {
        logging::info("received a stop signal; draining");
        m_instance.release_ownership();
        m_caller_server.close_after_responses();
        m_drain_begun = boot_clock::now();
        drain_step();
    }

    auto drain_step() -> void
    {
        const auto passed = boot_clock::now() - m_drain_begun;
        const auto limit = m_config.stop_grace - grace_margin;
        const bool balancer_has_noticed =
            passed >= std::min(balancer_detection_time, limit);
        if (balancer_has_noticed && !m_callers_closed)
        {
            m_callers_closed = true;
            m_caller_server.close();
        }
        const bool idle = m_caller_server.in_flight() == 0;
        if ((m_callers_closed && idle) || passed >= limit)
        {
            m_instance.stop();
            m_status_server.close();
            m_control.stop();
            return;
        }
        m_drain_timer.expires_after(drain_poll_interval);
        m_drain_timer.async_wait(
            [this](auto fault)
            {
                if (!fault)
                {
                    drain_step();
                }
            });
    }

    settings m_config;
    std::string m_settings_file;
    asio::io_context m_control{1};
    asio::io_context m_network{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_network_work{
        m_network.get_executor()};
    net::http_client m_client;
    meters m_meters;
    adapter::gateway m_platform;
    instance<adapter::gateway> m_instance;
    net::http_server m_caller_server;
    net::http_server m_status_server;
    asio::signal_set m_signals;
    asio::steady_timer m_drain_timer;
    time_point m_drain_begun;
    bool m_callers_closed = false;
    time_point m_workspaces_counted_at;
    time_point m_load_measured_at;
};

} // namespace

auto serve(const settings& config, const std::string& settings_file) -> int
{
    logging::setup(config.instance, config.log_level,
                   logging::stream::standard_output);
    logging::set_rate_limit(log_lines_per_second);
    try
    {
        process instance_process(config, settings_file);
        const bool started = handle(
            [&]() -> result<bool>
            {
                BOOST_LEAF_CHECK(instance_process.start());
                return true;
            },
            [](const error& fault)
            {
                std::fprintf(stderr, "%s\n", fault.message().c_str());
                return false;
            });
        if (!started)
        {
            return 1;
        }
        instance_process.run();
    }
    catch (const zmq::error_t& fault)
    {
        logging::error("could not bind the peer address; choose a free one")
            .with("address", config.peer_address)
            .with("fault", fault.what());
        return 1;
    }
    return 0;
}

} // namespace pimentoshunt::cell
