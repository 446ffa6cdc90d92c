#include "azureyoke/src/app/trace_page.h"

#include <nlohmann/json.hpp>

#include "azureyoke/src/state/to_json_text.h"

namespace azureyoke::app {

using nlohmann::json;

transport::http_response trace_page(const request_history& history, const std::string& request_id) {
    const transport::http_fields fields = {{"Content-Type", "application/json"}};
    const auto* trace = history.find(request_id);
    if (trace == nullptr)
        return {404, fields,
                R"({"error":"no such request on this instance"})"
                "\n"};
    json body = {{"request_id", trace->request_id},
                 {"workspace", trace->workspace},
                 {"target", trace->target},
                 {"steps", json::array()}};
    for (const auto& it : trace->steps)
        body["steps"].push_back({{"at_us", it.at_us}, {"what", it.what}});
    return {200, fields, state::to_json_text(body) + "\n"};
}

} // namespace azureyoke::app
