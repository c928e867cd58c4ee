/// @file
/// The control state of one instance and its reactions.
///
/// No I/O and no clock of its own: events and times come in, wanted effects
/// come out. The control thread runs it; tests run it alone.
#pragma once

#include <pimentoshunt/clock.hpp>
#include <pimentoshunt/control/events.hpp>
#include <pimentoshunt/control/gauges.hpp>
#include <pimentoshunt/entry/request_queue.hpp>
#include <pimentoshunt/jobs/job_coordinator.hpp>
#include <pimentoshunt/membership/member_table.hpp>
#include <pimentoshunt/ownership/demand_board.hpp>
#include <pimentoshunt/ownership/worker_keeper.hpp>
#include <pimentoshunt/plan/document.hpp>
#include <pimentoshunt/policy/grant_picker.hpp>
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

/// @brief What the engine is made with.
struct engine_config
{
    /// This instance; its id, incarnation, addresses and data centre.
    membership::member self;
    membership::liveness_limits liveness;
    ownership::keeper_limits keeper;
    entry::request_queue_limits desk;
    /// Addresses to greet although no table has named them.
    std::vector<std::string> seeds;
    milliseconds heartbeat{200};
    milliseconds list_interval{1'000};
    milliseconds plan_poll{2'000};
    /// Whether heartbeats carry what is known of other instances.
    bool relay = true;
};

/// @brief A message to another instance.
struct outbound
{
    std::string address;
    wire::envelope envelope;
};

/// @brief What the engine wants done; filled by flush().
struct effects
{
    std::vector<outbound> sends;
    ownership::keeper_calls calls;
    bool read_list = false;
    bool read_plan = false;
    /// A plan that has come into force here, else null.
    plan::plan_ptr new_plan;
    /// The lives taken for alive, "instance#incarnation", when they changed.
    std::optional<std::unordered_set<std::string>> alive;
    /// What the job desk wants done.
    jobs::job_coordinator_effects jobs;
    /// Jobs that another instance told of, to be looked up.
    std::vector<job_announced> announced;
    /// Batch attempts to save and stop, to make room for short work.
    std::vector<ownership::revoke_call> checkpoints;
    /// Due about once a second.
    std::optional<gauge_snapshot> gauges;
};

/// @brief The control state of one instance. Single-threaded.
class engine
{
  public:
    engine(engine_config config, time_point now);

    /// @brief Takes in one event.
    auto handle(event&& news, time_point now) -> void;

    /// @brief Lets time pass; to be called every few milliseconds.
    auto tick(time_point now) -> void;

    /// @brief Ends a batch of events: sends demand and grants, and hands over
    ///        everything that is to be done.
    auto flush(time_point now) -> effects;

    [[nodiscard]] auto ready() const noexcept -> bool
    {
        return m_config.self.state == membership::member_state::ready;
    }

    /// @brief Whether callers may be sent here: it serves, and is not cut off
    ///        from both the table and most other instances.
    [[nodiscard]] auto fit_for_callers() const noexcept -> bool
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

    /// What this entry knows of an owner it asks.
    struct owner_link
    {
        std::uint64_t incarnation = 0;
        std::uint64_t grants_seen = 0;
        sent_demand last;
        time_point last_at;
    };

    auto on(peer_message& news, time_point now) -> void;
    auto on(request_arrived& news, time_point now) -> void;
    auto on(request_cancelled& news, time_point now) -> void;
    auto on(attempt_ended& news, time_point now) -> void;
    auto on(fence_ended& news, time_point now) -> void;
    auto on(inspection_ended& news, time_point now) -> void;
    auto on(revocation_ended& news, time_point now) -> void;
    auto on(list_read& news, time_point now) -> void;
    auto on(plan_read& news, time_point now) -> void;
    auto on(plan_accepted& news, time_point now) -> void;
    auto on(drain_begun& news, time_point now) -> void;
    auto on(drain_over& news, time_point now) -> void;
    auto on(status_wanted& news, time_point now) -> void;
    auto on(jobs::job_coordinator_event& news, time_point now) -> void;
    auto on(job_announced& news, time_point now) -> void;

    auto on_beat(const wire::envelope& message, time_point now) -> void;
    auto on_plan_text(const wire::plan_text& message, time_point now) -> void;
    auto take_list(const wire::plan_text& message, time_point now) -> void;
    auto want_list(const instance_id& sender, std::int64_t age_us,
                   time_point now) -> void;
    auto on_demand(const wire::envelope& message, time_point now) -> void;
    auto on_grants(const wire::envelope& message, time_point now) -> void;
    auto on_releases(const wire::releases& message, time_point now) -> void;
    auto take_usage(const instance_id& sender, const wire::heartbeat& beat)
        -> void;
    auto update_policy(time_point now) -> void;

    auto note_pause(time_point now) -> void;
    auto beat(time_point now) -> void;
    auto add_relayed(wire::heartbeat& body, time_point now) -> void;
    auto slow_tick(time_point now) -> void;
    auto update_links(time_point now) -> void;
    auto publish_alive(time_point now) -> void;
    auto update_gauges(time_point now) -> void;
    auto update_readiness() -> void;
    auto adopt(plan::plan_ptr newer) -> void;
    auto announce_plan(time_point now) -> void;
    auto plan_message(time_point now, bool list_only) const -> wire::envelope;
    auto list_age_us(time_point now) const -> std::int64_t;
    auto isolated(time_point now) const -> bool;
    auto view(time_point now) const -> ownership::claim_view;
    auto quorate(time_point now) const -> bool;
    auto known_dead(const membership::member& item) const -> bool;
    auto send_demand(time_point now) -> void;
    auto bind(const entry::grant& item, time_point now) -> bool;
    auto collect_jobs(time_point now) -> void;
    [[nodiscard]] auto restartable(const ledger::worker_account& account,
                                   const attempt_id& attempt) const -> bool;
    auto make_room(time_point now) -> void;
    auto place(time_point now) -> void;
    auto hand_out(const instance_id& entry,
                  const std::vector<entry::grant>& grants, time_point now)
        -> void;
    auto give_back(const entry::grant& item, ownership::attempt_outcome outcome,
                   std::chrono::microseconds run_time, time_point now) -> void;
    auto release_here(const entry::grant& item,
                      ownership::attempt_outcome outcome,
                      std::chrono::microseconds run_time, time_point now)
        -> void;
    auto learn(const entry::grant& item, ownership::attempt_outcome outcome,
               std::chrono::microseconds run_time, time_point now) -> void;
    auto set_expected_run_time(const plan::workload& workload) -> void;
    auto send_to(const instance_id& id, wire::envelope message) -> void;
    auto stamp(wire::envelope message) const -> wire::envelope;
    auto next_attempt() -> attempt_id;
    auto self_id() const -> const instance_id&
    {
        return m_config.self.id;
    }

    engine_config m_config;
    membership::member_table m_members;
    ownership::worker_keeper m_keeper;
    ownership::demand_board m_board;
    entry::request_queue m_desk;
    jobs::job_coordinator m_jobs;
    policy::grant_picker m_picker;
    policy::worker_health m_health;
    /// What each other owner says that workspaces hold there.
    std::map<instance_id, std::vector<policy::workspace_usage>> m_usage;
    plan::plan_ptr m_plan;
    time_point m_plan_confirmed;
    bool m_plan_known = false;
    bool m_list_known = false;
    /// When the platform made, at the earliest, the list that we go by.
    time_point m_list_as_of;
    /// When the table last named the instances.
    time_point m_table_read;
    bool m_isolated = false;
    bool m_drain_over = false;
    std::map<instance_id, owner_link> m_links;
    std::unordered_map<instance_id, std::vector<wire::release>> m_returns;
    std::vector<std::string> m_greeted;
    effects m_effects;
    bool m_demand_changed = false;
    bool m_capacity_changed = false;
    bool m_membership_changed = true;
    std::uint64_t m_attempts = 0;
    std::size_t m_relay_cursor = 0;
    /// Of m_attempts, those that a snapshot has told.
    std::uint64_t m_attempts_told = 0;
    time_point m_last_tick;
    time_point m_next_slow;
    time_point m_next_beat;
    time_point m_next_list;
    time_point m_next_plan;
    time_point m_next_plan_request;
    time_point m_next_checkpoint;
    time_point m_next_gauges;
    time_point m_next_list_request;
};

} // namespace pimentoshunt::control
