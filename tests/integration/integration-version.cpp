/// @file
/// Checks that the built binary prints its version.
#include <criterion/criterion.h>

#include <cstdlib> // system

Test(binary, prints_its_version)
{
    cr_assert(std::system("build/pimentoshunt version >/dev/null") == 0);
}
