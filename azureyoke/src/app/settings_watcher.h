#pragma once

#include <functional>
#include <memory>
#include <string>

#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// \brief Detects changes of a settings file by polling, or on demand, for instance on a signal.
/// Not thread safe.
class settings_watcher {
public:
    /// Longest delay until a change is detected without a signal.
    static constexpr transport::duration default_period = std::chrono::seconds(1);

    /// \brief `text` is the content read at the start; `on_text` receives each later content.
    settings_watcher(transport::event_loop& loop, std::string file, std::string text,
                     std::function<void(const std::string&)> on_text,
                     transport::duration period = default_period);

    /// \brief Reads the file now and calls `on_text` even if the content has not changed. The text
    /// is empty if the file cannot be read.
    void read_now();

private:
    void check_file();

    std::string file_;
    std::string last_content_;
    std::function<void(const std::string&)> on_text_;
    std::unique_ptr<transport::timer> timer_;
};

} // namespace azureyoke::app
