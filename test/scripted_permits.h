#pragma once

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "azureyoke/src/app/permit_source.h"
#include "azureyoke/src/coordination/fleet_router.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke {

/// \brief Grants or denies permits as a test decides. A denied server is left out for `wait`.
class scripted_permits : public app::permit_source {
public:
    explicit scripted_permits(transport::event_loop& loop) : loop_(loop) {}

    void on_answer(const std::string& server, std::int64_t /*started_ms*/, double per_second,
                   coordination::instant /*sent_at*/) override {
        named_rates.emplace_back(server, per_second);
    }

    bool required(const std::string& server) const override { return limited.contains(server); }

    void acquire(const std::string& server, handler done) override {
        asked.push_back(server);
        router->on_limit_named(server);
        if (holds_requests) {
            held.push_back(std::move(done));
            return;
        }
        bool granted = permits > 0;
        permits -= granted ? 1 : 0;
        if (!granted)
            router->on_limit_reached(server, loop_.now() + wait);
        done(granted);
    }

    coordination::duration book_return(const std::string& /*pool*/, coordination::duration earliest,
                                       coordination::duration /*latest*/) override {
        return earliest;
    }

    std::set<std::string> limited;
    int permits = 0;
    bool holds_requests = false; ///< Replies only when the test calls a handler in `held`.
    transport::duration wait = std::chrono::seconds(2);
    std::vector<std::string> asked;
    std::vector<handler> held;
    std::vector<std::pair<std::string, double>> named_rates;
    coordination::fleet_router* router = nullptr;

private:
    transport::event_loop& loop_;
};

} // namespace azureyoke
