/// @file
/// Submissions while the store refuses one instance or all of them.
#include "fakes/cell_simulation.hpp"
#include "fakes/fake_cell_store.hpp"

#include <pimentoshunt/cell/policy/store_outage.hpp>
#include <pimentoshunt/cell/routed_writes.hpp>

#include <criterion/criterion.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace pimentoshunt;
using cell::inbox_write_result;
using fakes::fake_cell_store;
using fakes::simple_job;

namespace
{

/// Writes of an instance whose last call to the store failed, and another
/// instance.
struct routed_writes_fixture
{
    boost::asio::io_context control;
    fake_cell_store store{control};
    cell::store_health health;
    bool peer_available = true;
    std::vector<wire::cell_deposit> sent;
    std::optional<inbox_write_result> out;
    cell::routed_writes<fake_cell_store> writes{
        store,
        control,
        health,
        [](const auto&) {},
        [this](const wire::cell_deposit& write)
        {
            sent.push_back(write);
            return peer_available;
        },
        100};

    routed_writes_fixture()
    {
        health.record(false, boot_clock::now());
    }

    auto submit() -> void
    {
        writes.submit(simple_job("0a", 1, 1),
                      boot_clock::now() + milliseconds(1'500),
                      [this](inbox_write_result result)
                      {
                          out = result;
                      });
        run();
    }

    auto answer(inbox_write_result result) -> void
    {
        writes.on_forward_answer(sent.back().number(), result);
        run();
    }

    auto run() -> void
    {
        control.restart();
        control.poll();
    }
};

} // namespace

// An instance that the store refused alone tried for 0.6 s before it forwarded
// each job.
Test(cell_store_outage, a_job_is_forwarded_at_once_while_the_store_fails_here)
{
    routed_writes_fixture fixture;
    fixture.store.drops_transactions = true;
    fixture.submit();
    cr_assert_eq(fixture.sent.size(), 1u);
    cr_assert_eq(fixture.store.commits, 0u);
    fixture.answer(inbox_write_result::stored);
    cr_assert(fixture.out == inbox_write_result::stored);
    cr_assert_eq(fixture.store.commits, 0u);
}

// Guards against a job that is refused although the store serves this instance
// again, and against one that is lost between the two.
Test(cell_store_outage, a_job_that_another_instance_refuses_is_tried_here)
{
    routed_writes_fixture fixture;
    fixture.submit();
    fixture.answer(inbox_write_result::refused);
    cr_assert(fixture.out == inbox_write_result::stored);
    routed_writes_fixture refused;
    refused.store.is_unavailable = true;
    refused.submit();
    refused.answer(inbox_write_result::refused);
    cr_assert(refused.out == inbox_write_result::refused);
    routed_writes_fixture unknown;
    unknown.store.is_unavailable = true;
    unknown.submit();
    unknown.answer(inbox_write_result::indeterminate);
    cr_assert(unknown.out == inbox_write_result::indeterminate);
}

Test(cell_store_outage, a_job_is_tried_here_without_another_instance)
{
    routed_writes_fixture fixture;
    fixture.peer_available = false;
    fixture.submit();
    cr_assert(fixture.out == inbox_write_result::stored);
}

// Without a recent failure nothing shows that the store still fails here.
Test(cell_store_outage, a_failure_counts_for_half_a_second)
{
    cell::store_health health;
    const time_point began{std::chrono::hours(1)};
    health.record(false, began);
    cr_assert(health.fails_now(began + milliseconds(500)));
    cr_assert(!health.fails_now(began + milliseconds(501)));
    cr_assert(health.outage(began + milliseconds(700)) == milliseconds(700));
    health.record(true, began + milliseconds(700));
    cr_assert(!health.fails_now(began + milliseconds(700)));
    cr_assert_eq(health.outage(began + milliseconds(800)).count(), 0);
}

// With 1 s each, the four retries of a caller ended within an outage of 3 s.
Test(cell_store_outage, four_retries_outlast_an_outage_of_seven_seconds)
{
    std::set<std::chrono::seconds::rep> last_delays;
    for (int number = 0; number < 200; ++number)
    {
        const job_id job(std::to_string(number));
        for (milliseconds first{0}; first < milliseconds(1'000);
             first += milliseconds(100))
        {
            boot_clock::duration at = first;
            std::chrono::seconds delay{0};
            for (int retry = 0; retry < 4; ++retry)
            {
                delay = cell::policy::retry_delay(at, job);
                cr_assert(delay.count() >= 1 && delay.count() <= 4);
                at += delay;
            }
            cr_assert(at >= milliseconds(7'000), "job %d", number);
            last_delays.insert(delay.count());
        }
    }
    // Callers of one moment do not come back together.
    cr_assert_geq(last_delays.size(), 2u);
}
