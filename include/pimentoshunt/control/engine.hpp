/// @file
/// Control logic of one instance as a state machine: membership, ownership of
/// workers, scheduling, and the entry's queues.
///
/// Does no I/O and reads no clock: events and times are inputs, effects are the
/// output. The control thread runs it; tests call it directly.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/control/events.hpp>
#include <pimentoshunt/control/gauges.hpp>
#include <pimentoshunt/entry/request_queue.hpp>
#include <pimentoshunt/jobs/job_coordinator.hpp>
#include <pimentoshunt/membership/member_table.hpp>
#include <pimentoshunt/ownership/demand_tracker.hpp>
#include <pimentoshunt/ownership/worker_manager.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/policy/grant_scheduler.hpp>
#include <pimentoshunt/policy/worker_health.hpp>

#include <pimentoshunt.pb.h>

#include <map>           // map
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <unordered_set> // unordered_set
#include <vector>        // vector

namespace pimentoshunt::control
{

/// @brief Configuration of the engine.
struct engine_config
{
    /// ID, incarnation, addresses and data centre of this instance.
    membership::member self;
    membership::liveness_limits liveness;
    ownership::worker_manager_limits ownership_limits;
    entry::request_queue_limits desk;
    /// Addresses that get heartbeats even if the table does not contain them.
    std::vector<std::string> seeds;
    milliseconds heartbeat{200};
    milliseconds list_interval{1'000};
    milliseconds plan_poll{2'000};
    /// Whether heartbeats relay the state of other instances.
    bool relay = true;
};

/// @brief A message to another instance.
struct outbound
{
    std::string address;
    wire::envelope envelope;
};

/// @brief Effects that the caller of flush() has to execute.
struct effects
{
    std::vector<outbound> sends;
    ownership::worker_manager_calls calls;
    bool read_list = false;
    bool read_plan = false;
    /// A plan that has come into force on this instance, or null.
    plan::plan_ptr new_plan;
    /// Names, "instance#incarnation", of the instances that count as alive, if
    /// they are to be published.
    std::optional<std::unordered_set<std::string>> alive;
    /// Effects of the job desk.
    jobs::job_coordinator_effects jobs;
    /// Announced jobs to look up in the table.
    std::vector<job_announced> announced;
    /// Batch attempts to checkpoint and stop, to free slots for short work.
    std::vector<ownership::revoke_call> checkpoints;
    /// Values for the metrics, about once a second.
    std::optional<gauge_snapshot> gauges;
};

/// @brief The control state of one instance. Not thread-safe; used by the
///        control thread.
class engine
{
  public:
    engine(engine_config config, time_point now);

    /// @brief Handles one event.
    auto handle(event&& notification, time_point now) -> void;

    /// @brief Runs all due timers; to be called every few milliseconds.
    auto tick(time_point now) -> void;

    /// @brief Ends a batch of events: updates demand and grants, and returns
    ///        all effects to be executed.
    auto flush(time_point now) -> effects;

    [[nodiscard]] auto ready() const noexcept -> bool
    {
        return m_config.self.state == membership::member_state::ready;
    }

    /// @brief Whether callers may be sent to this instance: it is ready, and
    ///        not cut off from both the table and most other instances.
    [[nodiscard]] auto can_serve_callers() const noexcept -> bool
    {
        return ready() && !m_isolated;
    }

  private:
    struct sent_demand
    {
        std::vector<entry::workload_demand> lines;
        std::uint64_t grants_seen = 0;

        friend auto operator==(const sent_demand&, const sent_demand&)
            -> bool = default;
    };

    /// State of the exchange with an owner to which this entry sends demand.
    struct owner_link
    {
        std::uint64_t incarnation = 0;
        std::uint64_t grants_seen = 0;
        sent_demand last;
        time_point last_at;
    };

    auto on(peer_message& notification, time_point now) -> void;
    auto on(request_arrived& notification, time_point now) -> void;
    auto on(request_cancelled& notification, time_point now) -> void;
    auto on(attempt_ended& notification, time_point now) -> void;
    auto on(fence_ended& notification, time_point now) -> void;
    auto on(inspection_ended& notification, time_point now) -> void;
    auto on(revocation_ended& notification, time_point now) -> void;
    auto on(list_read& notification, time_point now) -> void;
    auto on(plan_read& notification, time_point now) -> void;
    auto on(plan_accepted& notification, time_point now) -> void;
    auto on(drain_started& notification, time_point now) -> void;
    auto on(drain_timed_out& notification, time_point now) -> void;
    auto on(status_requested& notification, time_point now) -> void;
    auto on(jobs::job_coordinator_event& notification, time_point now) -> void;
    auto on(job_announced& notification, time_point now) -> void;

    auto on_heartbeat(const wire::envelope& message, time_point now) -> void;
    auto on_plan_text(const wire::plan_text& message, time_point now) -> void;
    auto apply_list(const wire::plan_text& message, time_point now) -> void;
    auto request_list(const instance_id& sender, std::int64_t age_us,
                      time_point now) -> void;
    auto on_demand(const wire::envelope& message, time_point now) -> void;
    auto on_grants(const wire::envelope& message, time_point now) -> void;
    auto on_releases(const wire::releases& message, time_point now) -> void;
    auto apply_usage(const instance_id& sender, const wire::heartbeat& beat)
        -> void;
    auto update_policy(time_point now) -> void;

    auto detect_pause(time_point now) -> void;
    auto beat(time_point now) -> void;
    auto add_relayed(wire::heartbeat& body, time_point now) -> void;
    auto run_maintenance(time_point now) -> void;
    auto update_links(time_point now) -> void;
    auto publish_alive(time_point now) -> void;
    auto update_gauges(time_point now) -> void;
    auto update_readiness() -> void;
    auto apply_plan(plan::plan_ptr newer) -> void;
    auto announce_plan(time_point now) -> void;
    auto plan_message(time_point now, bool list_only) const -> wire::envelope;
    auto list_age_us(time_point now) const -> std::int64_t;
    auto is_isolated(time_point now) const -> bool;
    auto current_view(time_point now) const -> ownership::membership_view;
    auto has_quorum(time_point now) const -> bool;
    auto is_known_dead(const membership::member& item) const -> bool;
    auto send_demand(time_point now) -> void;
    auto bind(const entry::grant& item, time_point now) -> bool;
    auto collect_job_effects(time_point now) -> void;
    [[nodiscard]] auto is_restartable(const ledger::worker_account& account,
                                      const attempt_id& attempt) const -> bool;
    auto request_checkpoints(time_point now) -> void;
    auto place_waiting_work(time_point now) -> void;
    auto send_grants(const instance_id& entry,
                     const std::vector<entry::grant>& grants, time_point now)
        -> void;
    auto release_grant(const entry::grant& item,
                       ownership::attempt_outcome outcome,
                       std::chrono::microseconds run_time, time_point now)
        -> void;
    auto release_locally(const entry::grant& item,
                         ownership::attempt_outcome outcome,
                         std::chrono::microseconds run_time, time_point now)
        -> void;
    auto record_outcome(const entry::grant& item,
                        ownership::attempt_outcome outcome,
                        std::chrono::microseconds run_time, time_point now)
        -> void;
    auto set_expected_run_time(const plan::workload& workload) -> void;
    auto send_to(const instance_id& id, wire::envelope message) -> void;
    auto add_sender(wire::envelope message) const -> wire::envelope;
    auto next_attempt() -> attempt_id;
    auto self_id() const -> const instance_id&
    {
        return m_config.self.id;
    }

    engine_config m_config;
    membership::member_table m_members;
    ownership::worker_manager m_worker_manager;
    ownership::demand_tracker m_demand_tracker;
    entry::request_queue m_desk;
    jobs::job_coordinator m_jobs;
    policy::grant_scheduler m_scheduler;
    policy::worker_health m_health;
    /// Usage by workspace that each other owner has reported.
    std::map<instance_id, std::vector<policy::workspace_usage>> m_usage;
    plan::plan_ptr m_plan;
    time_point m_plan_confirmed;
    bool m_plan_known = false;
    bool m_list_known = false;
    /// Earliest time at which the platform can have produced the current list.
    time_point m_list_as_of;
    /// Time at which the instances were last read from the table.
    time_point m_table_read;
    bool m_isolated = false;
    bool m_drain_over = false;
    std::map<instance_id, owner_link> m_links;
    std::unordered_map<instance_id, std::vector<wire::release>>
        m_pending_releases;
    std::vector<std::string> m_greeted;
    effects m_effects;
    bool m_demand_changed = false;
    bool m_capacity_changed = false;
    bool m_membership_changed = true;
    std::uint64_t m_attempts = 0;
    std::size_t m_relay_cursor = 0;
    /// Value of m_attempts at the last gauge snapshot.
    std::uint64_t m_attempts_reported = 0;
    time_point m_last_tick;
    time_point m_next_maintenance;
    time_point m_next_heartbeat;
    time_point m_next_list;
    time_point m_next_plan;
    time_point m_next_plan_request;
    time_point m_next_checkpoint;
    time_point m_next_gauges;
    time_point m_next_list_request;
};

} // namespace pimentoshunt::control
