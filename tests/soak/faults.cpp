#include "faults.hpp"

#include "platform_wire.hpp"

#include <pimentoshunt/cell/tables.hpp>

#include <algorithm>  // any_of
#include <functional> // function
#include <random>     // mt19937_64
#include <string>     // string
#include <thread>     // sleep_for
#include <utility>    // exchange, move

namespace pimentoshunt::soak
{
namespace
{

constexpr milliseconds poll_interval{10};
constexpr milliseconds stop_grace{6'000};
constexpr milliseconds min_fault_duration{400};
constexpr milliseconds max_fault_duration{2'500};
constexpr milliseconds max_takeover_wait{3'000};

/// Begins and ends all faults on the calling thread.
class fault_driver
{
  public:
    fault_driver(platform& stand_in, instance_hosts& instances,
                 std::uint64_t seed)
        : m_platform(stand_in), m_instances(instances), m_random(seed),
          m_entry_random(seed)
    {
    }

    auto run(milliseconds duration) -> std::vector<fault_record>
    {
        const auto until = boot_clock::now() + duration;
        while (boot_clock::now() < until || !m_active.empty())
        {
            end_due(boot_clock::now() >= until);
            if (boot_clock::now() >= m_next_fault_at &&
                boot_clock::now() < until)
            {
                begin_next_fault();
            }
            if (boot_clock::now() >= m_next_odd_entry_at &&
                boot_clock::now() < until)
            {
                write_odd_entry();
            }
            std::this_thread::sleep_for(poll_interval);
        }
        return std::move(m_record);
    }

  private:
    /// Tries to end a fault and returns whether it has ended. Called again until
    /// it has: a process that was told to stop needs time.
    using end_function = std::function<bool()>;

    struct active_fault
    {
        std::size_t record_index = 0;
        time_point until;
        end_function end;
    };

    auto begin_next_fault() -> void
    {
        const auto now = boot_clock::now();
        if (m_series_left > 0)
        {
            // Consecutive owners are hit, each shortly after it took over.
            --m_series_left;
            m_next_fault_at =
                now + random_duration(milliseconds(700), milliseconds(2'000));
            begin_owner_fault();
            return;
        }
        m_next_fault_at =
            now + random_duration(milliseconds(100), milliseconds(800));
        switch (random_number(9))
        {
        case 0:
        case 1:
        case 2:
            m_series_left = 2 + random_number(3);
            begin_owner_fault();
            break;
        case 3:
            freeze(choose_target(false), milliseconds(300),
                   milliseconds(3'000));
            break;
        case 4:
            restart(choose_target(false));
            break;
        case 5:
            begin_link_fault(choose_target(false));
            break;
        case 6:
        case 7:
            begin_store_fault();
            break;
        default:
            begin_worker_fault();
        }
    }

    /// Some of the entries are read by an owner that has just taken over.
    auto write_odd_entry() -> void
    {
        const auto now = boot_clock::now();
        m_next_odd_entry_at =
            now + milliseconds(500 + m_entry_random() % 1'500);
        const auto number = m_entry_random() % m_platform.worker_count();
        m_platform.write_odd_entry(number, m_entry_random() % odd_entry_kinds);
        m_record.push_back(
            {"odd entry", "worker " + std::to_string(number), now, now});
    }

    auto begin_owner_fault() -> void
    {
        // A slow store prolongs the loading of the next owner while this one
        // may still be alive.
        if (random_number(1) == 0)
        {
            slow_down_store();
        }
        auto& owner = choose_target(true);
        switch (random_number(8))
        {
        case 0:
            restart(owner);
            break;
        case 1:
        case 2:
            // 900 to 1900 ms is about the time that the others need to take
            // over.
            random_number(1) == 0
                ? freeze(owner, milliseconds(900), milliseconds(1'900))
                : freeze(owner, milliseconds(300), milliseconds(3'000));
            break;
        case 3:
        case 4:
        case 5:
            overlap_owners(owner);
            break;
        default:
            begin_link_fault(owner);
        }
    }

    /// Resumes a frozen owner while its successor loads, or while the successor
    /// is frozen in turn.
    auto overlap_owners(instance_host& earlier) -> void
    {
        const auto epoch = m_platform.lease().epoch;
        if (!freeze(earlier, max_takeover_wait, max_takeover_wait))
        {
            return;
        }
        wait(max_takeover_wait,
             [&]
             {
                 return m_platform.lease().epoch > epoch;
             });
        // A new owner needs about 50 ms from its first read to its last order.
        auto& next = choose_target(true);
        wait(random_duration(milliseconds(0), milliseconds(70)));
        if (random_number(1) == 0)
        {
            freeze(next, milliseconds(500), milliseconds(1'500));
            wait(random_duration(milliseconds(20), milliseconds(300)));
        }
        end_now(earlier.name());
    }

    /// Waits until @p condition holds, for at most @p bound, and ends the faults
    /// that are due meanwhile.
    auto wait(milliseconds bound, const std::function<bool()>& condition = {})
        -> void
    {
        const auto until = boot_clock::now() + bound;
        while (boot_clock::now() < until && !(condition && condition()))
        {
            end_due(false);
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    auto end_now(const std::string& subject) -> void
    {
        for (auto& item : m_active)
        {
            if (m_record[item.record_index].subject == subject)
            {
                item.until = boot_clock::now();
            }
        }
        end_due(false);
    }

    auto begin(const std::string& subject, const std::string& name,
               milliseconds minimum, milliseconds maximum, end_function end)
        -> void
    {
        const auto now = boot_clock::now();
        m_active.push_back({m_record.size(),
                            now + random_duration(minimum, maximum),
                            std::move(end)});
        m_record.push_back({name, subject, now, now});
    }

    auto end_due(bool all) -> void
    {
        for (auto& item : std::exchange(m_active, {}))
        {
            const auto now = boot_clock::now();
            const bool over = (all || item.until <= now) && item.end();
            m_record[item.record_index].until = boot_clock::now();
            if (!over)
            {
                m_active.push_back(std::move(item));
            }
        }
    }

    auto has_fault(const std::string& subject) const -> bool
    {
        return std::any_of(m_active.begin(), m_active.end(),
                           [&](const active_fault& item)
                           {
                               return m_record[item.record_index].subject ==
                                      subject;
                           });
    }

    auto choose_target(bool owner) -> instance_host&
    {
        const auto name = owner ? m_platform.lease().instance : std::string();
        for (auto& instance : m_instances)
        {
            if (instance->name() == name)
            {
                return *instance;
            }
        }
        return *m_instances[random_number(m_instances.size() - 1)];
    }

    auto freeze(instance_host& host, milliseconds minimum, milliseconds maximum)
        -> bool
    {
        if (has_fault(host.name()))
        {
            return false;
        }
        host.process().pause();
        begin(host.name(), "frozen", minimum, maximum,
              [&host]
              {
                  host.process().resume();
                  return true;
              });
        return true;
    }

    auto restart(instance_host& host) -> void
    {
        if (has_fault(host.name()))
        {
            return;
        }
        const bool graceful = random_number(2) == 0;
        graceful ? host.process().terminate() : host.process().kill();
        const auto grace_over = boot_clock::now() + stop_grace;
        begin(host.name(), graceful ? "told to stop" : "killed",
              milliseconds(200), milliseconds(1'200),
              [&host, grace_over]
              {
                  if (boot_clock::now() >= grace_over)
                  {
                      host.process().kill();
                  }
                  const bool over = !host.process().is_running();
                  if (over)
                  {
                      host.start();
                  }
                  return over;
              });
    }

    auto begin_link_fault(instance_host& host) -> void
    {
        const auto subject = host.name() + " link";
        if (has_fault(subject))
        {
            return;
        }
        const auto kind = random_number(4);
        const std::vector<std::string> names{"cut", "silent", "requests lost",
                                             "answers lost", "slow"};
        testing::link_faults faults;
        faults.cut = kind == 0;
        faults.freeze = kind == 1;
        faults.drop_requests = kind == 2;
        faults.drop_replies = kind == 3;
        if (kind == 4)
        {
            faults.delay = random_duration(milliseconds(50), milliseconds(900));
            faults.jitter = milliseconds(300);
        }
        host.link().set_faults(faults);
        begin(subject, names[kind], min_fault_duration, milliseconds(3'000),
              [&host]
              {
                  host.link().clear_faults();
                  return true;
              });
    }

    template<class Value>
    auto begin_store_change(const std::string& name,
                            Value store_faults::*member, const Value& value)
        -> void
    {
        const auto subject = "store " + name;
        if (has_fault(subject))
        {
            return;
        }
        m_store_faults.*member = value;
        m_platform.set(m_store_faults);
        begin(subject, "", min_fault_duration, max_fault_duration,
              [this, member]
              {
                  m_store_faults.*member = Value{};
                  m_platform.set(m_store_faults);
                  return true;
              });
    }

    auto slow_down_store() -> void
    {
        begin_store_change(
            "slow", &store_faults::added_latency,
            random_duration(milliseconds(40), milliseconds(400)));
    }

    auto begin_store_fault() -> void
    {
        const auto part_number = std::to_string(random_number(7));
        const std::vector<std::string> parts{
            cell::cell_part, "inbox-" + part_number, "progress-" + part_number};
        switch (random_number(4))
        {
        case 0:
            slow_down_store();
            break;
        case 1:
            begin_store_change("part down", &store_faults::unavailable_part,
                               parts[random_number(2)]);
            break;
        case 2:
            begin_store_change("answers lost", &store_faults::lost_answers,
                               0.25);
            break;
        case 3:
            begin_store_change("commits late", &store_faults::delayed_commits,
                               0.2);
            break;
        default:
            m_platform.trim_history();
        }
    }

    auto begin_worker_fault() -> void
    {
        if (has_fault("workers"))
        {
            return;
        }
        const auto kind = random_number(4);
        const std::vector<std::string> names{"deaf", "mute", "unhealthy",
                                             "orders late", "orders late"};
        worker_faults faults;
        faults.drops_orders = kind == 0;
        faults.drops_answers = kind == 1;
        faults.refuses_starts = kind == 2;
        faults.delayed = kind > 2 ? 0.4 : 0;
        const auto all = m_platform.worker_count();
        const auto first = random_number(all - 1);
        const auto count = 1 + random_number(all / 2);
        const auto set = [this, first, count, all](const worker_faults& change)
        {
            for (auto i = first; i < first + count; ++i)
            {
                m_platform.set(i % all, change);
            }
        };
        set(faults);
        begin("workers", names[kind], min_fault_duration, max_fault_duration,
              [set]
              {
                  set({});
                  return true;
              });
    }

    auto random_duration(milliseconds minimum, milliseconds maximum)
        -> milliseconds
    {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(
            minimum.count(), maximum.count())(m_random));
    }

    auto random_number(std::size_t maximum) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, maximum)(m_random);
    }

    platform& m_platform;
    instance_hosts& m_instances;
    std::mt19937_64 m_random;
    /// Apart from the other faults, whose order a seed keeps.
    std::mt19937_64 m_entry_random;
    std::vector<active_fault> m_active;
    std::vector<fault_record> m_record;
    store_faults m_store_faults;
    time_point m_next_fault_at;
    time_point m_next_odd_entry_at;
    /// Remaining faults of a series on consecutive owners.
    std::size_t m_series_left = 0;
};

} // namespace

auto run_faults(platform& stand_in, instance_hosts& instances,
                std::uint64_t seed, milliseconds duration)
    -> std::vector<fault_record>
{
    return fault_driver(stand_in, instances, seed).run(duration);
}

} // namespace pimentoshunt::soak
