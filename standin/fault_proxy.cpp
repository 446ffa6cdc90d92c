#include "standin/fault_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <nlohmann/json.hpp>

namespace azureyoke::standin {

using nlohmann::json;

namespace internal {
namespace {

/// Delay between the last bytes of a truncated answer and closing the connection, so that these
/// bytes are sent first.
constexpr auto truncation_close_delay = std::chrono::milliseconds(5);

sockaddr_in to_sockaddr(const transport::address& at) {
    sockaddr_in created{};
    created.sin_family = AF_INET;
    created.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &created.sin_addr);
    return created;
}

link_fault parse_link_fault(const std::string& name) {
    static const std::map<std::string, link_fault> names = {
        {"cut", link_fault::cut},           {"stall", link_fault::stall},
        {"delay", link_fault::delay},       {"drop_answer", link_fault::drop_answer},
        {"truncate", link_fault::truncate}, {"corrupt", link_fault::corrupt}};
    auto it = names.find(name);
    return it == names.end() ? link_fault::none : it->second;
}

} // namespace
} // namespace internal

struct fault_proxy::link {
    transport::event_loop& loop;
    transport::address to;
    link_fault fault = link_fault::none;
    std::int64_t delay_ms = 0;
    std::int64_t bytes = 0;
    evconnlistener* listener = nullptr;
    std::list<std::shared_ptr<connection>> connections;

    explicit link(transport::event_loop& owner) : loop(owner) {}
};

/// One proxied connection between a caller and a server; data is copied in both directions.
struct fault_proxy::connection : std::enable_shared_from_this<fault_proxy::connection> {
    link& owner;
    bufferevent* caller;
    bufferevent* server;
    std::int64_t answer_bytes = 0;
    bool closed = false;
    std::vector<std::unique_ptr<transport::timer>> timers;

    connection(link& l, bufferevent* c, bufferevent* s) : owner(l), caller(c), server(s) {}

    void close() {
        if (closed)
            return;
        closed = true;
        auto self_ref = shared_from_this();
        owner.connections.remove(self_ref);
        owner.loop.defer([self_ref] {
            bufferevent_free(self_ref->caller);
            bufferevent_free(self_ref->server);
        });
    }

    void pass(bool answer, std::string piece) {
        if (closed)
            return;
        if (owner.fault == link_fault::delay) {
            auto wait = std::chrono::milliseconds(owner.delay_ms);
            timers.push_back(
                owner.loop.after(wait, [this, answer, piece] { forward(answer, piece); }));
            return;
        }
        forward(answer, std::move(piece));
    }

    void forward(bool answer, std::string piece) {
        if (closed)
            return;
        if (answer && owner.fault == link_fault::drop_answer) {
            close();
            return;
        }
        if (answer && owner.fault == link_fault::corrupt)
            piece[piece.size() / 2] = static_cast<char>(~piece[piece.size() / 2]);
        bool truncated = false;
        if (answer && owner.fault == link_fault::truncate) {
            auto left = std::max<std::int64_t>(owner.bytes - answer_bytes, 0);
            truncated = static_cast<std::int64_t>(piece.size()) >= left;
            piece.resize(std::min(piece.size(), static_cast<std::size_t>(left)));
        }
        if (answer)
            answer_bytes += static_cast<std::int64_t>(piece.size());
        bufferevent_write(answer ? caller : server, piece.data(), piece.size());
        if (truncated)
            timers.push_back(
                owner.loop.after(internal::truncation_close_delay, [this] { close(); }));
    }

    static void on_readable(bufferevent* from, void* self) {
        auto* it = static_cast<connection*>(self);
        if (it->owner.fault == link_fault::stall)
            return; // the data stays in the input buffer until the fault ends
        evbuffer* buf = bufferevent_get_input(from);
        std::string piece(evbuffer_get_length(buf), '\0');
        evbuffer_remove(buf, piece.data(), piece.size());
        if (!piece.empty())
            it->pass(from == it->server, std::move(piece));
    }

