// Runs one test: main SCENARIO RECORD. Exit status 1: the rule was broken, 0: it
// held, 2: the test couldn't run. TROUBLE=0 leaves the disruption out.
#include "world.hh"

#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>

#include <filesystem>
#include <iostream>

namespace review
{

auto run_backlog(world& at, bool trouble) -> int;
auto run_growth(world& at, bool trouble) -> int;

namespace
{

using test = std::function<int(world&, bool)>;

auto tests() -> const std::map<std::string, test>&
{
    static const std::map<std::string, test> all{{"backlog", run_backlog},
                                                 {"growth", run_growth}};
    return all;
}

} // namespace

} // namespace review

auto main(int argc, char** argv) -> int
{
    using namespace review;
    if (argc < 3)
    {
        return 2;
    }
    const std::string what = argv[1];
    const char* const setting = ::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    char folder[] = "/tmp/review-2-XXXXXX";
    if (::mkdtemp(folder) == nullptr)
    {
        return 2;
    }
    int status = 2;
    try
    {
        world at(folder, argv[2]);
        at.note("test " + what + ", trouble " + (trouble ? "1" : "0"));
        const auto found = tests().find(what);
        status = found == tests().end() ? 2 : found->second(at, trouble);
        at.note("exit status " + std::to_string(status));
        at.stop_all();
        std::filesystem::remove_all(folder);
        // The stand-ins' thread still serves: the world isn't taken down.
        std::_Exit(status);
    }
    catch (const std::exception& fault)
    {
        std::cerr << fault.what() << "\n";
    }
    return status;
}
