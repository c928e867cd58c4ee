#include "support/operator_calls.hpp"
#include "support/wait_until.hpp"

#include <criterion/criterion.h>

#include <algorithm> // count_if
#include <array>     // array
#include <atomic>    // atomic
#include <thread>    // jthread

using namespace pimentoshunt::testing;
using pimentoshunt::milliseconds;

namespace
{

constexpr std::int64_t worker_count = 8;
/// A plan is in force everywhere within this time.
constexpr milliseconds configuration_bound{12'000};

auto three_instances(bool proxies = false) -> cell_options
{
    cell_options options;
    options.instances = 3;
    options.workers_per_process = worker_count;
    options.proxy_platform = proxies;
    options.proxy_peers = proxies;
    return options;
}

/// A text that differs from others by its deadline.
auto variant(int number) -> std::string
{
    plan_service service;
    service.deadline = milliseconds{5'000 + number};
    return plan_text(service);
}

auto start(cell& whole) -> void
{
    const auto trouble = start_with_plan(whole, variant(0), worker_count);
    cr_assert(trouble.empty(), "%s", trouble.c_str());
}

auto reaches_all(cell& whole, std::uint64_t revision, const std::string& text)
    -> bool
{
    return wait_until(
        [&]
        {
            return is_plan_in_force(whole, revision, text);
        },
        configuration_bound);
}

/// Watches one instance's revision and notes whether it ever went back.
class revision_watch
{
  public:
    explicit revision_watch(int operator_port)
        : m_thread(
              [this, operator_port](const std::stop_token& stopping)
              {
                  watch(stopping, operator_port);
              })
    {
    }

    [[nodiscard]] auto went_back() const -> bool
    {
        return m_went_back;
    }

  private:
    auto watch(const std::stop_token& stopping, int port) -> void
    {
        std::uint64_t highest = 0;
        while (!stopping.stop_requested())
        {
            const auto told = get_plan(port).revision;
            m_went_back = m_went_back || (told != 0 && told < highest);
            highest = std::max(highest, told);
            std::this_thread::sleep_for(milliseconds{20});
        }
    }

    std::atomic<bool> m_went_back{false};
    std::jthread m_thread;
};

} // namespace

Test(plan, of_operators_that_race_exactly_one_is_accepted)
{
    cell whole(three_instances());
    start(whole);
    constexpr int rounds = 3;
    for (int round = 1; round <= rounds; ++round)
    {
        std::array<submission_result, 3> answers;
        {
            std::array<std::jthread, 3> operators;
            for (std::size_t i = 0; i < operators.size(); ++i)
            {
                operators[i] = std::jthread(
                    [&, i]
                    {
                        answers[i] = submit_plan(
                            whole.instances()[i].operator_port,
                            variant(round * 10 + static_cast<int>(i)),
                            static_cast<std::uint64_t>(round));
                    });
            }
        }
        std::size_t winner = 0;
        int accepted = 0;
        for (std::size_t i = 0; i < answers.size(); ++i)
        {
            const bool won = answers[i].status == 200;
            accepted += won ? 1 : 0;
            winner = won ? i : winner;
            cr_assert(won || answers[i].status == 409, "answered %d %s",
                      answers[i].status, answers[i].body.c_str());
        }
        cr_assert(accepted == 1, "%d were accepted", accepted);
        cr_assert(reaches_all(whole, static_cast<std::uint64_t>(round + 1),
                              variant(round * 10 + static_cast<int>(winner))));
    }
}

Test(plan, survives_the_accepting_instance_and_a_lost_reply)
{
    cell whole(three_instances());
    start(whole);
    auto& accepting = whole.instances()[0];
    cr_assert(submit_plan(accepting.operator_port, variant(1), 1).status ==
              200);
    accepting.program.kill();
    cr_assert(reaches_all(whole, 2, variant(1)));
    // The next commits of the table take effect, but their replies are lost.
    cr_assert(whole.set_platform_faults({{"drop_replies", 3}}));
    const auto answer =
        submit_plan(whole.instances()[1].operator_port, variant(2), 2);
    cr_assert(answer.status == 200, "answered %d %s", answer.status,
              answer.body.c_str());
    cr_assert(reaches_all(whole, 3, variant(2)));
}

Test(plan, reaches_all_and_never_reverts_while_the_store_is_down)
{
    cell whole(three_instances());
    start(whole);
    auto& paused = whole.instances()[2];
    paused.program.pause();
    auto& accepting = whole.instances()[0];
    cr_assert(submit_plan(accepting.operator_port, variant(1), 1).status ==
              200);
    cr_assert(whole.set_platform_faults({{"outage", "refuse"}}));
    const auto others_have_it = [&]
    {
        return get_plan(whole.instances()[1].operator_port).revision == 2;
    };
    cr_assert(wait_until(others_have_it, configuration_bound));
    const revision_watch first(accepting.operator_port);
    const revision_watch second(whole.instances()[1].operator_port);
    paused.program.resume();
    cr_assert(reaches_all(whole, 2, variant(1)));
    // All are replaced one by one, and nobody can ask the table.
    for (std::size_t i = 0; i < whole.instances().size(); ++i)
    {
        whole.restart_instance(i);
        cr_assert(whole.wait_ready(i, configuration_bound));
    }
    cr_assert(is_plan_in_force(whole, 2, variant(1)));
    cr_assert(!first.went_back());
    cr_assert(!second.went_back());
}

Test(plan, an_instance_that_is_cut_off_says_so_and_gets_no_callers)
{
    cell whole(three_instances(true));
    start(whole);
    auto& alone = whole.instances()[2];
    link_faults cut;
    cut.cut = true;
    alone.to_platform->set_faults(cut);
    for (auto& instance : whole.instances())
    {
        instance.from_peers->set_faults(cut);
    }
    cr_assert(
        submit_plan(whole.instances()[0].operator_port, variant(1), 1).status ==
        200);
    const auto gets_callers = [&]
    {
        return http_get(alone.operator_port, "/ready").has_value();
    };
    cr_assert(wait_until(
        [&]
        {
            return !gets_callers();
        },
        configuration_bound));
    const auto told = get_plan(alone.operator_port);
    cr_assert(told.revision == 1);
    cr_assert(told.confirmed_ago > milliseconds{2'000}, "confirmed %ld ms ago",
              told.confirmed_ago.count());
    cr_assert(http_get(whole.instances()[0].operator_port, "/ready"));
    // The others read the new plan in the table, though they are cut off from
    // each other as well.
    cr_assert(get_plan(whole.instances()[1].operator_port).revision == 2);
    const revision_watch watched(alone.operator_port);
    alone.to_platform->clear_faults();
    for (auto& instance : whole.instances())
    {
        instance.from_peers->clear_faults();
    }
    cr_assert(reaches_all(whole, 2, variant(1)));
    cr_assert(wait_until(gets_callers, configuration_bound));
    cr_assert(!watched.went_back());
}