    static void on_event(bufferevent* /*side*/, short events, void* self) {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        auto* it = static_cast<connection*>(self);
        // Data that was read before the end may still have to be forwarded after the link's delay.
        auto self_ref = it->shared_from_this();
        it->timers.push_back(it->owner.loop.after(std::chrono::milliseconds(2 + it->owner.delay_ms),
                                                  [self_ref] { self_ref->close(); }));
    }
};

fault_proxy::fault_proxy(transport::event_loop& loop)
    : loop_(loop), control_(loop, {}, [this](const auto& exchange) { on_request(exchange); }) {}

fault_proxy::~fault_proxy() {
    for (auto& [name, it] : links_)
        evconnlistener_free(it->listener);
}

transport::result<transport::address> fault_proxy::listen(const transport::address& at) {
    return control_.listen(at);
}

void fault_proxy::on_request(const exchange_ptr& exchange) {
    auto path = transport::path_of(exchange->request().target);
    if (path == "/links")
        open_link(exchange);
    else if (path == "/control")
        set_fault(exchange);
    else
        exchange->reply({404, {}, ""});
}

void fault_proxy::open_link(const exchange_ptr& exchange) {
    auto body = json::parse(exchange->request().body, nullptr, false);
    auto to = transport::parse_address(body.value("to", ""));
    if (!to) {
        exchange->reply({400, {}, to.error().what});
        return;
    }
    auto created = std::make_unique<link>(loop_);
    created->to = *to;
    auto at = internal::to_sockaddr({"127.0.0.1", 0});
    created->listener = evconnlistener_new_bind(loop_.base(), &fault_proxy::on_accept,
                                                created.get(), LEV_OPT_CLOSE_ON_FREE, -1,
                                                reinterpret_cast<sockaddr*>(&at), sizeof(at));
    socklen_t size = sizeof(at);
    getsockname(evconnlistener_get_fd(created->listener), reinterpret_cast<sockaddr*>(&at), &size);
    exchange->reply({200, {}, "127.0.0.1:" + std::to_string(ntohs(at.sin_port))});
    links_[body.value("name", "")] = std::move(created);
}

void fault_proxy::on_accept(evconnlistener* /*listener*/, int fd, sockaddr* /*from*/,
                            int /*length*/, void* self) {
    auto* it = static_cast<link*>(self);
    if (it->fault == link_fault::cut) {
        evutil_closesocket(fd);
        return;
    }
    auto* base = it->loop.base();
    auto* caller = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
    auto* server = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    auto created = std::make_shared<connection>(*it, caller, server);
    for (auto* side : {caller, server}) {
        bufferevent_setcb(side, &connection::on_readable, nullptr, &connection::on_event,
                          created.get());
        bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    it->connections.push_back(created);
    auto to = internal::to_sockaddr(it->to);
    bufferevent_socket_connect(server, reinterpret_cast<sockaddr*>(&to), sizeof(to));
}

void fault_proxy::set_fault(const exchange_ptr& exchange) {
    auto body = json::parse(exchange->request().body, nullptr, false);
    auto it = links_.find(body.is_object() ? body.value("link", "") : "");
    if (it == links_.end()) {
        exchange->reply({404, {}, "no such link\n"});
        return;
    }
    auto& target = *it->second;
    target.fault = internal::parse_link_fault(body.value("fault", "none"));
    target.delay_ms = body.value("delay_ms", INT64_C(0));
    target.bytes = body.value("bytes", INT64_C(0));
    if (target.fault == link_fault::cut) {
        auto connections = target.connections;
        for (const auto& p : connections)
            p->close();
    }
    if (target.fault == link_fault::none) {
        auto connections = target.connections;
        for (const auto& p : connections) {
            connection::on_readable(p->caller, p.get());
            connection::on_readable(p->server, p.get());
        }
    }
    exchange->reply({200, {}, "ok\n"});
}

} // namespace azureyoke::standin
