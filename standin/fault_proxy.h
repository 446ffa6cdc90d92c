#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "azureyoke/src/transport/event_loop.h"
#include "azureyoke/src/transport/front_server.h"

struct evconnlistener;
struct bufferevent;
struct sockaddr;

namespace azureyoke::standin {

/// \brief Faults that a link of the proxy can inject.
enum class link_fault {
    none,
    cut,         ///< Closes open connections, and new ones right after accepting them.
    stall,       ///< Accepts connections and forwards nothing.
    delay,       ///< Forwards all data after a delay.
    drop_answer, ///< Forwards requests and closes when an answer begins.
    truncate,    ///< Forwards a number of bytes of the answer, then closes.
    corrupt      ///< Inverts one byte of each chunk of the answer.
};

/// \brief A TCP proxy that injects faults into its links and is controlled over HTTP.
///
/// `POST /links` with `{"name", "to"}` opens a link and returns its address; `POST /control` with
/// `{"link", "fault", "delay_ms", "bytes"}` sets its fault.
class fault_proxy {
public:
    explicit fault_proxy(transport::event_loop& loop);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    fault_proxy(fault_proxy&&) = delete;
    fault_proxy& operator=(fault_proxy&&) = delete;

    transport::result<transport::address> listen(const transport::address& at);

private:
    struct link;
    struct connection;
    using exchange_ptr = std::shared_ptr<transport::front_exchange>;

    void on_request(const exchange_ptr& exchange);
    void open_link(const exchange_ptr& exchange);
    void set_fault(const exchange_ptr& exchange);
    static void on_accept(evconnlistener* listener, int fd, sockaddr* from, int length, void* self);

    transport::event_loop& loop_;
    transport::front_server control_;
    std::map<std::string, std::unique_ptr<link>> links_;
};

} // namespace azureyoke::standin
