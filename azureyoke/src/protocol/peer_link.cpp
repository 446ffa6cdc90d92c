#include "azureyoke/src/protocol/peer_link.h"

#include <algorithm>
#include <utility>

#include <capnp/rpc-twoparty.h>
#include <kj/debug.h>

#include "azureyoke/src/protocol/peer_codec.h"

namespace azureyoke::protocol {

namespace internal {
namespace {

/// Capacity of the queue to a peer. Messages posted to a full queue are dropped.
constexpr std::size_t max_queued_messages = 4096;
/// Calls to a peer that may be in flight at once.
constexpr int max_calls_in_flight = 16;

capnp::ReaderOptions reader_options() {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_message_words;
    return options;
}

class session_server final : public schema::Session::Server {
public:
    session_server(std::string from, peer_receiver& receiver)
        : from_(std::move(from)), receiver_(receiver) {}

    kj::Promise<void> post(PostContext context) override {
        std::vector<peer_message> messages;
        // Reads all messages before delivering any, so that an unreadable call has no effect.
        for (auto it : context.getParams().getMessages()) {
            auto message = read_message(it);
            if (message)
                messages.push_back(std::move(*message));
            else
                receiver_.on_peer_refused(from_, "a message of an unknown kind");
        }
        for (const auto& it : messages)
            receiver_.on_peer_message(from_, it);
        return kj::READY_NOW;
    }

private:
    std::string from_;
    peer_receiver& receiver_;
};

class peer_bootstrap final : public schema::Peer::Server {
public:
    peer_bootstrap(const peer_identity& self, peer_receiver& receiver)
        : self_(self), receiver_(receiver) {}

    kj::Promise<void> introduce(IntroduceContext context) override {
        auto identity = context.getParams().getWho();
        std::string name = identity.getInstance().cStr();
        if (identity.getProtocolVersion() != schema::PROTOCOL_VERSION)
            return refuse(name, "the peer speaks another protocol version");
        if (self_.fleet != identity.getFleet().cStr())
            return refuse(name, "the peer belongs to another fleet");
        context.getResults().setSession(kj::heap<session_server>(name, receiver_));
        return kj::READY_NOW;
    }

private:
    kj::Promise<void> refuse(const std::string& name, const char* why) {
        receiver_.on_peer_refused(name, why);
        return KJ_EXCEPTION(FAILED, "introduction refused", why);
    }

    const peer_identity& self_;
    peer_receiver& receiver_;
};

} // namespace
} // namespace internal

struct peer_server::accepted_link {
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    kj::Promise<void> disconnect_watch = nullptr;

    accepted_link(kj::Own<kj::AsyncIoStream> from, schema::Peer::Client bootstrap)
        : stream(kj::mv(from)),
          network(*stream, capnp::rpc::twoparty::Side::SERVER, internal::reader_options()),
          rpc(capnp::makeRpcServer(network, kj::mv(bootstrap))) {}
};

peer_server::peer_server(transport::kj_loop& loop, peer_identity self, peer_receiver& receiver)
    : loop_(loop), self_(std::move(self)), receiver_(receiver),
      listener_(loop.events(), [this](auto stream) { accept(kj::mv(stream)); }) {}

peer_server::~peer_server() = default;

transport::result<transport::address> peer_server::listen(const transport::address& at) {
    return listener_.listen(at);
}

void peer_server::accept(kj::Own<kj::AsyncIoStream> stream) {
    auto owned_link = std::make_unique<accepted_link>(
        kj::mv(stream), kj::heap<internal::peer_bootstrap>(self_, receiver_));
    auto* accepted = owned_link.get();
    accepted->disconnect_watch =
        accepted->network.onDisconnect()
            .then([this, accepted] {
                // Deferred, because the link is still on the call stack.
                loop_.events().defer([this, accepted] {
                    std::erase_if(links_, [&](const auto& it) { return it.get() == accepted; });
                });
            })
            .eagerlyEvaluate([](kj::Exception&&) {});
    links_.push_back(std::move(owned_link));
}

struct peer_link::state : std::enable_shared_from_this<peer_link::state> {
    transport::event_loop& loop;
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    kj::Maybe<schema::Session::Client> session;
    std::function<void(const std::string&)> on_lost;
    std::vector<peer_message> queue;
    bool flush_scheduled = false;
    int calls_in_flight = 0;
    std::uint64_t dropped = 0;
    kj::Promise<void> introduction = nullptr;
    kj::Promise<void> disconnect_watch = nullptr;

