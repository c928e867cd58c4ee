/// @file
/// One instance of a cell: serves callers, follows the configuration, exchanges
/// messages with other instances, and owns the cell while it holds the
/// ownership lease.
#pragma once

#include <pimentoshunt/cell/beat_content.hpp>
#include <pimentoshunt/cell/configuration_feed.hpp>
#include <pimentoshunt/cell/followers.hpp>
#include <pimentoshunt/cell/job_request_handler.hpp>
#include <pimentoshunt/cell/loop_lag.hpp>
#include <pimentoshunt/cell/messages.hpp>
#include <pimentoshunt/cell/owner_role.hpp>
#include <pimentoshunt/cell/owner_view.hpp>
#include <pimentoshunt/cell/ownership.hpp>
#include <pimentoshunt/cell/peers.hpp>
#include <pimentoshunt/cell/policy/hand_over.hpp>
#include <pimentoshunt/cell/policy/succession.hpp>
#include <pimentoshunt/cell/ports.hpp>
#include <pimentoshunt/cell/store_health.hpp>
#include <pimentoshunt/logging.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>    // int64_t, uint64_t
#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <string>     // string
#include <utility>    // move
#include <vector>     // vector

namespace pimentoshunt::cell
{

/// @brief Identity and options of an instance.
struct instance_options
{
    instance_id name;
    data_centre_name data_centre;
    std::string peer_address;
    std::uint64_t incarnation = 0;
    ownership_options ownership;
    scheduler_options scheduler;
    /// Called with each configuration that comes into force.
    std::function<void(const configuration&)> on_configuration;
    /// Receives the counters of this instance's scheduler while it owns the
    /// cell.
    std::function<void(const scheduler_counts&)> counted;
    /// Receives the load of the owner, and the lag of its event loop, about once
    /// a second while this instance owns the cell.
    std::function<void(const owner_load&, milliseconds lag)> load_measured;
    /// Ages beyond which the configuration isn't used to answer callers.
    policy::configuration_bounds configuration_bounds;
    /// Called with the reason of each refusal by the configuration. May be
    /// empty.
    std::function<void(const std::string&)> on_refusal;
};

/// @brief Connects the parts of one instance. Used by the control thread only.
template<class Platform>
class instance
{
  public:
    instance(Platform& platform, boost::asio::io_context& control,
             instance_options options)
        : m_platform(platform), m_control(control), m_options(options),
          m_ownership(options.name.str(), options.peer_address,
                      options.incarnation, options.ownership,
                      boot_clock::now()),
          m_peers(
              control, options.name, options.peer_address,
              [this](const std::string& from, const wire::cell_message& message)
              {
                  on_message(from, message);
              }),
          m_feed(platform, control, m_health, options.configuration_bounds,
                 [this](const configuration& in_force)
                 {
                     on_configuration(in_force);
                 }),
          m_request_handler(platform, control, m_health, request_context(),
                            options.incarnation),
          m_tick_timer(control),
          m_calendar_offset(std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch() -
              boot_clock::now().time_since_epoch()))
    {
    }

    instance(const instance&) = delete;
    auto operator=(const instance&) -> instance& = delete;

    /// @brief Starts to follow the configuration and to compete for the
    /// ownership.
    auto start() -> void
    {
        m_feed.start();
        tick();
    }

    /// @brief Handles a request of a caller; see job_request_handler.
    auto serve(const net::server_request& request,
               net::http_server::reply answer) -> void
    {
        m_request_handler.serve(request, m_feed.in_force(), std::move(answer));
    }

    /// @brief Whether the load balancer should send callers to this instance.
    [[nodiscard]] auto ready() const -> bool
    {
        const auto now = boot_clock::now();
        const auto* const in_force = m_feed.in_force();
        return in_force != nullptr && !m_releasing &&
               !m_health.is_unavailable(now) &&
               (!in_force->requires_keys ||
                policy::is_fresh_for_keys(m_feed.freshness(),
                                          m_options.configuration_bounds, now));
    }

    /// @brief Age of what is known of the configuration; empty before the first.
    [[nodiscard]] auto configuration_age() const -> std::optional<milliseconds>
    {
        return m_feed.freshness().age(boot_clock::now());
    }

