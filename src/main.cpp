/// @file
/// Entry point of the program.
#include <pimentoshunt/cli/run.hpp>
#include <pimentoshunt/serve.hpp>

#include <iostream> // cout, cerr
#include <string>   // string
#include <vector>   // vector

auto main(int argc, char** argv) -> int
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return pimentoshunt::cli::run(arguments, {std::cout, std::cerr},
                                  pimentoshunt::serve);
}
