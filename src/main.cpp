#include <cstdio> // puts

auto main() -> int
{
    std::puts("pimentoshunt " PIMENTOSHUNT_VERSION);
    return 0;
}
