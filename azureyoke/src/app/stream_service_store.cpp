// What stream_service keeps in the store; the rest is in stream_service.cpp.
#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "azureyoke/src/app/stream_service.h"
#include "azureyoke/src/state/to_json_text.h"

namespace azureyoke::app {

using coordination::duration;
using nlohmann::json;

namespace internal {
namespace {

constexpr transport::duration store_period = std::chrono::milliseconds(200);
constexpr transport::duration store_retry = std::chrono::milliseconds(500);
constexpr transport::duration unreadable_retry = std::chrono::seconds(10);
constexpr transport::duration streams_period = std::chrono::milliseconds(100);
/// Writes of all instances together, so that a large fleet leaves the store to others.
constexpr double stream_writes_per_second = 80;
/// Most streams in one record; a record may have 64 KiB.
constexpr std::size_t max_stored_streams = 1000;
/// Time for which stored streams are kept after a start.
constexpr duration stored_stream_time = std::chrono::seconds(30);
constexpr duration streams_retry = std::chrono::milliseconds(500);

/// Ids of streams by pool and version.
using stored_streams = std::map<std::string, std::map<std::string, std::vector<std::string>>>;

std::optional<stored_streams> parse_streams(const std::string& text) {
    try {
        return json::parse(text).get<stored_streams>();
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<coordination::version_sets> parse_versions(const std::string& text) {
    if (text.empty())
        return coordination::version_sets();
    try {
        return json::parse(text).get<coordination::version_sets>();
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace
} // namespace internal

void stream_service::read_streams() {
    transferring_streams_ = true;
    next_streams_ = loop_.now() + internal::streams_retry;
    records_.list(streams_prefix, [this](auto list) {
        transferring_streams_ = false;
        if (!list)
            return; // tick tries again
        streams_read_ = true;
        for (const auto& record : *list)
            keep_stored_streams(record, record.key == streams_prefix + settings_.instance);
    });
}

void stream_service::keep_stored_streams(const stored_record& record, bool as_own) {
    auto now = loop_.now();
    auto streams = internal::parse_streams(record.value);
    if (!streams) {
        log_.warn(event_id::platform_row_unreadable,
                  {{"row", record.key}, {"why", "must list streams by pool and version"}});
        return;
    }
    streams_stored_ = streams_stored_ || as_own;
    for (const auto& [pool, versions] : *streams) {
        for (const auto& [software, ids] : versions) {
            for (const auto& id : ids) {
                bindings_.add(id, {pool, software, now + internal::stored_stream_time}, now);
                if (as_own)
                    own_streams_.insert(id);
            }
        }
    }
}

void stream_service::write_streams() {
    internal::stored_streams streams;
    std::size_t count = 0;
    for (auto it = own_streams_.begin(); it != own_streams_.end();) {
        auto binding = bindings_.find(*it, loop_.now());
        if (!binding) {
            it = own_streams_.erase(it);
            continue;
        }
        if (has_several_versions(binding->pool) && ++count <= internal::max_stored_streams)
            streams[binding->pool][binding->software].push_back(*it);
        ++it;
    }
    if (streams.empty() && !streams_stored_)
        return;
    own_streams_changed_ = false;
    streams_stored_ = !streams.empty();
    transferring_streams_ = true;
    auto done = [this](auto result, const auto& /*version*/) {
        transferring_streams_ = false;
        if (result != coordination::write_result::written)
            own_streams_changed_ = true;
    };
    records_.write(streams_prefix + settings_.instance, std::nullopt,
                   state::to_json_text(json(streams)), done);
}

std::optional<coordination::version_sets>
stream_service::read_versions(const stored_record& record) const {
    auto stored = internal::parse_versions(record.value);
    if (!stored)
        log_.warn(event_id::platform_row_unreadable,
                  {{"row", record.key}, {"why", "must be an object of lists of versions"}});
    return stored;
}

void stream_service::read_stored() {
    storing_ = true;
    next_store_ = loop_.now() + internal::store_period;
    records_.read(software_versions_record, [this](auto record) {
        storing_ = false;
        if (!record) {
            next_store_ = loop_.now() + internal::store_retry;
            return; // tick tries again
        }
        auto stored = read_versions(*record);
        if (!stored) {
            next_store_ = loop_.now() + internal::unreadable_retry;
            return;
        }
        if (!versions_.complete())
            versions_.add_stored(*stored, loop_.now());
        stored_ = std::move(*stored);
        if (peers_.rank(loop_.now()) == 0 && *stored_ != versions_.all())
            write_stored(record->version);
    });
}

void stream_service::write_stored(const state::record_version& version) {
    storing_ = true;
    auto written = versions_.all();
    records_.write(software_versions_record, version, state::to_json_text(json(written)),
                   [this, written](auto result, const auto& /*version*/) {
                       storing_ = false;
                       if (result == coordination::write_result::written)
                           stored_ = written;
                       else
                           stored_.reset(); // somebody else wrote it, or it is not known
                   });
}

void stream_service::on_registry_era() {
    stored_.reset();
}

void stream_service::exchange_with_store() {
    auto now = loop_.now();
    auto instances = static_cast<double>(peers_.count(now).all);
    if (!transferring_streams_ && now >= next_streams_) {
        if (!streams_read_)
            read_streams();
        else if (own_streams_changed_ || (streams_stored_ && mixed_pools_.empty())) {
            write_streams();
            next_streams_ = now + std::max(internal::streams_period,
                                           coordination::from_seconds(
                                               instances / internal::stream_writes_per_second));
        }
    }
    if (storing_ || now < next_store_)
        return;
    bool leads = peers_.rank(now) == 0;
    if (!versions_.complete() || (leads && (!stored_ || *stored_ != versions_.all())))
        read_stored();
}

} // namespace azureyoke::app
