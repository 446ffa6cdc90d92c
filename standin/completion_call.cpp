#include "standin/completion_call.h"

#include <nlohmann/json.hpp>

namespace azureyoke::standin {

transport::http_request make_request(const completion_call& call) {
    nlohmann::json body = {{"model", model_name},
                           {"prompt", call.prompt},
                           {"max_tokens", call.tokens},
                           {"stream", call.stream}};
    return {"POST", "/v1/completions", {{"Authorization", "Bearer " + call.key}}, body.dump()};
}

} // namespace azureyoke::standin
