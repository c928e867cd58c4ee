/// @file
/// Inbox writes that are forwarded to another instance.
#include <pimentoshunt/cell/forwarded_writes.hpp>

#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace pimentoshunt;
using cell::inbox_write_result;

namespace
{

struct forwarded_writes_fixture
{
    boost::asio::io_context control;
    bool peer_available = true;
    std::vector<wire::cell_deposit> sent;
    std::optional<inbox_write_result> out;
    cell::forwarded_writes writes{control,
                                  [this](const wire::cell_deposit& write)
                                  {
                                      sent.push_back(write);
                                      return peer_available;
                                  },
                                  100};

    auto forward(milliseconds limit) -> bool
    {
        wire::cell_deposit write;
        write.set_cancelled("0a");
        return writes.forward(write, boot_clock::now() + limit,
                              [this](inbox_write_result result)
                              {
                                  out = result;
                              });
    }
};

} // namespace

Test(cell_forwarded_writes, an_answer_is_matched_by_its_number)
{
    forwarded_writes_fixture fixture;
    cr_assert(fixture.forward(milliseconds(1'000)));
    cr_assert_eq(fixture.sent.size(), 1u);
    fixture.writes.on_answer(fixture.sent[0].number() + 1,
                             inbox_write_result::refused);
    cr_assert(!fixture.out);
    fixture.writes.on_answer(fixture.sent[0].number(),
                             inbox_write_result::stored);
    cr_assert(fixture.out == inbox_write_result::stored);
}

Test(cell_forwarded_writes, forward_fails_without_a_known_instance)
{
    forwarded_writes_fixture fixture;
    fixture.peer_available = false;
    cr_assert(!fixture.forward(milliseconds(1'000)));
    cr_assert(!fixture.out);
}

// The other instance may have stored the row although its answer is missing.
Test(cell_forwarded_writes, a_timeout_is_indeterminate)
{
    forwarded_writes_fixture fixture;
    cr_assert(fixture.forward(milliseconds(30)));
    fixture.control.run_for(std::chrono::seconds(3));
    cr_assert(fixture.out == inbox_write_result::indeterminate);
    fixture.writes.on_answer(fixture.sent[0].number(),
                             inbox_write_result::stored);
    cr_assert(fixture.out == inbox_write_result::indeterminate);
}

Test(cell_forwarded_writes, an_invalid_wire_value_reads_as_indeterminate)
{
    cr_assert(cell::inbox_write_result_of(7) ==
              inbox_write_result::indeterminate);
    for (const auto result :
         {inbox_write_result::stored, inbox_write_result::refused,
          inbox_write_result::indeterminate})
    {
        cr_assert(cell::inbox_write_result_of(cell::to_wire(result)) == result);
    }
}