    /// @brief Starts to release the cell; requests are still answered.
    auto release_ownership() -> void
    {
        m_releasing = true;
        m_release_deadline = boot_clock::now() + max_release_delay;
        m_next_renewal = boot_clock::now();
    }

    /// @brief Stops at once, without a release; see @ref release_ownership.
    auto stop() -> void
    {
        m_stopped = true;
        m_tick_timer.cancel();
        if (m_role)
        {
            m_role->end();
        }
        m_feed.stop();
    }

    /// @brief The owner role, or nullptr if none is active.
    [[nodiscard]] auto role() const -> const owner_role<Platform>*
    {
        return m_role.get();
    }

  private:
    static constexpr milliseconds tick_interval{50};
    static constexpr milliseconds beat_interval{150};
    static constexpr milliseconds hello_interval{300};
    /// An instance whose last hello is older is not sent any requests.
    static constexpr milliseconds max_peer_silence{1'300};
    /// With a longer event-loop lag the owner does not know which jobs have
    /// been accepted.
    static constexpr milliseconds max_pending_lag{500};
    /// For how long a stopping owner delays its release while the store fails
    /// some calls, since a new owner has to read every part of the store.
    /// Leaves time to release before the process is killed.
    static constexpr milliseconds max_release_delay{1'900};
    static constexpr milliseconds commit_timeout{600};
    static constexpr milliseconds read_timeout{600};

    /// Whether this instance owns the cell and has loaded its state.
    [[nodiscard]] auto is_role_loaded() const -> bool
    {
        return m_role != nullptr && m_role->loaded();
    }

    /// Whether this owner can count the pending jobs: accepted jobs are missing
    /// while it still loads the cell or lags behind.
    [[nodiscard]] auto is_pending_known() const -> bool
    {
        return is_role_loaded() && m_lag.mean() <= max_pending_lag;
    }

    auto request_context() -> job_request_context
    {
        return {[this](const job_id& job)
                {
                    return m_role->state_of(job);
                },
                [this]
                {
                    return is_role_loaded();
                },
                [this](std::uint64_t number, const job_id& job)
                {
                    return ask_owner(number, job);
                },
                [this](const queue_name& queue)
                {
                    return pending_of(queue);
                },
                [this](const job_spec& job)
                {
                    return m_view.refusal_of(job, boot_clock::now());
                },
                [this](const stored_row& row)
                {
                    announce(row);
                },
                [this](const wire::cell_deposit& what)
                {
                    return send_deposit(what);
                },
                {[this]
                 {
                     return m_feed.in_force();
                 },
                 [this]() -> const policy::configuration_freshness&
                 {
                     return m_feed.freshness();
                 },
                 [this](std::function<void()> done)
                 {
                     return m_feed.refresh(std::move(done));
                 },
                 m_options.configuration_bounds, m_options.on_refusal}};
    }

    /// Address of an instance that can store a row when this one can't reach
    /// the store; empty if none is known.
    [[nodiscard]] auto forwarding_address() const -> std::string
    {
        if (!m_ownership.owner())
        {
            return m_ownership.owner_address();
        }
        for (const auto& [name, peer] :
             m_peers.heard_within(boot_clock::now(), max_peer_silence))
        {
            if (peer.store_answered_at != time_point{})
            {
                return peer.address;
            }
        }
        return "";
    }

    auto send_deposit(const wire::cell_deposit& what) -> bool
    {
        const auto address = forwarding_address();
        if (address.empty())
        {
            return false;
        }
        wire::cell_message message;
        *message.mutable_deposit() = what;
        message.mutable_deposit()->set_reply_to(m_options.peer_address);
        m_peers.send(address, std::move(message));
        return true;
    }

    /// Sends a stored inbox row to the owner, which otherwise would get it
    /// later from the feed.
    auto announce(const stored_row& row) -> void
    {
        if (m_role != nullptr)
        {
            m_role->on_inbox_row(row);
            return;
        }
        if (m_ownership.owner_address().empty())
        {
            return;
        }
        m_peers.send(m_ownership.owner_address(), arrival_message(row));
    }

    auto ask_owner(std::uint64_t number, const job_id& job) -> bool
    {
        if (m_ownership.owner() || m_ownership.owner_address().empty())
        {
            return false;
        }
        wire::cell_message message;
        message.mutable_lookup()->set_number(number);
        message.mutable_lookup()->set_job(job.str());
        m_peers.send(m_ownership.owner_address(), std::move(message));
        return true;
    }

    auto pending_of(const queue_name& queue) -> std::optional<std::uint64_t>
    {
        const auto now = boot_clock::now();
        if (is_pending_known())
        {
            m_view.update(m_role->jobs(), now);
        }
        return m_view.pending_of(queue, now);
    }

    auto on_configuration(const configuration& in_force) -> void
    {
        m_options.on_configuration(in_force);
        if (m_role)
        {
            m_role->configure(in_force);
        }
        else if (m_ownership.owner())
        {
            begin_role();
        }
    }

    auto tick() -> void
    {
        const auto due = boot_clock::now() + tick_interval;
        m_tick_timer.expires_after(tick_interval);
        m_tick_timer.async_wait(
            [this, due](auto fault)
            {
                if (!fault && !m_stopped)
                {
                    const auto now = boot_clock::now();
                    m_lag.on_timer(due, now);
                    on_tick(now);
                    tick();
                }
            });
    }

    auto on_tick(time_point now) -> void
    {
        if (m_ownership.owner())
        {
            beat(now);
            if (!m_releasing && hand_over_if_better(now))
            {
                return;
            }
            if (now >= m_next_renewal && !m_lease_call_pending)
            {
                // A new owner has to read all parts of the store.
                const bool may_release =
                    m_health.is_steady(now) || now >= m_release_deadline;
                renew(m_releasing && may_release);
            }
            return;
        }
        send_hello(now);
        if (m_releasing || m_lease_call_pending)
        {
            return;
        }
        switch (m_ownership.next_step(now))
        {
        case ownership_step::read_row:
            read_row();
            break;
        case ownership_step::take_over:
            take_over();
            break;
        case ownership_step::nothing:
            break;
        }
    }

    /// Releases the cell if another instance is better suited. The release is
    /// sent directly to the followers because the store itself may be failing.
    /// @return whether the cell was released
    auto hand_over_if_better(time_point now) -> bool
    {
        const auto& next = successors(now);
        const auto best =
            next.empty() ? std::nullopt : std::optional(next.front());
        const auto own = own_health(now);
        const auto why = m_hand_over.decide(own, best, now);
        if (!why)
        {
            return false;
        }
        logging::info("handing the cell over to another instance")
            .with("why", policy::to_string(*why))
            .with("to", best->name)
            .with("lag", own.lag)
            .with("held", own.held)
            .with("brief_owners_before", own.brief_owners);
        end_role();
        announce_release(now);
        return true;
    }

    [[nodiscard]] auto own_health(time_point now) const -> policy::owner_health
    {
        policy::owner_health out;
        out.millicpus = m_options.ownership.millicpus;
        out.lag = m_lag.mean();
        out.held = m_ownership.held(now);
        out.brief_owners = m_ownership.brief_owners();
        out.loaded = is_role_loaded();
        for (const auto& [name, peer] : m_peers.known())
        {
            if (now - peer.heard_at > max_peer_silence)
            {
                continue;
            }
            const auto answered_at = peer.store_answered_at;
            ++out.heard;
            out.heard_with_store += answered_at != time_point{} ? 1 : 0;
            out.store_fails_here = out.store_fails_here ||
                                   m_health.fails_only_here(answered_at, now);
        }
        return out;
    }

    /// Instances that should take over from this owner, the best first; as old
    /// as a heartbeat at most.
    [[nodiscard]] auto successors(time_point now)
        -> const std::vector<policy::candidate>&
    {
        if (m_successors_epoch != m_ownership.epoch() ||
            now - m_successors_at >= beat_interval)
        {
            m_successors_epoch = m_ownership.epoch();
            m_successors_at = now;
            m_successors = compute_successors(now);
        }
        return m_successors;
    }

    [[nodiscard]] auto compute_successors(time_point now) const
        -> std::vector<policy::candidate>
    {
        std::vector<policy::candidate> out;
        for (const auto& [name, peer] : m_peers.known())
        {
            policy::candidate one;
            one.name = name;
            one.data_centre = peer.data_centre;
            one.millicpus = peer.millicpus;
            one.lag = peer.lag;
            one.heard_age =
                std::chrono::duration_cast<milliseconds>(now - peer.heard_at);
            if (peer.store_answered_at != time_point{})
            {
                one.store_age = std::chrono::duration_cast<milliseconds>(
                    now - peer.store_answered_at);
            }
            one.serving = peer.serving;
            out.push_back(std::move(one));
        }
        return policy::succession(std::move(out), m_ownership.epoch(),
                                  m_options.ownership.succession);
    }

    [[nodiscard]] auto successor_names(time_point now)
        -> std::vector<std::string>
    {
        std::vector<std::string> out;
        for (const auto& one : successors(now))
        {
            out.push_back(one.name);
        }
        return out;
    }

    auto beat(time_point now) -> void
    {
        if (now < m_next_beat)
        {
            return;
        }
        m_next_beat = now + beat_interval;
        send_beats(false);
    }

    /// Sends a heartbeat, which carries the owner's state, to all known
    /// instances.
    auto send_beats(bool released) -> void
    {
        m_peers.send_to_all(beat_message(released));
    }

    [[nodiscard]] auto beat_message(bool released) -> wire::cell_message
    {
        wire::cell_message message;
        auto& out = *message.mutable_beat();
        out.set_epoch(m_ownership.epoch());
        out.set_instance(m_options.name.str());
        out.set_peer_address(m_options.peer_address);
        out.set_released(released);
        out.set_row_version(m_ownership.version());
        const auto now = boot_clock::now();
        out.set_confirmed_age_ms(m_ownership.confirmed_age(now).count());
        out.set_sent_ms(
            std::chrono::duration_cast<milliseconds>(now.time_since_epoch())
                .count());
        for (auto& name : successor_names(now))
        {
            out.add_successors(std::move(name));
        }
        out.set_counted(is_pending_known());
        if (is_pending_known())
        {
            m_view.update(m_role->jobs(), now);
            m_view.write(out, now);
            write_learned(m_role->jobs(), out);
        }
        return message;
    }

    auto send_hello(time_point now) -> void
    {
        // A new owner knows no other instance yet, and needs them to spread its
        // approval requests.
        const bool new_owner = m_ownership.epoch() != m_hello_epoch;
        const auto& address = m_ownership.owner_address();
        if ((now < m_next_hello && !new_owner) || address.empty() ||
            address == m_options.peer_address)
        {
            return;
        }
        m_next_hello = now + hello_interval;
        m_hello_epoch = m_ownership.epoch();
        wire::cell_message message;
        auto& hello = *message.mutable_hello();
        hello.set_peer_address(m_options.peer_address);
        hello.set_epoch(m_ownership.epoch());
        hello.set_serving(!m_releasing);
        hello.set_store_answer_age_ms(
            m_health.is_failing() ? -1
                                  : std::chrono::duration_cast<milliseconds>(
                                        now - m_health.answered_at())
                                        .count());
        hello.set_data_centre(m_options.data_centre.str());
        hello.set_millicpus(m_options.ownership.millicpus);
        hello.set_lag_ms(m_lag.mean().count());
        hello.set_beat_sent_ms(
            m_heard_beat_epoch == m_ownership.epoch() ? m_heard_beat_ms : 0);
        m_peers.send(m_ownership.owner_address(), std::move(message));
    }

    auto read_row() -> void
    {
        m_lease_call_pending = true;
        const auto at = lease_row();
        m_platform.read({at.table, at.part, at.key, at.key + '\x01'},
                        read_timeout,
                        [this](const read_result& found)
                        {
                            m_lease_call_pending = false;
                            m_health.record(found.answered, boot_clock::now());
                            if (found.answered)
                            {
                                m_ownership.on_row_read(lease_in(found.rows),
                                                        boot_clock::now());
                            }
                        });
    }

    static auto lease_in(const std::vector<stored_row>& rows) -> lease_reading
    {
        for (const auto& row : rows)
        {
            if (row.at.key == lease_row().key && !row.removed &&
                row.version > 0)
            {
                return {row.version, read_lease(row.value)};
            }
        }
        return {};
    }

    auto take_over() -> void
    {
        const auto content = m_ownership.claim();
        m_options.scheduler.earlier_owner_ended =
            m_ownership.earlier_owner_ended();
        m_options.scheduler.silence_kept_since = content.silence_kept_since;
        row_transaction transaction;
        transaction.conditions.push_back({lease_row(), m_ownership.version()});
        transaction.writes.push_back({lease_row(), to_bytes(content)});
        transaction.writes.push_back({epoch_row(), to_bytes(content)});
        m_lease_call_pending = true;
        const auto sent_at = boot_clock::now();
        logging::info("taking over the cell").with("epoch", content.epoch);
        m_platform.commit(transaction, commit_timeout,
                          [this, content, sent_at](const commit_result& result)
                          {
                              m_lease_call_pending = false;
                              on_takeover_answer(content, sent_at, result);
                          });
    }

    auto on_takeover_answer(const lease_content& content, time_point sent_at,
                            const commit_result& result) -> void
    {
        const auto now = boot_clock::now();
        m_health.record(result.state == commit_state::committed ||
                            result.state == commit_state::conflict,
                        now);
        if (result.state == commit_state::conflict)
        {
            m_ownership.on_row_read(lease_in(result.current), now);
        }
        if (result.state != commit_state::committed || m_stopped)
        {
            return;
        }
        m_ownership.confirmed(result.version, content, sent_at);
        m_hand_over =
            policy::hand_over_policy({}, m_options.ownership.succession);
        m_epoch_version = result.version;
        m_next_renewal = now + m_options.ownership.renew_interval;
        logging::info("owns the cell").with("epoch", content.epoch);
        if (m_feed.in_force() != nullptr)
        {
            begin_role();
        }
    }

    /// Starts one role per epoch at most: a second role of the same epoch would
    /// take the jobs that the first one has started for new ones.
    auto begin_role() -> void
    {
        if (m_role_epoch == m_ownership.epoch())
        {
            return;
        }
        m_role_epoch = m_ownership.epoch();
        owner_role_context context;
        context.self = m_options.name.str();
        context.may_act = [this]
        {
            const auto now = boot_clock::now();
            return m_ownership.may_act(m_followers.all_follow(now), now);
        };
        context.confirmed_at = [this]
        {
            return m_ownership.confirmed_at();
        };
        context.overtaken = [this]
        {
            step_down("another instance has taken over the cell");
        };
        context.calendar = [this]
        {
            return calendar();
        };
        context.counted = m_options.counted;
        context.load_measured = [this](const owner_load& load)
        {
            log_load(load, m_ownership.epoch(), m_lag.mean());
            m_options.load_measured(load, m_lag.mean());
        };
        m_role = std::make_shared<owner_role<Platform>>(
            m_platform, m_control, m_peers, m_health, std::move(context),
            m_ownership.epoch(), m_epoch_version, m_options.scheduler);
        m_role->begin(*m_feed.in_force());
    }

    /// Wall-clock time, derived from the steady clock with an offset taken at
    /// the start: later jumps of the machine's clock have no effect.
    auto calendar() const -> calendar_time
    {
        return calendar_time(std::chrono::duration_cast<milliseconds>(
                                 boot_clock::now().time_since_epoch()) +
                             m_calendar_offset);
    }

    auto renew(bool released) -> void
    {
        const auto content = m_ownership.renewal(released);
        row_transaction transaction;
        transaction.conditions.push_back({lease_row(), m_ownership.version()});
        transaction.writes.push_back({lease_row(), to_bytes(content)});
        m_lease_call_pending = true;
        const auto sent_at = boot_clock::now();
        if (released)
        {
            // No order may be sent once other instances may have taken over.
            end_role();
        }
        m_platform.commit(transaction, commit_timeout,
                          [this, content, sent_at](const commit_result& result)
                          {
                              m_lease_call_pending = false;
                              on_renewal_answer(content, sent_at, result);
                          });
    }

    auto on_renewal_answer(const lease_content& content, time_point sent_at,
                           const commit_result& result) -> void
    {
        const auto now = boot_clock::now();
        m_next_renewal = now + m_options.ownership.renew_interval;
        if (!m_ownership.owner())
        {
            return;
        }
        if (result.state == commit_state::committed)
        {
            m_health.record(true, now);
            m_ownership.confirmed(result.version, content, sent_at);
            m_followers.confirmed(now);
            if (content.released)
            {
                announce_release(now);
            }
            return;
        }
        if (result.state == commit_state::conflict)
        {
            const auto row = lease_in(result.current);
            const bool late_renewal = m_ownership.is_mine(row.content) &&
                                      row.content.epoch == m_ownership.epoch();
            if (!late_renewal)
            {
                step_down("the lease row names another owner");
                m_ownership.on_row_read(row, now);
                return;
            }
            // An earlier renewal succeeded although its answer was lost.
            // Another instance may be about to take over the row: only a
            // renewal sent from now on confirms the ownership.
            m_ownership.confirmed(row.version, row.content,
                                  m_ownership.confirmed_at());
            m_next_renewal = now;
            return;
        }
        m_health.record(false, now);
        if (content.released)
        {
            // This owner sends no orders any more: the followers need not wait
            // until the release is stored.
            announce_release(now);
            return;
        }
        constexpr milliseconds retry_after{250};
        m_next_renewal = now + retry_after;
    }

    auto announce_release(time_point now) -> void
    {
        logging::info("released the cell").with("epoch", m_ownership.epoch());
        send_beats(true);
        m_ownership.release_to(successor_names(now), now);
    }

    auto step_down(const std::string& why) -> void
    {
        if (!m_ownership.owner())
        {
            return;
        }
        logging::warn("lost the ownership of the cell")
            .with("why", why)
            .with("epoch", m_ownership.epoch());
        m_ownership.lost(boot_clock::now());
        end_role();
    }

    auto end_role() -> void
    {
        if (m_role)
        {
            m_role->end();
            m_role.reset();
        }
    }

    auto on_message(const std::string& from, const wire::cell_message& message)
        -> void
    {
        if (m_stopped)
        {
            return;
        }
        switch (message.body_case())
        {
        case wire::cell_message::kHello:
            on_hello(from, message.hello());
            break;
        case wire::cell_message::kBeat:
            on_beat(message.beat());
            break;
        case wire::cell_message::kLookup:
            on_lookup(from, message.lookup());
            break;
        case wire::cell_message::kLookupAnswer:
            on_lookup_answer(message.lookup_answer());
            break;
        case wire::cell_message::kQuestion:
            on_question(message.question());
            break;
        case wire::cell_message::kQuestionAnswer:
            on_question_answer(message.question_answer());
            break;
        case wire::cell_message::kArrival:
            on_arrival(message.arrival());
            break;
        case wire::cell_message::kDeposit:
            on_deposit(message.deposit());
            break;
        case wire::cell_message::kDepositAnswer:
            m_request_handler.on_forward_answer(
                message.deposit_answer().number(),
                inbox_write_result_of(message.deposit_answer().result()));
            break;
        case wire::cell_message::BODY_NOT_SET:
            break;
        }
    }

    auto on_hello(const std::string& from, const wire::cell_hello& hello)
        -> void
    {
        const auto now = boot_clock::now();
        const bool fresh = !m_peers.known().contains(from);
        m_peers.heard(from, hello, now);
        record_follower(from, hello, now);
        if (!m_ownership.owner())
        {
            return;
        }
        if (hello.epoch() > m_ownership.epoch())
        {
            step_down("an instance follows a later owner");
            return;
        }
        if (fresh)
        {
            m_peers.send(hello.peer_address(), beat_message(false));
        }
    }

    auto record_follower(const std::string& name, const wire::cell_hello& hello,
                         time_point now) -> void
    {
        if (!hello.serving())
        {
            m_followers.remove(name);
            return;
        }
        const bool follows = m_ownership.owner() &&
                             hello.epoch() == m_ownership.epoch() &&
                             hello.beat_sent_ms() > 0;
        m_followers.heard(name, follows,
                          time_point(milliseconds(hello.beat_sent_ms())), now);
    }

    auto on_beat(const wire::cell_beat& beat) -> void
    {
        const auto now = boot_clock::now();
        if (m_ownership.owner())
        {
            if (beat.epoch() > m_ownership.epoch())
            {
                step_down("received a heartbeat of a later owner");
            }
            return;
        }
        if (beat.epoch() < m_ownership.epoch())
        {
            return;
        }
        m_heard_beat_epoch = beat.epoch();
        m_heard_beat_ms = beat.sent_ms();
        read_speeds(beat, m_options.scheduler.speeds);
        m_ownership.on_owner_heartbeat(
            {beat.epoch(),
             beat.instance(),
             beat.peer_address(),
             beat.released(),
             milliseconds(beat.confirmed_age_ms()),
             beat.row_version(),
             {beat.successors().begin(), beat.successors().end()}},
            now);
        if (beat.released() || !beat.counted())
        {
            return;
        }
        m_view.read(beat, now);
    }

    auto on_lookup(const std::string& from, const wire::cell_lookup& lookup)
        -> void
    {
        const auto peer = m_peers.known().find(from);
        if (peer == m_peers.known().end())
        {
            return;
        }
        wire::cell_message message;
        auto& out = *message.mutable_lookup_answer();
        out.set_number(lookup.number());
        if (is_role_loaded())
        {
            const auto state = m_role->state_of(job_id(lookup.job()));
            out.set_known(state.has_value());
            out.set_state(
                static_cast<std::uint32_t>(state.value_or(job_state::queued)));
        }
        m_peers.send(peer->second.address, std::move(message));
    }

    auto on_lookup_answer(const wire::cell_lookup_answer& answer) -> void
    {
        constexpr auto last = static_cast<std::uint32_t>(job_state::cancelled);
        std::optional<job_state> state;
        if (answer.known() && answer.state() <= last)
        {
            state = static_cast<job_state>(answer.state());
        }
        m_request_handler.on_owner_answer(answer.number(), state);
    }

    auto on_arrival(const wire::cell_arrival& arrival) -> void
    {
        if (m_role != nullptr)
        {
            m_role->on_inbox_row(read_arrival(arrival));
        }
    }

    auto on_deposit(const wire::cell_deposit& what) -> void
    {
        const auto done = [this, number = what.number(),
                           address = what.reply_to()](inbox_write_result result)
        {
            wire::cell_message message;
            message.mutable_deposit_answer()->set_number(number);
            message.mutable_deposit_answer()->set_result(to_wire(result));
            m_peers.send(address, std::move(message));
        };
        if (!what.cancelled().empty())
        {
            m_request_handler.store_forwarded_cancellation(
                job_id(what.cancelled()), done);
            return;
        }
        if (const auto job = read_job(what.job()))
        {
            m_request_handler.store_forwarded_job(*job, done);
            return;
        }
        logging::error("forwarded job is malformed; refusing it");
        done(inbox_write_result::refused);
    }

    auto on_question(const wire::cell_question& question) -> void
    {
        m_platform.ask(
            read_question(question),
            [this, number = question.number()](const approval_response& answer)
            {
                send_question_answer(number, answer);
            });
    }

    auto send_question_answer(std::uint64_t number,
                              const approval_response& answer) -> void
    {
        if (!m_ownership.owner_address().empty())
        {
            m_peers.send(m_ownership.owner_address(),
                         answer_message(number, answer));
        }
    }

    auto on_question_answer(const wire::cell_question_answer& answer) -> void
    {
        if (m_role)
        {
            m_role->on_request_answered(answer.number(), read_answer(answer));
        }
    }

    Platform& m_platform;
    boost::asio::io_context& m_control;
    instance_options m_options;
    store_health m_health;
    ownership m_ownership;
    peers m_peers;
    followers m_followers;
    loop_lag m_lag;
    policy::hand_over_policy m_hand_over;
    configuration_feed<Platform> m_feed;
    job_request_handler<Platform> m_request_handler;
    boost::asio::steady_timer m_tick_timer;
    milliseconds m_calendar_offset;
    std::shared_ptr<owner_role<Platform>> m_role;
    std::uint64_t m_epoch_version = 0;
    /// Epoch of the last role that was started.
    std::uint64_t m_role_epoch = 0;
    owner_view m_view;
    std::vector<policy::candidate> m_successors;
    std::uint64_t m_successors_epoch = 0;
    time_point m_successors_at;
    time_point m_next_renewal;
    time_point m_next_beat;
    time_point m_next_hello;
    /// Epoch of the owner to which the last hello was sent.
    std::uint64_t m_hello_epoch = 0;
    /// Epoch of the last heartbeat received, and when it was sent, by the
    /// sender's clock.
    std::uint64_t m_heard_beat_epoch = 0;
    std::int64_t m_heard_beat_ms = 0;
    bool m_lease_call_pending = false;
    bool m_releasing = false;
    time_point m_release_deadline;
    bool m_stopped = false;
};

} // namespace pimentoshunt::cell