    state(transport::event_loop& l, const transport::address& to,
          std::function<void(const std::string&)> lost)
        : loop(l), stream(transport::connect_stream(l, to)),
          network(*stream, capnp::rpc::twoparty::Side::CLIENT, internal::reader_options()),
          rpc(capnp::makeRpcClient(network)), on_lost(std::move(lost)) {}

    void introduce(const peer_identity& self) {
        capnp::MallocMessageBuilder id;
        id.initRoot<capnp::rpc::twoparty::VatId>().setSide(capnp::rpc::twoparty::Side::SERVER);
        auto peer = rpc.bootstrap(id.getRoot<capnp::rpc::twoparty::VatId>()).castAs<schema::Peer>();
        auto request = peer.introduceRequest();
        auto identity = request.initWho();
        identity.setProtocolVersion(schema::PROTOCOL_VERSION);
        identity.setFleet(self.fleet);
        identity.setInstance(self.instance);
        identity.setIncarnation(self.incarnation);
        introduction = request.send()
                           .then([this](auto&& answer) {
                               session = answer.getSession();
                               schedule_flush();
                           })
                           .eagerlyEvaluate([this](kj::Exception&& ec) { notify_lost(ec); });
        disconnect_watch =
            network.onDisconnect()
                .then(
                    [this] { notify_lost(KJ_EXCEPTION(DISCONNECTED, "the peer closed the link")); })
                .eagerlyEvaluate([](kj::Exception&&) {});
    }

    void notify_lost(const kj::Exception& ec) {
        auto call = std::exchange(on_lost, nullptr);
        if (!call)
            return;
        std::string why = ec.getDescription().cStr();
        loop.defer([call, why] { call(why); });
    }

    void schedule_flush() {
        if (flush_scheduled || queue.empty())
            return;
        flush_scheduled = true;
        loop.defer([weak = weak_from_this()] {
            if (auto it = weak.lock())
                it->flush();
        });
    }

    void flush() {
        flush_scheduled = false;
        KJ_IF_MAYBE (it, session) {
            if (calls_in_flight >= internal::max_calls_in_flight || queue.empty())
                return;
            auto request = it->postRequest();
            auto list = request.initMessages(static_cast<unsigned>(queue.size()));
            for (unsigned i = 0; i < list.size(); ++i)
                write_message(list[i], queue[i]);
            queue.clear();
            ++calls_in_flight;
            tasks.add(request.send().ignoreResult().then([this] {
                --calls_in_flight;
                schedule_flush();
            }));
        }
    }

    struct error_handler : kj::TaskSet::ErrorHandler {
        state* owner = nullptr;

        void taskFailed(kj::Exception&& ec) override { owner->notify_lost(ec); }
    };

    error_handler on_error;
    kj::TaskSet tasks{on_error};
};

peer_link::peer_link(transport::kj_loop& loop, const transport::address& to,
                     const peer_identity& self, std::function<void(const std::string&)> on_lost)
    : state_(std::make_shared<state>(loop.events(), to, std::move(on_lost))) {
    state_->on_error.owner = state_.get();
    state_->introduce(self);
}

peer_link::~peer_link() {
    state_->on_lost = nullptr;
}

void peer_link::post(peer_message message) {
    if (state_->queue.size() >= internal::max_queued_messages) {
        ++state_->dropped;
        return;
    }
    state_->queue.push_back(std::move(message));
    state_->schedule_flush();
}

std::uint64_t peer_link::dropped() const {
    return state_->dropped;
}

} // namespace azureyoke::protocol
