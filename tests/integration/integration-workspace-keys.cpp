/// @file
/// Keys of workspaces with real instances, each with its own link to the store:
/// one that is cut off, and one that is frozen, while a key is withdrawn.
#include "soak/instance_host.hpp"
#include "soak/platform.hpp"
#include "support/wait_until.hpp"

#include <criterion/criterion.h>
#include <criterion/logging.h>
#include <httplib.h>

#include <cstdlib>    // getenv, mkdtemp
#include <filesystem> // read_symlink, remove_all
#include <string>     // string
#include <thread>     // sleep_for

using namespace pimentoshunt;
using testing::wait_until;

namespace
{

constexpr milliseconds revocation_time{5'000};
constexpr milliseconds apply_time{3'000};

auto make_folder() -> std::string
{
    std::string path = "/tmp/pimentoshunt-keys-XXXXXX";
    cr_assert(::mkdtemp(path.data()) != nullptr);
    return path;
}

auto product_path() -> std::string
{
    const auto* const build = std::getenv("PIMENTOSHUNT_BUILD");
    return (build == nullptr ? std::filesystem::read_symlink("/proc/self/exe")
                                   .parent_path()
                                   .string()
                             : std::string(build)) +
           "/pimentoshunt";
}

/// Two instances, of which the second one meets the fault.
struct keyed_cell
{
    const std::string folder = make_folder();
    soak::platform platform{2, 1};
    soak::instance_host well{0, options()};
    soak::instance_host faulty{1, options()};

    keyed_cell()
    {
        configure(8, {"old", "kept"});
        well.start();
        faulty.start();
        cr_assert(wait_until(
                      [this]
                      {
                          return status(well, "old") == 200 &&
                                 status(faulty, "old") == 200;
                      },
                      milliseconds(20'000)),
                  "%s", faulty.log().c_str());
    }

    ~keyed_cell()
    {
        well.process().kill();
        faulty.process().kill();
        std::filesystem::remove_all(folder);
    }

    keyed_cell(const keyed_cell&) = delete;
    auto operator=(const keyed_cell&) -> keyed_cell& = delete;

    auto options() const -> soak::host_options
    {
        soak::host_options out;
        out.binary = product_path();
        out.folder = folder;
        out.store_port = platform.store_port();
        out.approval_port = platform.approval_port();
        out.credential_max_age = revocation_time;
        out.configuration_max_age = apply_time;
        return out;
    }

    auto configure(std::uint64_t version, std::vector<std::string> keys) -> void
    {
        auto queues = soak::soak_queues();
        queues.back().is_public = true;
        platform.configure(soak::write_configuration(
            queues, version,
            std::vector<soak::workspace_facts>{{"a", std::move(keys)}}));
    }

    /// Status of a look-up of a job that is there, or 0 without an answer.
    auto status(soak::instance_host& at, const std::string& key,
                const std::string& path = "/brief/") -> int
    {
        httplib::Client client("127.0.0.1", at.caller_port());
        client.set_read_timeout(milliseconds(20'000));
        httplib::Headers headers{{"Host", soak::queue_host}};
        if (!key.empty())
        {
            headers.emplace("Authorization", "Bearer " + key);
        }
        soak::step_facts step;
        step.need = {0, 500, 200, 0};
        step.estimate = milliseconds(50);
        const auto target = path + "00000000000000a1";
        static_cast<void>(client.Post(
            target, headers,
            soak::write_job("ms 50;queue brief;need 500 200", {step}),
            "application/json"));
        const auto answer = client.Get(target, headers);
        return answer ? answer->status : 0;
    }

    /// Withdraws a key and lets the time pass in which it may still be used.
    auto withdraw_and_wait() -> void
    {
        configure(9, {"kept"});
        std::this_thread::sleep_for(revocation_time + milliseconds(100));
    }
};

} // namespace

// Guards against withdrawn keys that stay valid at an instance that can't know
// of it, and against one that then refuses everything.
Test(workspace_keys, an_instance_cut_from_the_store_refuses_calls_with_keys)
{
    keyed_cell cell;
    cr_expect_eq(cell.status(cell.faulty, "never"), 401);
    cr_expect_eq(cell.status(cell.faulty, ""), 401);
    testing::link_faults cut;
    cut.cut = true;
    cell.faulty.link().set_faults(cut);
    cell.withdraw_and_wait();
    cr_expect_eq(cell.status(cell.faulty, "old"), 503);
    cr_expect_eq(cell.status(cell.faulty, "kept"), 503);
    cr_expect_eq(cell.status(cell.faulty, "", "/vetted/"), 200);
    cr_expect_not(cell.faulty.is_ready());
    cr_expect_eq(cell.status(cell.well, "old"), 401);
    cr_expect_eq(cell.status(cell.well, "kept"), 200);
    cell.faulty.link().clear_faults();
    cr_expect(wait_until(
        [&]
        {
            return cell.status(cell.faulty, "kept") == 200;
        },
        milliseconds(5'000)));
    cr_expect_eq(cell.status(cell.faulty, "old"), 401);
    for (const auto* const key : {"never", "old", "kept"})
    {
        cr_expect_eq(cell.faulty.log().find(key + std::string("\"")),
                     std::string::npos, "a key in the log");
    }
}

// Guards against a process that wakes and serves by what it knew before.
Test(workspace_keys, a_frozen_instance_does_not_serve_a_withdrawn_key)
{
    keyed_cell cell;
    cell.faulty.process().pause();
    cell.withdraw_and_wait();
    std::vector<int> seen;
    std::thread caller(
        [&]
        {
            for (int i = 0; i < 20; ++i)
            {
                seen.push_back(cell.status(cell.faulty, "old"));
            }
        });
    std::this_thread::sleep_for(milliseconds(200));
    cell.faulty.process().resume();
    caller.join();
    for (const auto status : seen)
    {
        cr_expect(status == 401 || status == 503, "%d", status);
    }
    cr_expect(wait_until(
        [&]
        {
            return cell.status(cell.faulty, "kept") == 200;
        },
        milliseconds(5'000)));
}
