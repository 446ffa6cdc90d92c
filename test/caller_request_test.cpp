#include "azureyoke/src/protocol/caller_request.h"

#include <string>

#include <criterion/criterion.h>

using namespace azureyoke;

namespace {

/// Whether a request with the key `s3cret/key` and this body and target is refused for the key's
/// place.
bool misplaced(const std::string& body, const std::string& target = "/v1/completions") {
    transport::http_request request{"POST", target, {{"x-api-key", "s3cret/key"}}, body};
    auto key = protocol::extract_key(request);
    return !key && key.error().code == protocol::caller_code::key_misplaced;
}

} // namespace

Test(caller_request, own_key_in_the_body_is_refused_however_json_spells_it) {
    for (const std::string spelled :
         {"s3cret/key", "s3cret\\/key", "\\u00733cret/key",
          "\\u0073\\u0033\\u0063\\u0072\\u0065\\u0074\\u002f\\u006b\\u0065\\u0079",
          "before s3cret\\u002Fkey after"}) {
        cr_assert(misplaced(R"({"model":"m","prompt":")" + spelled + "\"}"), "%s", spelled.c_str());
        cr_assert(misplaced(R"({"model":"m","messages":[{"role":"user","content":[{"text":")" +
                            spelled + "\"}]}]}"),
                  "%s", spelled.c_str());
        cr_assert(misplaced("{\"" + spelled + "\":1}"), "as a name: %s", spelled.c_str());
    }
}

Test(caller_request, text_that_only_looks_like_an_escaped_key_is_passed_on) {
    cr_assert_not(misplaced(R"({"prompt":"\\u00733cret/key"})"));
    cr_assert_not(misplaced(R"({"prompt":"s3cret\nkey"})"));
    cr_assert_not(misplaced("\\u00733cret/key is no JSON"));
}

Test(caller_request, own_key_in_the_target_is_refused_also_percent_encoded) {
    cr_assert(misplaced("{}", "/v1/s3cret/key"));
    cr_assert(misplaced("{}", "/v1?q=%733cret%2Fkey"));
    cr_assert_not(misplaced("{}", "/v1?q=%253733cret"));
}
