/// @file
/// One instance and the store.
#include "fakes/cell_bed.hpp"

#include <criterion/criterion.h>

using namespace pimentoshunt;
using fakes::cell_bed;
using fakes::fake_cell_outside;

// The store counts each row as a condition and as a write, a hundred in all.
Test(cell_instance, one_transaction_takes_no_more_than_the_store_does)
{
    struct counting_outside : fake_cell_outside
    {
        using fake_cell_outside::fake_cell_outside;
        std::size_t most = 0;

        auto commit(const cell::row_transaction& transaction,
                    milliseconds limit, cell::commit_handler done) -> void
        {
            most = std::max(most, transaction.conditions.size() +
                                      transaction.writes.size() +
                                      transaction.removals.size());
            fake_cell_outside::commit(transaction, limit, std::move(done));
        }
    };
    constexpr std::size_t most_entries = 100;
    constexpr int waiting_jobs = 200;
    cell_bed bed;
    counting_outside outside{bed.control, bed.store, bed.pool};
    cell::store_health health;
    int stored = 0;
    cell::intake<counting_outside> entry{outside, bed.control, health,
                                         [](const cell::stored_row&) {}};
    for (int i = 0; i < waiting_jobs; ++i)
    {
        entry.submit(fakes::simple_job(std::to_string(i) + "a", 1, 1'000),
                     boot_clock::now() + std::chrono::seconds(2),
                     [&](cell::intake_result result)
                     {
                         stored +=
                             result == cell::intake_result::stored ? 1 : 0;
                     });
    }
    cr_assert(bed.run_until(
        [&]
        {
            return stored == waiting_jobs;
        }));
    cr_assert_leq(outside.most, most_entries, "%zu entries", outside.most);
}
