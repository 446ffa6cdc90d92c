#include "azureyoke/src/app/settings_watch.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <vector>

#include <criterion/criterion.h>
#include <unistd.h>

using namespace azureyoke;

namespace {

struct watch_fixture {
    transport::event_loop loop;
    std::string file = (std::filesystem::temp_directory_path() /
                        ("azureyoke-settings-" + std::to_string(getpid())))
                           .string();
    std::vector<std::string> seen;

    watch_fixture() { write("one"); }

    ~watch_fixture() { std::filesystem::remove(file); }

    watch_fixture(const watch_fixture&) = delete;
    watch_fixture& operator=(const watch_fixture&) = delete;
    watch_fixture(watch_fixture&&) = delete;
    watch_fixture& operator=(watch_fixture&&) = delete;

    void write(const std::string& text) const { std::ofstream(file) << text; }

    app::settings_watch watch() {
        return {loop, file, "one", [this](const auto& text) { seen.push_back(text); },
                std::chrono::milliseconds(5)};
    }

    void turns(int n) {
        for (int i = 0; i < n; ++i)
            loop.turn(true);
    }
};

} // namespace

Test(settings_watch, changed_file_is_noticed_without_a_signal_and_told_once) {
    watch_fixture it;
    auto watch = it.watch();
    it.turns(3);
    cr_assert(it.seen.empty());
    it.write("two");
    it.turns(3);
    cr_assert(it.seen == std::vector<std::string>{"two"});
}

Test(settings_watch, file_that_is_away_for_a_moment_changes_nothing) {
    watch_fixture it;
    auto watch = it.watch();
    std::filesystem::remove(it.file);
    it.turns(3);
    it.write("one");
    it.turns(3);
    cr_assert(it.seen.empty());
}

Test(settings_watch, reading_on_a_signal_tells_also_what_has_not_changed) {
    watch_fixture it;
    auto watch = it.watch();
    watch.read_now();
    cr_assert(it.seen == std::vector<std::string>{"one"});
}
