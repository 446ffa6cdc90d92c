#pragma once

#include <string>

#include "azureyoke/src/transport/http_message.h"

namespace azureyoke::standin {

/// \brief The model that the stand-in fleet serves.
constexpr const char* model_name = "scheme-7b";

/// \brief Parameters of one completion request of a caller.
struct completion_call {
    std::string key;
    std::string prompt;
    int tokens = 1;
    bool stream = true;

    friend bool operator==(const completion_call&, const completion_call&) = default;
};

/// \returns the HTTP request for `call`.
transport::http_request make_request(const completion_call& call);

} // namespace azureyoke::standin
