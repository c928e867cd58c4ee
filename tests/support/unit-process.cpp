#include "port_allocator.hpp"
#include "process.hpp"
#include "wait_until.hpp"

#include <criterion/criterion.h>

#include <csignal> // SIGTERM, SIGKILL

using namespace pimentoshunt::testing;
using pimentoshunt::milliseconds;

namespace
{

constexpr milliseconds bound{5'000};

/// Returns the process state in /proc/<pid>/stat; 'T' means stopped by a
/// signal.
auto state_of(const process& child) -> char
{
    const auto text =
        read_file("/proc/" + std::to_string(child.pid()) + "/stat");
    return text.at(text.rfind(')') + 2);
}

} // namespace

Test(process, gives_status_and_output)
{
    process child("/bin/sh", {"-c", "echo out; echo err >&2; exit 3"});
    cr_assert(child.wait(bound) == 3);
    cr_assert(child.output() == "out\nerr\n");
    cr_assert(!child.is_running());
}

Test(process, pauses_resumes_and_terminates)
{
    process child("/bin/sleep", {"60"});
    child.pause();
    cr_assert(wait_until(
        [&]
        {
            return state_of(child) == 'T';
        },
        bound));
    child.resume();
    cr_assert(wait_until(
        [&]
        {
            return state_of(child) != 'T';
        },
        bound));
    cr_assert(!child.wait(milliseconds{0}).has_value());
    child.terminate();
    cr_assert(child.wait(bound) == 128 + SIGTERM);
}

Test(process, kill_ends_a_paused_child)
{
    process child("/bin/sleep", {"60"});
    child.pause();
    child.kill();
    cr_assert(child.wait(milliseconds{0}) == 128 + SIGKILL);
}

Test(port_allocator, gives_distinct_ports_below_the_ephemeral_range)
{
    const auto first = free_port();
    const auto second = free_port();
    cr_assert(first != second);
    cr_assert(first >= 10'000 && first < 32'000);
}
