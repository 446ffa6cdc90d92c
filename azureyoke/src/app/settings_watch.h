#pragma once

#include <functional>
#include <memory>
#include <string>

#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// \brief Notices that a settings file has other content than before, with or without a signal.
/// Not thread safe.
class settings_watch {
public:
    /// How soon a change without a signal is noticed.
    static constexpr transport::duration default_period = std::chrono::seconds(1);

    /// \brief `text` is what was read at the start; `on_text` gets what the file holds now.
    settings_watch(transport::event_loop& loop, std::string file, std::string text,
                   std::function<void(const std::string&)> on_text,
                   transport::duration period = default_period);

    /// \brief Reads the file now and calls back even when nothing has changed.
    void read_now();

private:
    void look();

    std::string file_;
    std::string text_;
    std::function<void(const std::string&)> on_text_;
    std::unique_ptr<transport::timer> timer_;
};

} // namespace azureyoke::app
