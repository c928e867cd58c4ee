/// @file
/// Rows that another instance stores.
#include <pimentoshunt/cell/deposits.hpp>

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace pimentoshunt;
using cell::intake_result;

namespace
{

struct deposits_bed
{
    boost::asio::io_context control;
    bool anybody = true;
    std::vector<wire::cell_deposit> sent;
    std::optional<intake_result> out;
    cell::deposits desk{control,
                        [this](const wire::cell_deposit& what)
                        {
                            sent.push_back(what);
                            return anybody;
                        },
                        100};

    auto ask(milliseconds limit) -> bool
    {
        wire::cell_deposit what;
        what.set_cancelled("0a");
        return desk.ask(what, boot_clock::now() + limit,
                        [this](intake_result result)
                        {
                            out = result;
                        });
    }
};

} // namespace

Test(cell_deposits, the_answer_of_the_other_instance_counts)
{
    deposits_bed bed;
    cr_assert(bed.ask(milliseconds(1'000)));
    cr_assert_eq(bed.sent.size(), 1u);
    bed.desk.answered(bed.sent[0].number() + 1, intake_result::refused);
    cr_assert(!bed.out);
    bed.desk.answered(bed.sent[0].number(), intake_result::stored);
    cr_assert(bed.out == intake_result::stored);
}

Test(cell_deposits, nobody_to_ask_leaves_the_caller_to_itself)
{
    deposits_bed bed;
    bed.anybody = false;
    cr_assert(!bed.ask(milliseconds(1'000)));
    cr_assert(!bed.out);
}

// It may have been stored all the same.
Test(cell_deposits, without_an_answer_the_outcome_is_not_known)
{
    deposits_bed bed;
    cr_assert(bed.ask(milliseconds(30)));
    bed.control.run_for(std::chrono::seconds(3));
    cr_assert(bed.out == intake_result::unsettled);
    bed.desk.answered(bed.sent[0].number(), intake_result::stored);
    cr_assert(bed.out == intake_result::unsettled);
}

Test(cell_deposits, an_outcome_that_is_none_reads_as_not_known)
{
    cr_assert(cell::intake_result_of(7) == intake_result::unsettled);
    for (const auto result : {intake_result::stored, intake_result::refused,
                              intake_result::unsettled})
    {
        cr_assert(cell::intake_result_of(cell::to_wire(result)) == result);
    }
}
