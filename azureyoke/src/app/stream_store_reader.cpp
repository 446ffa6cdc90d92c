#include "azureyoke/src/app/stream_store_reader.h"

#include <utility>

namespace azureyoke::app {

struct stream_store_reader::round {
    std::vector<handler> handlers;
    content found;
    int pending = 3; ///< Calls without an answer.
    bool failed = false;
};

stream_store_reader::stream_store_reader(transport::event_loop& loop, server_list_reader& servers,
                                         record_store& records, metrics& measures,
                                         content_handler on_content)
    : loop_(loop), servers_(servers), records_(records), measures_(measures),
      on_content_(std::move(on_content)) {}

void stream_store_reader::read(transport::duration min_period, handler done) {
    waiting_.push_back(std::move(done));
    min_period_ = min_period;
    begin_when_due();
}

void stream_store_reader::begin_when_due() {
    if (waiting_.empty() || round_ != nullptr || begin_timer_ != nullptr)
        return;
    auto now = loop_.now();
    if (now >= next_begin_) {
        begin();
        return;
    }
    begin_timer_ = loop_.after(next_begin_ - now, [this] {
        begin_timer_.reset();
        begin();
    });
}

void stream_store_reader::begin() {
    next_begin_ = loop_.now() + min_period_;
    round_ = std::make_shared<round>();
    round_->handlers = std::exchange(waiting_, {});
    auto current = round_;
    servers_.read_changes([this, current](bool done) {
        current->failed = current->failed || !done;
        end(*current);
    });
    records_.read(software_versions_record, [this, current](auto record) {
        current->failed = current->failed || !record;
        if (record)
            current->found.versions = std::move(*record);
        end(*current);
    });
    records_.list(streams_prefix, [this, current](auto list) {
        current->failed = current->failed || !list;
        if (list)
            current->found.streams = std::move(*list);
        end(*current);
    });
}

void stream_store_reader::end(round& finished) {
    if (--finished.pending > 0)
        return;
    round_.reset();
    bool usable = !finished.failed && on_content_(finished.found);
    measures_.count("azureyoke_stream_store_reads_total", "result", usable ? "done" : "failed");
    for (const auto& done : finished.handlers)
        done(usable);
    begin_when_due();
}

} // namespace azureyoke::app
