/// @file
/// The table of subcommands and their help texts.
#include <pimentoshunt/cli/command.hpp>

namespace pimentoshunt::cli
{

auto commands() -> const std::vector<command>&
{
    static const std::vector<command> all = {
        {"serve",
         "",
         "run one instance until SIGTERM",
         "Reads the settings, serves callers, operators and other instances.\n"
         "SIGTERM begins a graceful stop: work in flight is finished.",
         {"settings"},
         detail::run_serve},
        {"cell",
         "",
         "run one instance of a cell on the users' platform until SIGTERM",
         "Reads the settings, accepts jobs, and schedules them while it owns\n"
         "the cell. SIGHUP reads the settings again. SIGTERM begins a\n"
         "graceful stop: the cell is handed over and answers in progress are\n"
         "finished.",
         {"settings"},
         detail::run_cell},
        {"check",
         "plan|settings|cell FILE",
         "find every fault of a plan or of settings, without a server",
         "FILE may be - for the standard input. Exit code 1 if faults are "
         "found.",
         {},
         detail::run_check},
        {"get",
         "",
         "print the plan in force",
         "The text goes to the standard output, byte for byte as it was\n"
         "applied; its revision and where it is in force go to the standard\n"
         "error stream.",
         {"server", "timeout_ms"},
         detail::run_get},
        {"diff",
         "FILE [FILE]",
         "show what a plan would change",
         "With one file, against the plan in force; with two, from the first\n"
         "to the second, without a server.",
         {"server", "timeout_ms"},
         detail::run_diff},
        {"apply",
         "FILE",
         "put a plan in force",
         "Give the revision that you edited with --revision. If another\n"
         "operator has changed the plan since, the command only prints those\n"
         "changes and returns exit code 4. If an answer is lost, the command\n"
         "finds out whether the plan was accepted.",
         {"server", "timeout_ms", "revision"},
         detail::run_apply},
        {"status",
         "",
         "show instances, workers and queues",
         "As known to the instance that --server names.",
         {"server", "timeout_ms", "all"},
         detail::run_status},
        {"drain",
         "",
         "give a worker no new work, or stop an instance gracefully",
         "Needs --worker or --instance.",
         {"server", "timeout_ms", "worker", "instance"},
         detail::run_drain},
        {"jobs",
         "list | show ID | submit WORKLOAD [FILE] | cancel ID",
         "submit, look up and cancel batch and gang jobs",
         "FILE is the job's input, - for the standard input. A repeated\n"
         "submission with the same --key creates no second job.",
         {"server", "timeout_ms", "key"},
         detail::run_jobs},
        {"version", "", "print the version", "", {}, detail::run_version},
    };
    return all;
}

} // namespace pimentoshunt::cli
