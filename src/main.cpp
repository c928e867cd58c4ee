#include <pimentoshunt/serve.hpp>

#include <gflags/gflags.h>

#include <cstdio>   // puts
#include <fstream>  // ifstream
#include <iterator> // istreambuf_iterator
#include <string>   // string

DEFINE_string(settings, "", "file with the settings of this instance");

namespace
{

auto read_file(const std::string& name) -> std::string
{
    std::ifstream in(name);
    return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace

auto main(int argc, char** argv) -> int
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2 || std::string(argv[1]) != "serve")
    {
        std::puts("pimentoshunt " PIMENTOSHUNT_VERSION);
        return 0;
    }
    return pimentoshunt::handle(
        [&]() -> pimentoshunt::result<int>
        {
            BOOST_LEAF_AUTO(config, pimentoshunt::parse_settings(
                                        read_file(FLAGS_settings)));
            return pimentoshunt::serve(config);
        },
        [](const pimentoshunt::error& fault)
        {
            std::fprintf(stderr, "%s\n", fault.message().c_str());
            return 1;
        });
}
