#include "cases.hpp"

#include <csignal>
#include <cstdlib>
#include <cstring>

auto main(int argc, char** argv) -> int
{
    using namespace review;
    if (argc != 4)
    {
        std::fprintf(stderr, "use: %s CASE PROGRAM RECORD\n", argv[0]);
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const auto* trouble = std::getenv("TROUBLE");
    const options chosen{argv[2],
                         trouble == nullptr || std::strcmp(trouble, "0") != 0};
    record seen(argv[3]);
    seen.say(std::string("case ") + argv[1] +
             (chosen.trouble ? ", with the disruption"
                             : ", without the disruption"));
    const std::string name = argv[1];
    int out = 2;
    if (name == "failing-machine")
    {
        out = failing_machine(chosen, seen);
    }
    else if (name == "same-id")
    {
        out = same_id(chosen, seen);
    }
    else if (name == "brief-life")
    {
        out = brief_life(chosen, seen);
    }
    else if (name == "failing-service")
    {
        out = failing_service(chosen, seen);
    }
    seen.say(out == 1   ? "the rule was broken"
             : out == 0 ? "the rule held"
                        : "the case could not run");
    return out;
}
