#include "platform.hpp"

#include "support/port_allocator.hpp"

#include <pimentoshunt/cell/tables.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <algorithm> // find, max
#include <future>    // promise
#include <stdexcept> // runtime_error
#include <utility>   // move

namespace pimentoshunt::soak
{
namespace
{

namespace asio = boost::asio;

constexpr milliseconds tick_interval{4};
constexpr milliseconds registration_interval{1'500};
constexpr milliseconds transaction_duration{3};
constexpr milliseconds read_duration{1};
constexpr milliseconds min_added_delay{200};
constexpr milliseconds max_added_delay{3'000};
/// Longest time by which a transaction without an answer takes effect late.
constexpr milliseconds max_commit_delay{8'000};
constexpr std::size_t approval_percent = 70;
constexpr double slow_clock_rate = 0.982;
constexpr int unavailable = 503;
constexpr int forbidden = 403;
constexpr int bad_request = 400;
constexpr int gone = 410;
constexpr int condition_failed = 412;
constexpr resources worker_capacity{0, 8'000, 16'000, 0};
const std::string service = "press";

auto unix_ms() -> std::int64_t
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(since).count();
}

auto loopback_address(int port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

auto soak_queues() -> const std::vector<queue_facts>&
{
    static const std::vector<queue_facts> queues{
        {"brief", "/brief/", service, 12, false},
        {"vetted", "/vetted/", service, 12, true}};
    return queues;
}

platform::platform(std::size_t workers, std::uint64_t seed) : m_random(seed)
{
    std::tie(m_store_server, m_store_port) = listen(
        [this](const net::server_request& request, reply answer)
        {
            serve_store(request, std::move(answer));
        });
    std::tie(m_approval_server, m_approval_port) = listen(
        [this](const net::server_request& request, reply answer)
        {
            serve_approvals(request, std::move(answer));
        });
    m_workers.reserve(workers);
    for (std::size_t i = 0; i < workers; ++i)
    {
        add_worker(i);
    }
    m_store.apply(
        {{}, {{configuration_key(), write_configuration(soak_queues())}}, {}});
    refresh_registrations();
    tick();
    m_thread = std::thread(
        [this]
        {
            const auto kept = asio::make_work_guard(m_context);
            m_context.run();
        });
}

platform::~platform()
{
    m_context.stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

auto platform::listen(net::http_server::handler serve)
    -> std::pair<std::unique_ptr<net::http_server>, int>
{
    net::server_limits limits;
    limits.body_bytes = 2u << 20;
    limits.idle_timeout = std::chrono::minutes(2);
    limits.connections = 4'000;
    auto server = std::make_unique<net::http_server>(
        m_context, m_context.get_executor(), limits, std::move(serve));
    const int port = testing::free_port();
    if (!server->listen(loopback_address(port)))
    {
        throw std::runtime_error("cannot listen on a loopback port for the "
                                 "platform: already in use");
    }
    return {std::move(server), port};
}

auto platform::add_worker(std::size_t number) -> void
{
    auto& at = m_workers.emplace_back();
    int port = 0;
    std::tie(at.server, port) = listen(
        [this, &at](const net::server_request& request, reply answer)
        {
            serve_worker(at, request, std::move(answer));
        });
    worker_facts facts;
    facts.id = "i-" + std::to_string(100 + number);
    facts.service = service;
    facts.address = loopback_address(port);
    facts.rack = "r-" + std::to_string(number % 2);
    facts.capacity = worker_capacity;
    facts.born_ms = unix_ms();
    at.model = std::make_unique<worker>(std::move(facts),
                                        number % 2 == 0 ? slow_clock_rate : 1.0,
                                        boot_clock::now(), m_runs);
    at.model->require_tickets("vetted");
}

auto platform::run_on_platform_thread(std::function<void()> what) -> void
{
    std::promise<void> done;
    asio::post(m_context,
               [&]
               {
                   what();
                   done.set_value();
               });
    done.get_future().wait();
}

auto platform::set(const store_faults& faults) -> void
{
    run_on_platform_thread(
        [&]
        {
            m_store_faults = faults;
        });
}

auto platform::set(std::size_t number, const worker_faults& faults) -> void
{
    run_on_platform_thread(
        [&]
        {
            m_workers.at(number).faults = faults;
        });
}

auto platform::write_odd_entry(std::size_t number, std::size_t kind) -> void
{
    run_on_platform_thread(
        [&]
        {
            const auto& facts = m_workers.at(number).model->facts();
            const auto& other =
                m_workers.at((number + 1) % m_workers.size()).model->facts();
            m_store.apply({{},
                           {{worker_key(facts.id),
                             write_odd_worker(facts, kind, other.address)}},
                           {}});
        });
}

auto platform::configure(const std::string& value) -> void
{
    run_on_platform_thread(
        [&]
        {
            m_store.apply({{}, {{configuration_key(), value}}, {}});
        });
}

auto platform::trim_history() -> void
{
    run_on_platform_thread(
        [&]
        {
            m_store.trim_history(0);
        });
}

auto platform::lease() -> cell::lease_content
{
    cell::lease_content out;
    run_on_platform_thread(
        [&]
        {
            if (const auto row = m_store.find(cell::lease_row()))
            {
                out = cell::read_lease(row->value);
            }
        });
    return out;
}

auto platform::finish(soak_record& out) -> void
{
    m_context.stop();
    m_thread.join();
    out.runs = std::move(m_runs);
    out.takeovers = std::move(m_takeovers);
}

auto platform::after(milliseconds delay, std::function<void()> what) -> void
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait(
        [timer, what = std::move(what)](boost::system::error_code fault)
        {
            if (!fault)
            {
                what();
            }
        });
}

auto platform::tick() -> void
{
    for (auto& at : m_workers)
    {
        at.model->tick(boot_clock::now());
    }
    answer_follows();
    after(tick_interval,
          [this]
          {
              tick();
          });
}

auto platform::refresh_registrations() -> void
{
    cell::row_transaction transaction;
    ++m_registration_sequence;
    for (const auto& at : m_workers)
    {
        const auto& facts = at.model->facts();
        transaction.writes.push_back(
            {worker_key(facts.id),
             write_worker(facts, m_registration_sequence,
                          at.model->clock(boot_clock::now()))});
    }
    m_store.apply(transaction);
    after(registration_interval,
          [this]
          {
              refresh_registrations();
          });
}

auto platform::random_duration(milliseconds minimum, milliseconds maximum)
    -> milliseconds
{
    return milliseconds(std::uniform_int_distribution<std::int64_t>(
        minimum.count(), maximum.count())(m_random));
}

auto platform::random_bool(double probability) -> bool
{
    return probability > 0 &&
           std::bernoulli_distribution(probability)(m_random);
}

auto platform::serve_store(const net::server_request& request, reply answer)
    -> void
{
    auto call = read_store_call(request);
    if (!call)
    {
        answer({bad_request, "{}"});
    }
    else if (auto* const transaction =
                 std::get_if<cell::row_transaction>(&*call))
    {
        transact(std::move(*transaction), std::move(answer));
    }
    else if (const auto* const rows = std::get_if<read_call>(&*call))
    {
        read(*rows, answer);
    }
    else
    {
        const auto& follow = std::get<follow_call>(*call);
        m_follows.push_back(
            {follow, std::move(answer), boot_clock::now() + follow.wait});
        answer_follows();
    }
}

auto platform::transact(cell::row_transaction transaction, reply answer) -> void
{
    const auto part =
        transaction.writes.empty()
            ? (transaction.removals.empty() ? std::string()
                                            : transaction.removals.front().part)
            : transaction.writes.front().at.part;
    const auto& down = m_store_faults.unavailable_part;
    if (!down.empty() && cell::parts_of(transaction).contains(down))
    {
        answer({unavailable, "{}"});
        return;
    }
    const auto now = boot_clock::now();
    auto& free_at = m_part_free_at[part];
    free_at = std::max(free_at, now) + transaction_duration;
    auto delay = std::chrono::duration_cast<milliseconds>(free_at - now) +
                 m_store_faults.added_latency / 2;
    const bool delayed = random_bool(m_store_faults.delayed_commits);
    const bool lost = delayed || random_bool(m_store_faults.lost_answers);
    delay += delayed ? random_duration(min_added_delay, max_commit_delay)
                     : milliseconds(0);
    after(delay,
          [this, lost, transaction = std::move(transaction),
           answer = std::move(answer)]
          {
              auto out = commit(transaction);
              if (lost)
              {
                  m_unanswered.push_back(answer);
                  return;
              }
              after(m_store_faults.added_latency / 2,
                    [answer, out = std::move(out)]
                    {
                        answer(out);
                    });
          });
}

auto platform::commit(const cell::row_transaction& transaction)
    -> net::server_response
{
    for (const auto& write : transaction.writes)
    {
        if (is_protected_table(write.at.table))
        {
            return {forbidden, "{}"};
        }
    }
    const auto outcome = m_store.apply(transaction);
    if (outcome.committed)
    {
        record_takeover(transaction);
        answer_follows();
    }
    return write_rows(outcome.committed ? 200 : condition_failed,
                      outcome.current, m_store.version(), false);
}

auto platform::record_takeover(const cell::row_transaction& transaction) -> void
{
    const auto lease_row = cell::lease_row();
    for (const auto& write : transaction.writes)
    {
        const auto lease = write.at == lease_row ? cell::read_lease(write.value)
                                                 : cell::lease_content();
        if (m_takeovers.empty() ? lease.epoch > 0
                                : lease.epoch > m_takeovers.back().epoch)
        {
            m_takeovers.push_back(
                {boot_clock::now(), lease.epoch, lease.instance});
        }
    }
}

auto platform::read(const read_call& call, const reply& answer) -> void
{
    if (!call.range.part.empty() &&
        call.range.part == m_store_faults.unavailable_part)
    {
        answer({unavailable, "{}"});
        return;
    }
    after(read_duration + m_store_faults.added_latency / 2,
          [this, call, answer]
          {
              const auto page = m_store.read(call.range, call.limit);
              auto out =
                  write_rows(200, page.rows, m_store.version(), page.more);
              after(m_store_faults.added_latency / 2,
                    [answer, out = std::move(out)]
                    {
                        answer(out);
                    });
          });
}

auto platform::answer_follows() -> void
{
    std::vector<pending_follow> kept;
    const auto now = boot_clock::now();
    for (auto& item : m_follows)
    {
        const auto rows = m_store.changes(item.call.table, item.call.after);
        if (!rows)
        {
            item.answer({gone, "{}"});
        }
        else if (!rows->empty() || now >= item.until)
        {
            item.answer(write_rows(200, *rows, m_store.version(), false));
        }
        else
        {
            kept.push_back(std::move(item));
        }
    }
    m_follows = std::move(kept);
}

auto platform::serve_approvals(const net::server_request& request, reply answer)
    -> void
{
    const auto call = read_approval_call(request);
    if (!call)
    {
        answer({bad_request, "{}"});
        return;
    }
    const std::hash<std::string> hasher;
    // At least one worker is approved for every step; otherwise the job could
    // never end.
    const auto always_approved = hasher(call->step) % m_workers.size();
    std::vector<std::pair<std::string, std::string>> approved;
    for (std::size_t i = 0; i < m_workers.size(); ++i)
    {
        auto& model = *m_workers[i].model;
        const auto& id = model.facts().id;
        const bool asked = std::find(call->workers.begin(), call->workers.end(),
                                     id) != call->workers.end();
        if (asked && (i == always_approved ||
                      hasher(call->step + id) % 100 < approval_percent))
        {
            auto ticket = "t-" + std::to_string(++m_tickets);
            model.add_ticket(call->step, ticket, boot_clock::now());
            approved.emplace_back(id, std::move(ticket));
        }
    }
    constexpr milliseconds decision_time{30};
    after(decision_time,
          [answer = std::move(answer), out = write_approvals(approved)]
          {
              answer(out);
          });
}

auto platform::serve_worker(hosted_worker& at,
                            const net::server_request& request, reply answer)
    -> void
{
    const auto call = read_order(request);
    if (!call)
    {
        answer({bad_request, "{}"});
        return;
    }
    if (at.faults.drops_orders)
    {
        m_unanswered.push_back(std::move(answer));
        return;
    }
    if (at.faults.refuses_starts && call->kind == order_kind::start)
    {
        answer({unavailable, "{}"});
        return;
    }
    const auto ignore_answer = [](const worker_answer&) {};
    if (random_bool(at.faults.delayed))
    {
        m_unanswered.push_back(std::move(answer));
        after(random_duration(min_added_delay, max_added_delay),
              [&at, call = *call, ignore_answer]
              {
                  at.model->handle_order(call, true, boot_clock::now(),
                                         ignore_answer);
              });
        return;
    }
    if (at.faults.drops_answers)
    {
        m_unanswered.push_back(std::move(answer));
        at.model->handle_order(*call, false, boot_clock::now(), ignore_answer);
        return;
    }
    at.model->handle_order(
        *call, false, boot_clock::now(),
        [answer = std::move(answer)](const worker_answer& out)
        {
            answer(write_answer(out));
        });
}

} // namespace pimentoshunt::soak
