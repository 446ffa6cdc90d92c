#pragma once

#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/app/server_path.h"

namespace azureyoke {

/// \brief A path to the servers that a test loses and restores, and helpers that it names.
class scripted_path : public app::server_path {
public:
    void on_sent() override { ++waiting; }

    void on_ended() override { --waiting; }

    void on_heard(bool /*new_connection*/) override {}

    void on_unreachable(const std::string& server) override {
        unreachable.push_back(server);
        is_lost = is_lost || unreachable.size() >= lost_after;
    }

    bool lost() const override { return is_lost; }

    bool open_connections_work() const override { return open_work; }

    void check(const std::string& /*server*/, std::function<void(bool)> done) override {
        done(!is_lost);
    }

    std::optional<app::request_helper> choose_helper() override {
        if (helpers.empty())
            return std::nullopt;
        return helpers.front();
    }

    void on_handed_on(const std::string& /*helper*/) override { ++helped; }

    void on_help_ended(const std::string& /*helper*/) override { --helped; }

    void on_help_served(const std::string& /*helper*/) override {}

    void on_help_refused(const std::string& helper) override {
        refused.push_back(helper);
        helpers.erase(helpers.begin());
    }

    bool is_lost = false;
    bool open_work = false;
    std::size_t lost_after = 1000; ///< Failed connections.
    int waiting = 0;
    int helped = 0; ///< Requests handed on and not ended.
    std::vector<std::string> unreachable;
    std::vector<std::string> refused;
    std::vector<app::request_helper> helpers;
};

} // namespace azureyoke
