#include "azureyoke/src/app/peer_mesh.h"

#include <algorithm>

namespace azureyoke::app {

namespace internal {
namespace {

constexpr transport::duration tick_period = std::chrono::milliseconds(25);
constexpr transport::duration link_retry = std::chrono::milliseconds(500);
constexpr std::size_t max_pending_queries = 64;

event_id event_of(state::member_status status) {
    switch (status) {
    case state::member_status::alive:
        return event_id::member_joined;
    case state::member_status::suspect:
        return event_id::member_suspected;
    case state::member_status::dead:
    case state::member_status::left:
        break;
    }
    return event_id::member_removed;
}

/// Passes a message to the handler for its kind.
struct message_dispatcher {
    peer_listener& listener;
    const std::string& from;
    const std::function<void(protocol::peer_message)>& answer;
    const std::function<void(std::uint64_t)>& on_confirmed;

    void operator()(const state::loan_request& it) const { listener.on_share_message(from, it); }

    void operator()(const state::token_loan& it) const { listener.on_share_message(from, it); }

    void operator()(const state::loan_refund& it) const { listener.on_share_message(from, it); }

    void operator()(const state::dispatch_notice& it) const { listener.on_dispatch_notice(it); }

    void operator()(const state::lease_renewal_request& it) const {
        if (listener.on_lease_renewal_request(from, it.incarnation))
            answer(state::lease_renewal{it.number});
    }

    void operator()(const state::lease_renewal& it) const { on_confirmed(it.number); }

    void operator()(const protocol::document_stamps& it) const {
        listener.on_document_stamps(from, it.stamps);
    }

    void operator()(const protocol::document_request& it) const {
        listener.on_document_requested(from, it.name);
    }

    void operator()(const state::document_copy& it) const { listener.on_document(from, it); }

    void operator()(const state::drain_notice& it) const { listener.on_drain_notice(it); }
};

} // namespace
} // namespace internal

peer_mesh::peer_mesh(transport::event_loop& loop, const event_log& log, const std::string& fleet,
                     instance_identity self)
    : loop_(loop), log_(log),
      self_(std::move(self)), identity_{fleet, self_.name, self_.incarnation}, kj_(loop),
      socket_(loop, [this](auto bytes) { on_datagram(bytes); }),
      members_(coordination::membership_settings{}, {}, self_.incarnation),
      random_(self_.incarnation) {}

peer_mesh::~peer_mesh() = default;

transport::result<transport::address> peer_mesh::listen(const transport::address& at,
                                                        peer_listener& listener) {
    listener_ = &listener;
    server_ = std::make_unique<protocol::peer_server>(kj_, identity_, *this);
    auto bound = server_->listen(at);
    if (!bound)
        return bound;
    auto datagrams = socket_.bind(*bound);
    if (!datagrams)
        return datagrams;
    members_ =
        coordination::membership(coordination::membership_settings{},
                                 {self_.name, self_.data_centre, transport::to_string(*bound),
                                  self_.incarnation, state::member_status::alive},
                                 self_.incarnation);
    tick_timer_ = loop_.every(internal::tick_period, [this] { tick(); });
    return bound;
}

void peer_mesh::seed(const state::member_record& record) {
    members_.add_seed(record, loop_.now());
    report_changes();
}

void peer_mesh::leave() {
    members_.announce_leave();
    tick();
}

void peer_mesh::tick() {
    members_.tick(loop_.now());
    for (const auto& it : members_.take_probes()) {
        auto to = transport::parse_address(it.address);
        if (!to)
            continue;
        auto bytes = protocol::encode_probe(identity_.fleet, it.message);
        probe_bytes_ += bytes.size();
        socket_.send(*to, bytes);
    }
    report_changes();
}

void peer_mesh::report_changes() {
    auto changes = members_.take_changes();
    if (changes.empty())
        return;
    for (const auto& it : changes) {
        log_.write(internal::event_of(it.status),
                   {{"member", it.name}, {"data_centre", it.data_centre}});
        // The link of a restarted member must be opened again, that of a removed one closed.
        if (it.status != state::member_status::suspect) {
            links_.erase(it.name);
            retry_at_.erase(it.name);
        }
    }
    listener_->on_members();
}

void peer_mesh::on_datagram(std::string_view bytes) {
    auto message = protocol::decode_probe(identity_.fleet, bytes);
    if (!message) {
        log_.warn(event_id::peer_message_refused,
                  {{"why", "datagram has an unknown format or is from another fleet"}});
        return;
    }
    members_.on_probe(*message, loop_.now());
    tick();
}

protocol::peer_link* peer_mesh::find_or_open_link(const std::string& peer) {
    auto it = links_.find(peer);
    if (it != links_.end())
        return it->second.get();
    auto retry = retry_at_.find(peer);
    if (retry != retry_at_.end() && loop_.now() < retry->second)
        return nullptr;
    auto live = members_.live_members();
    auto record = std::find_if(live.begin(), live.end(),
                               [&](const auto& entry) { return entry.name == peer; });
    auto at = record == live.end() ? tl::unexpected(transport::error{})
                                   : transport::parse_address(record->address);
    if (!at)
        return nullptr;
    auto link = std::make_unique<protocol::peer_link>(
        kj_, *at, identity_, [this, peer](const std::string& why) {
            log_.warn(event_id::peer_lost, {{"peer", peer}, {"why", why}});
            links_.erase(peer);
            retry_at_[peer] = loop_.now() + internal::link_retry;
        });
    log_.write(event_id::peer_connected, {{"peer", peer}});
    return links_.emplace(peer, std::move(link)).first->second.get();
}

void peer_mesh::post(const std::string& peer, protocol::peer_message message) {
    if (auto* it = find_or_open_link(peer))
        it->post(std::move(message));
}

void peer_mesh::post_to_all(const protocol::peer_message& message) {
    for (const auto& it : members_.live_members())
        post(it.name, message);
}

void peer_mesh::post_to_random(std::size_t near, std::size_t far,
                               const protocol::peer_message& message) {
    auto live = members_.live_members();
    std::shuffle(live.begin(), live.end(), random_);
    for (const auto& it : live) {
        auto& left = it.data_centre == self_.data_centre ? near : far;
        if (left == 0)
            continue;
        --left;
        post(it.name, message);
    }
}

void peer_mesh::send(const coordination::share_message& message) {
    std::visit([&](const auto& it) { post(message.peer, it); }, message.payload);
}

void peer_mesh::ask_lessor(const std::string& lessor, std::function<void()> done) {
    auto number = next_query_++;
    if (pending_queries_.size() >= internal::max_pending_queries)
        pending_queries_.erase(pending_queries_.begin());
    pending_queries_.emplace(number, std::move(done));
    post(lessor, state::lease_renewal_request{self_.incarnation, number});
}

void peer_mesh::on_peer_message(const std::string& from, const protocol::peer_message& message) {
    std::function<void(protocol::peer_message)> answer = [&](protocol::peer_message it) {
        post(from, std::move(it));
    };
    std::function<void(std::uint64_t)> on_confirmed = [&](std::uint64_t number) {
        auto node = pending_queries_.extract(number);
        if (!node.empty())
            node.mapped()();
    };
    std::visit(internal::message_dispatcher{*listener_, from, answer, on_confirmed}, message);
}

void peer_mesh::on_peer_refused(const std::string& from, const std::string& why) {
    log_.warn(event_id::peer_message_refused, {{"peer", from}, {"why", why}});
}

} // namespace azureyoke::app
