#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "azureyoke/src/coordination/fair_queue.h"
#include "azureyoke/src/coordination/replica_router.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// \brief Holds admitted requests while every replica's queue is long, and dispatches them in fair
/// order between workspaces. Not thread safe.
class dispatch_queue {
public:
    /// \brief Called once, after `push` has returned: with true when the request may be dispatched,
    /// with false when it has expired in the queue.
    using dispatch_handler = std::function<void(bool dispatched)>;

    dispatch_queue(transport::event_loop& loop, const coordination::replica_router& router);

    /// \returns the request's number, or 0 when its workspace has too many requests queued.
    std::uint64_t push(coordination::queued_request request, const std::string& model,
                       dispatch_handler handler);
    void erase(std::uint64_t number);
    /// \brief Dispatches the requests that replicas have capacity for. Must be called when the load
    /// of a replica has decreased.
    void dispatch_ready();

private:
    struct entry {
        std::string model;
        dispatch_handler handler;
    };

    bool has_capacity(const std::string& model) const;
    void complete(std::uint64_t number, bool dispatched);
    void dispatch_model(const std::string& model, coordination::fair_queue& queue);

    transport::event_loop& loop_;
    const coordination::replica_router& router_;
    /// By model, so that a model without capacity does not block the others.
    std::map<std::string, coordination::fair_queue> queues_;
    std::map<std::uint64_t, entry> entries_;
    std::uint64_t next_number_ = 1;
    std::unique_ptr<transport::timer> timer_;
};

} // namespace azureyoke::app
