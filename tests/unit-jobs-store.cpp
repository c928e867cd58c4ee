/// @file
/// job_store, task_set and job records against a fake platform.
#include <pimentoshunt/jobs/job_record.hpp>
#include <pimentoshunt/jobs/job_store.hpp>

#include "fakes/fake_platform.hpp"

#include <criterion/criterion.h>

#include <random> // mt19937
#include <set>    // set
#include <string> // string

using pimentoshunt::error;
using pimentoshunt::handle;
using pimentoshunt::job_id;
using pimentoshunt::resources;
using pimentoshunt::result;
using pimentoshunt::tests::fake_platform;
using namespace pimentoshunt::jobs;

namespace
{

using fake_store = job_store<fake_platform>;

auto spec_of(const std::string& id) -> job_spec
{
    job_spec out;
    out.id = job_id(id);
    out.tasks = 100;
    out.each = {1, 500, 256, 0};
    out.body = "archive \"7\"";
    return out;
}

template<class Call>
auto error_id(Call&& call) -> int
{
    return handle(
        [&]() -> result<int>
        {
            auto outcome = call();
            if (!outcome)
            {
                return outcome.error();
            }
            return 0;
        },
        [](const error& e)
        {
            return e.id;
        });
}

} // namespace

Test(jobs_store, task_set_equals_a_plain_set)
{
    std::mt19937 random(7);
    for (int round = 0; round < 50; ++round)
    {
        task_set tasks;
        std::set<std::int64_t> plain;
        for (int i = 0; i < 60; ++i)
        {
            const auto first = static_cast<std::int64_t>(random() % 80);
            const auto last = first + static_cast<std::int64_t>(random() % 4);
            tasks.insert(task_range{first, last});
            for (auto task = first; task < last; ++task)
            {
                plain.insert(task);
            }
        }
        for (std::int64_t task = 0; task < 90; ++task)
        {
            cr_assert(tasks.contains(task) == (plain.count(task) != 0));
        }
        cr_assert(tasks.size() == static_cast<std::int64_t>(plain.size()));
    }
}

Test(jobs_store, submission_is_idempotent_and_an_id_has_one_job)
{
    fake_platform table;
    fake_store first(table, "i1#1");
    fake_store second(table, "i2#1");
    cr_assert(first.submit(spec_of("j1")).value().created);
    cr_assert(!second.submit(spec_of("j1")).value().created);
    auto other = spec_of("j1");
    other.tasks = 3;
    cr_assert(error_id(
                  [&]
                  {
                      return second.submit(other);
                  }) == job_id_taken);
    cr_assert(error_id(
                  [&]
                  {
                      return first.submit(spec_of("a/b"));
                  }) == job_id_invalid);
    const auto read = second.read(job_id("j1")).value();
    cr_assert(read->spec.tasks == 100);
    cr_assert(read->spec.body == "archive \"7\"");
    cr_assert(read->progress.state == job_state::active);
}

Test(jobs_store, progress_is_read_back_as_it_was_written)
{
    fake_platform table;
    fake_store jobs(table, "i1#1");
    const job_id id("j1");
    const auto partition = partition_of(id);
    cr_assert(jobs.submit(spec_of("j1")).value().created);
    std::vector<partition_update> updates(1);
    updates[0].claim =
        jobs.claim(jobs.read_partition(partition).value()).value();
    job_progress progress;
    progress.done.insert(task_range{0, 40});
    progress.started.insert(41);
    progress.workers.push_back(
        {pimentoshunt::worker_id("w1"), "http://127.0.0.1:1/w/1"});
    progress.failures.push_back({41, 2, 9, {pimentoshunt::worker_id("w1")}});
    updates[0].jobs.push_back({id, progress});
    cr_assert(!!jobs.persist(updates));
    cr_assert(updates[0].committed);
    const auto listed = jobs.list(partition, job_id(), 10).value();
    cr_assert(listed.size() == 1);
    cr_assert(serialize(listed[0].progress) == serialize(progress));
    cr_assert(!!jobs.request_cancel(id));
    cr_assert(jobs.list_cancels(partition, job_id(), 10).value().at(0) == id);
    updates[0].jobs.clear();
    updates[0].erased.push_back(id);
    cr_assert(!!jobs.persist(updates));
    cr_assert(!jobs.read(id).value().has_value());
}

// A new owner that misses jobs beyond the first page would never run them.
Test(jobs_store, a_partition_is_read_completely_however_many_jobs_it_has)
{
    fake_platform table;
    fake_store jobs(table, "i1#1");
    const auto partition = partition_of(job_id("j0"));
    std::set<std::string> there;
    for (int i = 0; there.size() < 7; ++i)
    {
        const auto id = "j" + std::to_string(i);
        if (partition_of(job_id(id)) == partition)
        {
            there.insert(id);
            cr_assert(jobs.submit(spec_of(id)).value().created);
            cr_assert(!!jobs.request_cancel(job_id(id)));
        }
    }
    std::set<std::string> read;
    const auto listed = jobs.list_all(partition, 3).value();
    for (const auto& job : listed)
    {
        read.insert(job.spec.id.str());
    }
    cr_assert(read == there);
    read.clear();
    const auto cancelled = jobs.list_all_cancels(partition, 3).value();
    for (const auto& id : cancelled)
    {
        read.insert(id.str());
    }
    cr_assert(read == there);
}

Test(jobs_store, claim_makes_each_commit_of_the_earlier_owner_fail)
{
    fake_platform table;
    fake_store old_owner(table, "i1#1");
    fake_store new_owner(table, "i2#1");
    std::vector<partition_update> updates(2);
    for (int partition = 0; partition < 2; ++partition)
    {
        updates[static_cast<std::size_t>(partition)].claim =
            old_owner.claim(old_owner.read_partition(partition).value())
                .value();
    }
    const auto seen = new_owner.read_partition(1).value();
    const auto taken = new_owner.claim(seen).value();
    cr_assert(taken.epoch == 2);
    cr_assert(error_id(
                  [&]
                  {
                      return old_owner.claim(seen);
                  }) == partition_lost);
    cr_assert(!!old_owner.persist(updates));
    cr_assert(updates[0].committed);
    cr_assert(!updates[1].committed);
    cr_assert(error_id(
                  [&]
                  {
                      return old_owner.refresh(updates[1].claim);
                  }) == partition_lost);
}

Test(jobs_store, commit_of_unknown_outcome_is_repeated_after_a_refresh)
{
    fake_platform table;
    fake_store jobs(table, "i1#1");
    std::vector<partition_update> updates(1);
    updates[0].claim = jobs.claim(jobs.read_partition(3).value()).value();
    table.lose_replies(1);
    cr_assert(error_id(
                  [&]
                  {
                      return jobs.persist(updates);
                  }) == 301);
    updates[0].claim = jobs.refresh(updates[0].claim).value();
    cr_assert(!!jobs.persist(updates));
    cr_assert(updates[0].committed);
}

Test(jobs_store, work_that_fits_no_worker_is_detected_at_submission)
{
    const std::vector<resources> workers{{8, 16'000, 64'000, 0},
                                         {8, 16'000, 64'000, 2}};
    auto spec = spec_of("j1");
    cr_assert(can_fit(spec, workers));
    spec.each = {1, 0, 0, 3};
    cr_assert(!can_fit(spec, workers));
    spec.each = {1, 0, 0, 0};
    spec.gang = true;
    spec.tasks = 16;
    cr_assert(can_fit(spec, workers));
    spec.tasks = 17;
    cr_assert(!can_fit(spec, workers));
    cr_assert(!can_fit(spec, {}));
}
