#include "faults.hpp"

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

constexpr milliseconds poll{10};
constexpr milliseconds stop_grace{6'000};
constexpr milliseconds shortest{400};
constexpr milliseconds longest{2'500};
constexpr milliseconds most_wait{3'000};

/// Begins and ends faults on one thread.
class fault_driver
{
  public:
    fault_driver(platform& outside, instance_hosts& instances,
                 std::uint64_t seed)
        : m_platform(outside), m_instances(instances), m_random(seed)
    {
    }

    auto run(milliseconds how_long) -> std::vector<fault_record>
    {
        const auto until = boot_clock::now() + how_long;
        while (boot_clock::now() < until || !m_active.empty())
        {
            end_due(boot_clock::now() >= until);
            if (boot_clock::now() >= m_next && boot_clock::now() < until)
            {
                begin_some();
            }
            std::this_thread::sleep_for(poll);
        }
        return std::move(m_record);
    }

  private:
    /// Says whether it is over: an end may take time.
    using ending = std::function<bool()>;

    struct active_fault
    {
        std::size_t place = 0;
        time_point until;
        ending end;
    };

    auto begin_some() -> void
    {
        const auto now = boot_clock::now();
        if (m_series > 0)
        {
            // One owner after another, each soon after it took over.
            --m_series;
            m_next = now + between(milliseconds(700), milliseconds(2'000));
            hit_owner();
            return;
        }
        m_next = now + between(milliseconds(100), milliseconds(800));
        switch (number(9))
        {
        case 0:
        case 1:
        case 2:
            m_series = 2 + number(3);
            hit_owner();
            break;
        case 3:
            freeze(target(false), milliseconds(300), milliseconds(3'000));
            break;
        case 4:
            restart(target(false));
            break;
        case 5:
            hit_link(target(false));
            break;
        case 6:
        case 7:
            hit_store();
            break;
        default:
            hit_workers();
        }
    }

    auto hit_owner() -> void
    {
        // A slow store draws out what the next owner has to read, while this one
        // may be alive.
        if (number(1) == 0)
        {
            slow_store();
        }
        auto& owner = target(true);
        switch (number(8))
        {
        case 0:
            restart(owner);
            break;
        case 1:
        case 2:
            // Often just as long as the others need to take over.
            number(1) == 0
                ? freeze(owner, milliseconds(900), milliseconds(1'900))
                : freeze(owner, milliseconds(300), milliseconds(3'000));
            break;
        case 3:
        case 4:
        case 5:
            overlap_owners(owner);
            break;
        default:
            hit_link(owner);
        }
    }

    /// The earlier owner wakes while its successor loads, or is frozen then.
    auto overlap_owners(instance_host& earlier) -> void
    {
        const auto epoch = m_platform.lease().epoch;
        if (!freeze(earlier, most_wait, most_wait))
        {
            return;
        }
        pass(most_wait,
             [&]
             {
                 return m_platform.lease().epoch > epoch;
             });
        // A new owner needs some 50 ms from its first reading to its last order.
        auto& next = target(true);
        pass(between(milliseconds(0), milliseconds(70)));
        if (number(1) == 0)
        {
            freeze(next, milliseconds(500), milliseconds(1'500));
            pass(between(milliseconds(20), milliseconds(300)));
        }
        end_now(earlier.name());
    }

    /// Lets time pass; faults that are due end.
    auto pass(milliseconds bound, const std::function<bool()>& enough = {})
        -> void
    {
        const auto until = boot_clock::now() + bound;
        while (boot_clock::now() < until && !(enough && enough()))
        {
            end_due(false);
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    auto end_now(const std::string& subject) -> void
    {
        for (auto& item : m_active)
        {
            if (m_record[item.place].subject == subject)
            {
                item.until = boot_clock::now();
            }
        }
        end_due(false);
    }

    auto begin(const std::string& subject, const std::string& name,
               milliseconds least, milliseconds most, ending end) -> void
    {
        const auto now = boot_clock::now();
        m_active.push_back(
            {m_record.size(), now + between(least, most), std::move(end)});
        m_record.push_back({name, subject, now, now});
    }

    auto end_due(bool all) -> void
    {
        for (auto& item : std::exchange(m_active, {}))
        {
            const auto now = boot_clock::now();
            const bool over = (all || item.until <= now) && item.end();
            m_record[item.place].until = boot_clock::now();
            if (!over)
            {
                m_active.push_back(std::move(item));
            }
        }
    }

    auto is_hit(const std::string& subject) const -> bool
    {
        return std::any_of(m_active.begin(), m_active.end(),
                           [&](const active_fault& item)
                           {
                               return m_record[item.place].subject == subject;
                           });
    }

    auto target(bool owner) -> instance_host&
    {
        const auto name = owner ? m_platform.lease().instance : std::string();
        for (auto& instance : m_instances)
        {
            if (instance->name() == name)
            {
                return *instance;
            }
        }
        return *m_instances[number(m_instances.size() - 1)];
    }

    auto freeze(instance_host& at, milliseconds least, milliseconds most)
        -> bool
    {
        if (is_hit(at.name()))
        {
            return false;
        }
        at.process().pause();
        begin(at.name(), "frozen", least, most,
              [&at]
              {
                  at.process().resume();
                  return true;
              });
        return true;
    }

    auto restart(instance_host& at) -> void
    {
        if (is_hit(at.name()))
        {
            return;
        }
        const bool gently = number(2) == 0;
        gently ? at.process().terminate() : at.process().kill();
        const auto grace_over = boot_clock::now() + stop_grace;
        begin(at.name(), gently ? "told to stop" : "killed", milliseconds(200),
              milliseconds(1'200),
              [&at, grace_over]
              {
                  if (boot_clock::now() >= grace_over)
                  {
                      at.process().kill();
                  }
                  const bool over = !at.process().is_running();
                  if (over)
                  {
                      at.start();
                  }
                  return over;
              });
    }

    auto hit_link(instance_host& at) -> void
    {
        const auto subject = at.name() + " link";
        if (is_hit(subject))
        {
            return;
        }
        const auto kind = number(4);
        const std::vector<std::string> names{"cut", "silent", "requests lost",
                                             "answers lost", "slow"};
        testing::link_faults faults;
        faults.cut = kind == 0;
        faults.freeze = kind == 1;
        faults.drop_requests = kind == 2;
        faults.drop_replies = kind == 3;
        if (kind == 4)
        {
            faults.delay = between(milliseconds(50), milliseconds(900));
            faults.jitter = milliseconds(300);
        }
        at.link().set_faults(faults);
        begin(subject, names[kind], shortest, milliseconds(3'000),
              [&at]
              {
                  at.link().clear_faults();
                  return true;
              });
    }

    template<class Value>
    auto change_store(const std::string& name, Value store_faults::*member,
                      const Value& value) -> void
    {
        const auto subject = "store " + name;
        if (is_hit(subject))
        {
            return;
        }
        m_store.*member = value;
        m_platform.set(m_store);
        begin(subject, "", shortest, longest,
              [this, member]
              {
                  m_store.*member = Value{};
                  m_platform.set(m_store);
                  return true;
              });
    }

    auto slow_store() -> void
    {
        change_store("slow", &store_faults::slow,
                     between(milliseconds(40), milliseconds(400)));
    }

    auto hit_store() -> void
    {
        const auto some = std::to_string(number(7));
        const std::vector<std::string> parts{cell::cell_part, "inbox-" + some,
                                             "progress-" + some};
        switch (number(4))
        {
        case 0:
            slow_store();
            break;
        case 1:
            change_store("part down", &store_faults::dark_part,
                         parts[number(2)]);
            break;
        case 2:
            change_store("answers lost", &store_faults::lost_answers, 0.25);
            break;
        case 3:
            change_store("commits late", &store_faults::late_commits, 0.2);
            break;
        default:
            m_platform.forget_history();
        }
    }

    auto hit_workers() -> void
    {
        if (is_hit("workers"))
        {
            return;
        }
        const auto kind = number(4);
        const std::vector<std::string> names{"deaf", "mute", "unhealthy",
                                             "orders late", "orders late"};
        worker_faults faults;
        faults.deaf = kind == 0;
        faults.mute = kind == 1;
        faults.unhealthy = kind == 2;
        faults.late = kind > 2 ? 0.4 : 0;
        const auto all = m_platform.worker_count();
        const auto first = number(all - 1);
        const auto count = 1 + number(all / 2);
        const auto set = [this, first, count, all](const worker_faults& change)
        {
            for (auto i = first; i < first + count; ++i)
            {
                m_platform.set(i % all, change);
            }
        };
        set(faults);
        begin("workers", names[kind], shortest, longest,
              [set]
              {
                  set({});
                  return true;
              });
    }

    auto between(milliseconds least, milliseconds most) -> milliseconds
    {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(
            least.count(), most.count())(m_random));
    }

    auto number(std::size_t most) -> std::size_t
    {
        return std::uniform_int_distribution<std::size_t>(0, most)(m_random);
    }

    platform& m_platform;
    instance_hosts& m_instances;
    std::mt19937_64 m_random;
    std::vector<active_fault> m_active;
    std::vector<fault_record> m_record;
    store_faults m_store;
    time_point m_next;
    /// Faults that are left of a series on one owner after another.
    std::size_t m_series = 0;
};

} // namespace

auto run_faults(platform& outside, instance_hosts& instances,
                std::uint64_t seed, milliseconds how_long)
    -> std::vector<fault_record>
{
    return fault_driver(outside, instances, seed).run(how_long);
}

} // namespace pimentoshunt::soak
