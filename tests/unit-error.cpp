/// @file
/// Test of the format of error messages.
#include <pimentoshunt/error.hpp>

#include <criterion/criterion.h>

using pimentoshunt::error;
using pimentoshunt::error_kind;

Test(error, message_contains_kind_location_and_remedy)
{
    const error e{error_kind::plan, 201, "/workspaces/0", "unknown key",
                  "remove it"};
    cr_assert(e.message() ==
              "[plan.201] at /workspaces/0: unknown key; remedy: remove it");
}
