#include "azureyoke/src/app/stream_service.h"

#include <algorithm>
#include <utility>

#include "azureyoke/src/app/forward_rules.h"

namespace azureyoke::app {

using coordination::duration;

namespace internal {
namespace {

/// Peers that keep a binding: with three, all are lost with one in 23 if a third of all instances
/// is killed at once.
constexpr std::size_t keepers = 3;
/// A reply takes a round trip between data centres.
constexpr transport::duration question_timeout = std::chrono::milliseconds(150);
/// A caller that is refused later has little time left to come again.
constexpr transport::duration store_timeout = std::chrono::milliseconds(500);
/// Reads of all instances together, so that a large fleet leaves the store to others.
constexpr double store_reads_per_second = 100;
/// Callers take streams up again a little after their time, at most.
constexpr duration binding_slack = std::chrono::seconds(5);
/// The process was stopped if it did nothing for this long.
constexpr transport::duration stop_threshold = std::chrono::milliseconds(500);
/// Time after a stop in which the list of servers is updated.
constexpr transport::duration update_time = std::chrono::milliseconds(1500);

} // namespace
} // namespace internal

stream_service::stream_service(transport::event_loop& loop, const forward_settings& settings,
                               forward_state& state, peer_directory& peers,
                               server_list_reader& servers, record_store& records,
                               const event_log& log, metrics& measures)
    : loop_(loop), settings_(settings), state_(state), peers_(peers), records_(records), log_(log),
      measures_(measures),
      store_reader_(loop, servers, records, measures,
                    [this](const auto& found) { return on_store_content(found); }),
      bindings_({}) {}

bool stream_service::versions_are_current() const {
    auto now = loop_.now();
    return now - last_tick_ < internal::stop_threshold &&
           now - resumed_at_ >= internal::update_time;
}

void stream_service::start() {
    last_tick_ = loop_.now();
    read_stored();
    read_streams();
}

void stream_service::on_fleet_changed() {
    if (state_.policy.policy == nullptr)
        return;
    auto now = loop_.now();
    for (const auto& [pool, lifetime] : stream_lifetimes(*state_.policy.policy)) {
        std::set<std::string> present;
        for (const auto& [id, it] : state_.directory.all()) {
            if (it.pool == pool)
                present.insert(it.software);
        }
        versions_.set_present(pool, present, lifetime + internal::binding_slack, now);
    }
    tick();
}

bool stream_service::has_several_versions(const std::string& pool) const {
    return versions_.of(pool).size() > 1;
}

void stream_service::tick() {
    auto now = loop_.now();
    if (now - last_tick_ >= internal::stop_threshold)
        resumed_at_ = now;
    last_tick_ = now;
    versions_.expire(now);
    bindings_.expire(now);
    if (own_streams_.size() > bindings_.all().size())
        std::erase_if(own_streams_,
                      [&](const auto& stream) { return !bindings_.all().contains(stream); });
    for (const auto& [pool, versions] : versions_.all()) {
        if (versions.size() < 2) {
            mixed_pools_.erase(pool);
            continue;
        }
        if (!mixed_pools_.insert(pool).second)
            continue;
        std::vector<kept_stream> streams;
        for (const auto& [stream, binding] : bindings_.all()) {
            if (binding.pool == pool)
                streams.push_back({stream, binding});
        }
        hand_over(streams, {});
        own_streams_changed_ = true;
    }
    exchange_with_store();
}

void stream_service::hand_over(const std::vector<kept_stream>& streams,
                               const std::string& without) {
    auto now = loop_.now();
    auto names = peers_.live(now);
    std::erase(names, without);
    std::map<std::string, std::vector<kept_stream>> by_keeper;
    for (const auto& it : streams) {
        for (auto& keeper : coordination::choose_keepers(names, it.stream, internal::keepers))
            by_keeper[keeper].push_back(it);
    }
    by_keeper.erase(settings_.instance);
    for (const auto& [keeper, kept] : by_keeper) {
        auto to = peers_.address_of(keeper);
        if (!to)
            continue;
        for (const auto& bytes : to_messages(kept, now, transport::max_datagram_bytes))
            peers_.send(*to, bytes);
    }
}

void stream_service::leave() {
    std::vector<kept_stream> streams;
    for (const auto& [stream, binding] : bindings_.all()) {
        if (has_several_versions(binding.pool))
            streams.push_back({stream, binding});
    }
    hand_over(streams, settings_.instance);
}

void stream_service::on_begun(const std::string& stream, const std::string& pool,
                              const std::string& software, duration remaining) {
    auto now = loop_.now();
    coordination::stream_binding binding{pool, software, now + remaining + internal::binding_slack};
    bindings_.add(stream, binding, now);
    own_streams_.insert(stream);
    if (!has_several_versions(pool))
        return;
    own_streams_changed_ = true;
    hand_over({{stream, binding}}, {});
}

void stream_service::on_uncertain(const std::string& stream, const std::string& pool) {
    auto now = loop_.now();
    auto known = bindings_.find(stream, now);
    if (!known || known->pool != pool)
        return;
    coordination::stream_binding uncertain{pool, coordination::uncertain_software, known->until};
    bindings_.add(stream, uncertain, now);
    own_streams_changed_ = true;
    if (has_several_versions(pool))
        hand_over({{stream, uncertain}}, {});
}

void stream_service::on_complete(const std::string& stream) {
    bindings_.remove(stream);
    own_streams_.erase(stream);
}

void stream_service::find(const std::string& stream, const std::string& pool, handler done) {
    auto now = loop_.now();
    auto number = next_number_++;
    auto& pending = pending_[number];
    pending.pool = pool;
    pending.stream = stream;
    pending.done = std::move(done);
    if (!versions_are_current()) {
        end_question(number, {std::nullopt, "the servers' software versions may be old here", true},
                     "old view");
        return;
    }
    auto known = bindings_.find(stream, now);
    if (known && known->pool == pool) {
        end_known(number, known->software);
        return;
    }
    pending.known.versions = versions_.of(pool);
    pending.known.complete = versions_.complete();
    auto names = peers_.live(now);
    std::erase(names, settings_.instance);
    auto asked = coordination::choose_keepers(names, stream, internal::keepers);
    pending.awaited = asked.size();
    if (asked.empty()) {
        decide_unknown(number);
        return;
    }
    pending.timeout =
        loop_.after(internal::question_timeout, [this, number] { decide_unknown(number); });
    auto bytes =
        to_bytes(stream_question{transport::to_string(settings_.peers), number, stream, pool}, now);
    for (const auto& name : asked) {
        if (auto to = peers_.address_of(name))
            peers_.send(*to, bytes);
    }
}

void stream_service::end_question(std::uint64_t number, const answer& made, const char* result) {
    auto node = pending_.extract(number);
    if (node.empty())
        return;
    measures_.count("azureyoke_stream_questions_total", "result", result);
    node.mapped().done(made);
}

void stream_service::end_known(std::uint64_t number, const std::string& software) {
    if (software == coordination::uncertain_software)
        end_question(number, {std::nullopt, "the stream's software version is uncertain", false},
                     "uncertain");
    else
        end_question(number, {software, {}, false}, "known");
}

void stream_service::decide_unknown(std::uint64_t number) {
    using coordination::stream_decision;
    using coordination::stream_evidence;
    auto found = pending_.find(number);
    if (found == pending_.end())
        return;
    const auto& it = found->second;
    bool store_failed = it.known.store == stream_evidence::store_read::failed;
    switch (coordination::decide(it.known)) {
    case stream_decision::go_on:
        end_question(number, {*it.known.versions.begin(), {}, false}, "one version");
        break;
    case stream_decision::read_store:
        ask_store(number);
        break;
    case stream_decision::wait:
        break;
    case stream_decision::unanswered:
        end_question(number,
                     {std::nullopt,
                      "neither a peer nor the store replied about the stream (" +
                          std::to_string(it.awaited) + " peers asked)",
                      true},
                     "unanswered");
        break;
    case stream_decision::unknown_begin:
        end_question(number,
                     {std::nullopt,
                      "the software version that the stream began on is not known (" +
                          std::to_string(it.known.versions.size()) + " versions, " +
                          std::to_string(it.known.replies) + " of " + std::to_string(it.awaited) +
                          " peers replied, store " + (store_failed ? "not read" : "read") + ")",
                      store_failed || !it.known.complete},
                     "unknown");
        break;
    }
}

void stream_service::ask_store(std::uint64_t number) {
    auto& it = pending_.at(number);
    it.known.store = coordination::stream_evidence::store_read::under_way;
    it.timeout =
        loop_.after(internal::store_timeout, [this, number] { on_store_read(number, false); });
    auto instances = static_cast<double>(peers_.count(loop_.now()).all);
    auto period = coordination::from_seconds(instances / internal::store_reads_per_second);
    store_reader_.read(period, [this, number](bool done) { on_store_read(number, done); });
}

bool stream_service::on_store_content(const stream_store_reader::content& found) {
    auto stored = read_versions(found.versions);
    if (!stored)
        return false;
    if (!versions_.complete())
        versions_.add_stored(*stored, loop_.now());
    versions_in_store_ = std::move(*stored);
    for (const auto& record : found.streams)
        keep_stored_streams(record, false);
    return true;
}

void stream_service::on_store_read(std::uint64_t number, bool done) {
    auto found = pending_.find(number);
    if (found == pending_.end())
        return;
    auto& it = found->second;
    it.known.store = done ? coordination::stream_evidence::store_read::done
                          : coordination::stream_evidence::store_read::failed;
    if (done) {
        auto binding = bindings_.find(it.stream, loop_.now());
        if (binding && binding->pool == it.pool) {
            end_known(number, binding->software);
            return;
        }
        it.known.complete = true;
        it.known.versions.merge(versions_.of(it.pool));
        if (auto stored = versions_in_store_.find(it.pool); stored != versions_in_store_.end())
            it.known.versions.insert(stored->second.begin(), stored->second.end());
    }
    decide_unknown(number);
}

void stream_service::on_question(const stream_question& question) {
    auto reply_to = transport::parse_address(question.reply_to);
    if (!reply_to)
        return;
    auto now = loop_.now();
    stream_reply reply{question.number, {}, versions_.of(question.pool), versions_.complete()};
    auto known = bindings_.find(question.stream, now);
    if (known && known->pool == question.pool)
        reply.software = known->software;
    peers_.send(*reply_to, to_bytes(reply, now));
}

void stream_service::on_reply(const stream_reply& reply) {
    auto found = pending_.find(reply.number);
    if (found == pending_.end())
        return;
    auto& it = found->second;
    if (reply.software) {
        end_known(reply.number, *reply.software);
        return;
    }
    it.known.versions.insert(reply.versions.begin(), reply.versions.end());
    it.known.complete = it.known.complete || reply.complete;
    // A reply may come late, while the store is read.
    bool reads_store = it.known.store != coordination::stream_evidence::store_read::not_begun;
    if (++it.known.replies == it.awaited || reads_store)
        decide_unknown(reply.number);
}

bool stream_service::on_datagram(std::string_view bytes) {
    auto now = loop_.now();
    auto message = parse_stream_message(bytes, now);
    if (!message)
        return false;
    if (const auto* kept = std::get_if<streams_to_keep>(&*message)) {
        for (const auto& it : kept->streams)
            bindings_.add(it.stream, it.binding, now);
    } else if (const auto* question = std::get_if<stream_question>(&*message)) {
        on_question(*question);
    } else {
        on_reply(std::get<stream_reply>(*message));
    }
    return true;
}

} // namespace azureyoke::app
