// Guards against changed settings that go undetected, and against a briefly missing file that is
// reported as a change.
#include "azureyoke/src/app/settings_watcher.h"

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
    std::vector<std::string> contents;

    watch_fixture() { write("one"); }

    ~watch_fixture() { std::filesystem::remove(file); }

    watch_fixture(const watch_fixture&) = delete;
    watch_fixture& operator=(const watch_fixture&) = delete;
    watch_fixture(watch_fixture&&) = delete;
    watch_fixture& operator=(watch_fixture&&) = delete;

    void write(const std::string& text) const { std::ofstream(file) << text; }

    app::settings_watcher watch() {
        return {loop, file, "one", [this](const auto& text) { contents.push_back(text); },
                std::chrono::milliseconds(5)};
    }

    void run_turns(int n) {
        for (int i = 0; i < n; ++i)
            loop.run_once(true);
    }
};

} // namespace

Test(settings_watcher, change_without_a_signal_is_detected_and_reported_once) {
    watch_fixture it;
    auto watch = it.watch();
    it.run_turns(3);
    cr_assert(it.contents.empty());
    it.write("two");
    it.run_turns(3);
    cr_assert(it.contents == std::vector<std::string>{"two"});
}

Test(settings_watcher, briefly_missing_file_changes_nothing) {
    watch_fixture it;
    auto watch = it.watch();
    std::filesystem::remove(it.file);
    it.run_turns(3);
    it.write("one");
    it.run_turns(3);
    cr_assert(it.contents.empty());
}

Test(settings_watcher, read_now_reports_unchanged_content) {
    watch_fixture it;
    auto watch = it.watch();
    watch.read_now();
    cr_assert(it.contents == std::vector<std::string>{"one"});
}
