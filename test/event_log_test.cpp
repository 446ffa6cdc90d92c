// Guards against events that differ from docs/EVENTS.md and against a stalled log reader that
// blocks the instance.
#include "azureyoke/src/app/event_log.h"

#include <fstream>
#include <regex>
#include <set>
#include <string>

#include <array>

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

using namespace azureyoke;

Test(event_log, documented_events_match_the_code) {
    std::set<std::string> in_code;
    for (const auto& it : app::event_catalogue())
        in_code.insert(std::to_string(static_cast<int>(it.id)) + " " + it.name);
    std::set<std::string> in_docs;
    std::ifstream page(std::string(AZUREYOKE_SOURCE) + "/docs/EVENTS.md");
    cr_assert(page.good());
    const std::regex row(R"(^\| (\d{4}) \| ([a-z_]+) \|.*)");
    std::string line;
    std::smatch found;
    while (std::getline(page, line)) {
        if (std::regex_match(line, found, row))
            in_docs.insert(found[1].str() + " " + found[2].str());
    }
    cr_assert_gt(in_docs.size(), 20U);
    cr_assert(in_code == in_docs);
}

namespace {

/// Redirects an output of the process to a pipe that is read only by `read_all`.
class stalled_output {
public:
    explicit stalled_output(int fd) {
        std::array<int, 2> ends{};
        cr_assert_eq(pipe(ends.data()), 0);
        cr_assert_geq(dup2(ends[1], fd), 0);
        close(ends[1]);
        read_end_ = ends[0];
        (void)fcntl(read_end_, F_SETFL, O_NONBLOCK);
    }

    /// \returns all bytes in the pipe.
    std::string read_all() const {
        std::string text;
        std::array<char, 4096> buf{};
        for (auto n = read(read_end_, buf.data(), buf.size()); n > 0;
             n = read(read_end_, buf.data(), buf.size()))
            text.append(buf.data(), static_cast<std::size_t>(n));
        return text;
    }

private:
    int read_end_ = -1;
};

void expect_no_writer_blocked(int fd, app::log_stream target) {
    stalled_output output(fd);
    app::start_logging(target);
    app::event_log log("i-1");
    constexpr int lines_beyond_pipe_capacity = 20'000;
    for (int i = 0; i < lines_beyond_pipe_capacity; ++i)
        log.write(app::event_id::request_finished, {{"request", "before"}});
    cr_assert_neq(output.read_all().find("before"), std::string::npos);
    log.write(app::event_id::request_finished, {{"request", "after"}});
    auto text = output.read_all();
    // A line truncated during the stall may precede the line "after".
    cr_assert_neq(text.find("\"after\""), std::string::npos, "%s", text.c_str());
    cr_assert(text.ends_with("\n"));
}

} // namespace

Test(event_log, stalled_reader_of_the_output_blocks_no_writer_and_gets_later_lines, .timeout = 60) {
    expect_no_writer_blocked(STDOUT_FILENO, app::log_stream::output);
}

Test(event_log, stalled_reader_of_errors_blocks_no_writer_and_gets_later_lines, .timeout = 60) {
    expect_no_writer_blocked(STDERR_FILENO, app::log_stream::error);
}
