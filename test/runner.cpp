#include <cstdio>
#include <iostream>
#include <unistd.h>

#include <criterion/criterion.h>

/// Runs the tests as Criterion's own main does, but exits without the leak check: Criterion itself
/// sometimes leaks memory in the runner process, which the leak checker would report. Every test
/// runs in a separate process, and a leak there still fails the test.
int main(int argc, char** argv) {
    auto* tests = criterion_initialize();
    int code = 0;
    if (criterion_handle_args(argc, argv, true) != 0)
        code = criterion_run_all_tests(tests) != 0 ? 0 : 1;
    criterion_finalize(tests);
    std::cout.flush();
    std::cerr.flush();
    std::fflush(nullptr);
    _exit(code);
}
