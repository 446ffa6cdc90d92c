#include "azureyoke/src/app/settings_watcher.h"

#include "azureyoke/src/app/commands.h"

namespace azureyoke::app {

settings_watcher::settings_watcher(transport::event_loop& loop, std::string file, std::string text,
                                   std::function<void(const std::string&)> on_text,
                                   transport::duration period)
    : file_(std::move(file)), last_content_(std::move(text)), on_text_(std::move(on_text)),
      timer_(loop.every(period, [this] { check_file(); })) {}

void settings_watcher::check_file() {
    // A file that cannot be read is being replaced: its last content stays in force.
    auto text = read_file(file_);
    if (!text || *text == last_content_)
        return;
    last_content_ = *text;
    on_text_(last_content_);
}

void settings_watcher::read_now() {
    auto text = read_file(file_);
    last_content_ = text.value_or(std::string());
    on_text_(last_content_);
}

} // namespace azureyoke::app
