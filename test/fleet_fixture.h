#pragma once

#include <filesystem>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "standin/completion_call.h"
#include "standin/fleet.h"

namespace azureyoke {

/// \brief Runs a fleet in a temporary directory; the destructor stops it and removes the directory.
class fleet_fixture {
public:
    explicit fleet_fixture(standin::fleet_options options = {}) {
        auto pattern = (std::filesystem::temp_directory_path() / "azureyoke-XXXXXX").string();
        directory_ = mkdtemp(pattern.data());
        options.product = AZUREYOKE_PRODUCT;
        options.standin = AZUREYOKE_STANDIN;
        options.directory = directory_;
        fleet_ = std::make_unique<standin::fleet>(options);
        fleet_->start();
    }

    ~fleet_fixture() {
        fleet_.reset();
        std::filesystem::remove_all(directory_);
    }

    fleet_fixture(const fleet_fixture&) = delete;
    fleet_fixture& operator=(const fleet_fixture&) = delete;
    fleet_fixture(fleet_fixture&&) = delete;
    fleet_fixture& operator=(fleet_fixture&&) = delete;

    standin::fleet& operator*() { return *fleet_; }

    standin::fleet* operator->() { return fleet_.get(); }

    /// \returns a completion request with the key of `workspace`.
    transport::http_request completion_request(const std::string& workspace,
                                               const std::string& prompt, int tokens,
                                               bool stream) const {
        return standin::make_request({fleet_->key(workspace), prompt, tokens, stream});
    }

    /// \returns a refund request to the plain service, with `idempotency_key`.
    transport::http_request refund_request(const std::string& idempotency_key) const {
        return {"POST",
                "/wallet/refund",
                {{"x-api-key", fleet_->key("wallets")}, {"Idempotency-Key", idempotency_key}},
                R"({"cup":1})"};
    }

    /// \returns the number of runs of `idempotency_key` that the plain service counted.
    int run_count(const std::string& idempotency_key) {
        return fleet_->fetch_json(fleet_->service().direct, "/stats")["runs"].value(idempotency_key,
                                                                                    0);
    }

private:
    std::string directory_;
    std::unique_ptr<standin::fleet> fleet_;
};

/// \returns the error code in the body of `answer`, or an empty string.
inline std::string error_code(const transport::http_response& answer) {
    auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (!body.is_object() || !body.contains("error"))
        return {};
    return body["error"].value("code", "");
}

} // namespace azureyoke
