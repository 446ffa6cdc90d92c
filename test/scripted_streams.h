#pragma once

#include <string>
#include <utility>
#include <vector>

#include "azureyoke/src/app/stream_registry.h"

namespace azureyoke {

/// \brief Replies to each question about a stream as a test decides.
class scripted_streams : public app::stream_registry {
public:
    bool versions_are_current() const override { return current; }

    void on_begun(const std::string& stream, const std::string& /*pool*/,
                  const std::string& software, coordination::duration /*remaining*/) override {
        begun.emplace_back(stream, software);
    }

    void on_uncertain(const std::string& stream, const std::string& /*pool*/) override {
        uncertain.push_back(stream);
    }

    void on_complete(const std::string& stream) override { completed.push_back(stream); }

    void find(const std::string& stream, const std::string& /*pool*/, handler done) override {
        asked.push_back(stream);
        done({reply, "not known", may_be_found_later});
    }

    std::optional<std::string> reply = "";
    bool may_be_found_later = false;
    bool current = true;
    std::vector<std::string> asked;
    std::vector<std::string> completed;
    std::vector<std::string> uncertain;
    std::vector<std::pair<std::string, std::string>> begun;
};

} // namespace azureyoke
