/// @file
/// Checks that exactly one of competing plan submissions is accepted, that an
/// accepted plan reaches all instances and that none reverts to an older one.
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
/// A plan is in force at all instances within this time.
constexpr milliseconds configuration_timeout{12'000};

auto three_instances(bool proxies = false) -> cell_options
{
    cell_options options;
    options.instances = 3;
    options.workers_per_process = worker_count;
    options.proxy_platform = proxies;
    options.proxy_peers = proxies;
    return options;
}

/// Returns a plan whose deadline, and so its text, depends on @p number.
auto plan_variant(int number) -> std::string
{
    plan_service service;
    service.deadline = milliseconds{5'000 + number};
    return plan_text(service);
}

auto start_cell(cell& test_cell) -> void
{
    const auto start_error =
        start_with_plan(test_cell, plan_variant(0), worker_count);
    cr_assert(start_error.empty(), "%s", start_error.c_str());
}

auto wait_for_plan(cell& test_cell, std::uint64_t revision,
                   const std::string& text) -> bool
{
    return wait_until(
        [&]
        {
            return is_plan_in_force(test_cell, revision, text);
        },
        configuration_timeout);
}

/// Polls the plan revision of one instance from a thread of its own and
/// records whether the revision ever decreased.
class revision_monitor
{
  public:
    explicit revision_monitor(int operator_port)
        : m_thread(
              [this, operator_port](const std::stop_token& stopping)
              {
                  monitor_revision(stopping, operator_port);
              })
    {
    }

    [[nodiscard]] auto has_reverted() const -> bool
    {
        return m_has_reverted;
    }

  private:
    auto monitor_revision(const std::stop_token& stopping, int port) -> void
    {
        std::uint64_t highest = 0;
        while (!stopping.stop_requested())
        {
            const auto reported = get_plan(port).revision;
            m_has_reverted =
                m_has_reverted || (reported != 0 && reported < highest);
            highest = std::max(highest, reported);
            std::this_thread::sleep_for(milliseconds{20});
        }
    }

    std::atomic<bool> m_has_reverted{false};
    std::jthread m_thread;
};

} // namespace

Test(plan, exactly_one_of_racing_submissions_is_accepted)
{
    cell test_cell(three_instances());
    start_cell(test_cell);
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
                            test_cell.instances()[i].operator_port,
                            plan_variant(round * 10 + static_cast<int>(i)),
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
            cr_assert(won || answers[i].status == 409, "status %d %s",
                      answers[i].status, answers[i].body.c_str());
        }
        cr_assert(accepted == 1, "%d submissions were accepted", accepted);
        cr_assert(
            wait_for_plan(test_cell, static_cast<std::uint64_t>(round + 1),
                          plan_variant(round * 10 + static_cast<int>(winner))));
    }
}

Test(plan, survives_the_accepting_instance_and_a_lost_reply)
{
    cell test_cell(three_instances());
    start_cell(test_cell);
    auto& accepting = test_cell.instances()[0];
    cr_assert(submit_plan(accepting.operator_port, plan_variant(1), 1).status ==
              200);
    accepting.program.kill();
    cr_assert(wait_for_plan(test_cell, 2, plan_variant(1)));
    // The next three commits of the table take effect, but lose their replies.
    cr_assert(test_cell.set_platform_faults({{"drop_replies", 3}}));
    const auto answer =
        submit_plan(test_cell.instances()[1].operator_port, plan_variant(2), 2);
    cr_assert(answer.status == 200, "status %d %s", answer.status,
              answer.body.c_str());
    cr_assert(wait_for_plan(test_cell, 3, plan_variant(2)));
}

Test(plan, reaches_all_and_never_reverts_while_the_store_is_down)
{
    cell test_cell(three_instances());
    start_cell(test_cell);
    auto& paused = test_cell.instances()[2];
    paused.program.pause();
    auto& accepting = test_cell.instances()[0];
    cr_assert(submit_plan(accepting.operator_port, plan_variant(1), 1).status ==
              200);
    cr_assert(test_cell.set_platform_faults({{"outage", "refuse"}}));
    const auto is_plan_at_other = [&]
    {
        return get_plan(test_cell.instances()[1].operator_port).revision == 2;
    };
    cr_assert(wait_until(is_plan_at_other, configuration_timeout));
    const revision_monitor first(accepting.operator_port);
    const revision_monitor second(test_cell.instances()[1].operator_port);
    paused.program.resume();
    cr_assert(wait_for_plan(test_cell, 2, plan_variant(1)));
    // Restarts all instances one by one while none can read the table.
    for (std::size_t i = 0; i < test_cell.instances().size(); ++i)
    {
        test_cell.restart_instance(i);
        cr_assert(test_cell.wait_ready(i, configuration_timeout));
    }
    cr_assert(is_plan_in_force(test_cell, 2, plan_variant(1)));
    cr_assert(!first.has_reverted());
    cr_assert(!second.has_reverted());
}

Test(plan, an_isolated_instance_reports_it_and_is_not_ready)
{
    cell test_cell(three_instances(true));
    start_cell(test_cell);
    auto& isolated = test_cell.instances()[2];
    link_faults cut;
    cut.cut = true;
    isolated.to_platform->set_faults(cut);
    for (auto& instance : test_cell.instances())
    {
        instance.from_peers->set_faults(cut);
    }
    cr_assert(
        submit_plan(test_cell.instances()[0].operator_port, plan_variant(1), 1)
            .status == 200);
    const auto is_ready = [&]
    {
        return http_get(isolated.operator_port, "/ready").has_value();
    };
    cr_assert(wait_until(
        [&]
        {
            return !is_ready();
        },
        configuration_timeout));
    const auto reported = get_plan(isolated.operator_port);
    cr_assert(reported.revision == 1);
    cr_assert(reported.confirmed_ago > milliseconds{2'000},
              "confirmed %ld ms ago", reported.confirmed_ago.count());
    cr_assert(http_get(test_cell.instances()[0].operator_port, "/ready"));
    // The other instances read the new plan in the table, although they are cut
    // off from each other as well.
    cr_assert(get_plan(test_cell.instances()[1].operator_port).revision == 2);
    const revision_monitor monitor(isolated.operator_port);
    isolated.to_platform->clear_faults();
    for (auto& instance : test_cell.instances())
    {
        instance.from_peers->clear_faults();
    }
    cr_assert(wait_for_plan(test_cell, 2, plan_variant(1)));
    cr_assert(wait_until(is_ready, configuration_timeout));
    cr_assert(!monitor.has_reverted());
}
