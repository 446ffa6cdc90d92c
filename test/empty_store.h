#pragma once

#include "azureyoke/src/app/forward_ports.h"

namespace azureyoke {

/// \brief A store that never answers.
class empty_store : public app::record_store {
public:
    void read(const std::string& /*key*/,
              std::function<void(std::optional<app::stored_record>)> /*done*/) override {}

    void
    list(const std::string& /*prefix*/,
         std::function<void(std::optional<std::vector<app::stored_record>>)> /*done*/) override {}

    void write(const std::string& /*key*/, const std::optional<state::record_version>& /*expected*/,
               const std::string& /*value*/, write_handler /*done*/) override {}

    void erase(const std::string& /*key*/) override {}
};

} // namespace azureyoke
