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
        // The instance that is not cut off owns the cell, and the other one
        // knows it: look-ups then need no store.
        for (auto* const one : {&well, &faulty})
        {
            one->start();
            cr_assert(wait_until(
                          [&]
                          {
                              return status(*one, "old") == 200 &&
                                     get(*one, "old", "/brief/") == 200;
                          },
                          milliseconds(20'000)),
                      "%s", one->log().c_str());
        }
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

    static auto headers_with(const std::string& key) -> httplib::Headers
    {
        httplib::Headers out{{"Host", soak::queue_host}};
        if (!key.empty())
        {
            out.emplace("Authorization", "Bearer " + key);
        }
        return out;
    }

    /// Status of a GET request, or 0 without an answer.
    static auto get(soak::instance_host& at, const std::string& key,
                    const std::string& target) -> int
    {
        httplib::Client client("127.0.0.1", at.caller_port());
        client.set_read_timeout(milliseconds(20'000));
        const auto answer = client.Get(target, headers_with(key));
        return answer ? answer->status : 0;
    }

    /// Status of a look-up after the job was submitted with the same key.
    static auto status(soak::instance_host& at, const std::string& key,
                       const std::string& path = "/brief/") -> int
    {
        httplib::Client client("127.0.0.1", at.caller_port());
        client.set_read_timeout(milliseconds(20'000));
        soak::step_facts step;
        step.need = {0, 500, 200, 0};
        step.estimate = milliseconds(50);
        const auto target = path + "00000000000000a1";
        static_cast<void>(client.Post(
            target, headers_with(key),
            soak::write_job("ms 50;queue brief;need 500 200", {step}),
            "application/json"));
        return get(at, key, target);
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
    const auto open = cell.status(cell.faulty, "", "/vetted/");
    cr_expect_eq(open, 200, "%d", open);
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

// Guards against a process that wakes and serves by what it knew before, while the
// new version is still on its way.
Test(workspace_keys, a_frozen_instance_does_not_serve_a_withdrawn_key)
{
    keyed_cell cell;
    testing::link_faults silent;
    silent.freeze = true;
    cell.faulty.link().set_faults(silent);
    cell.faulty.process().pause();
    cell.withdraw_and_wait();
    int first = 0;
    std::thread caller(
        [&]
        {
            first = cell.get(cell.faulty, "old", "/brief/00000000000000a1");
        });
    std::this_thread::sleep_for(milliseconds(200));
    cell.faulty.process().resume();
    caller.join();
    cr_expect_eq(first, 503, "%d", first);
    cell.faulty.link().clear_faults();
    for (int i = 0; i < 20; ++i)
    {
        const auto later = cell.status(cell.faulty, "old");
        cr_expect(later == 401 || later == 503, "%d", later);
    }
    cr_expect(wait_until(
        [&]
        {
            return cell.status(cell.faulty, "kept") == 200;
        },
        milliseconds(5'000)));
}
