#include "azureyoke/src/app/settings_watch.h"

#include "azureyoke/src/app/commands.h"

namespace azureyoke::app {

settings_watch::settings_watch(transport::event_loop& loop, std::string file, std::string text,
                               std::function<void(const std::string&)> on_text,
                               transport::duration period)
    : file_(std::move(file)), text_(std::move(text)), on_text_(std::move(on_text)),
      timer_(loop.every(period, [this] { look(); })) {}

void settings_watch::look() {
    // A file that can't be read is being replaced: what it held stays in force.
    auto text = read_file(file_);
    if (!text || *text == text_)
        return;
    text_ = *text;
    on_text_(text_);
}

void settings_watch::read_now() {
    auto text = read_file(file_);
    text_ = text.value_or(std::string());
    on_text_(text_);
}

} // namespace azureyoke::app
