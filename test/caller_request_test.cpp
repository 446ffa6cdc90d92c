// Guards against a key that passes to backend servers encoded in the body or the target.
#include "azureyoke/src/protocol/caller_request.h"

#include <string>

#include <criterion/criterion.h>

using namespace azureyoke;

namespace {

/// \returns whether a request with the key `s3cret/key`, `body` and `target` is refused as
/// `key_misplaced`.
bool refused_as_misplaced(const std::string& body, const std::string& target = "/v1/completions") {
    transport::http_request request{"POST", target, {{"x-api-key", "s3cret/key"}}, body};
    auto key = protocol::extract_key(request);
    return !key && key.error().code == protocol::caller_code::key_misplaced;
}

} // namespace

Test(caller_request, key_in_the_body_is_refused_in_every_json_encoding) {
    for (const std::string encoded_key :
         {"s3cret/key", "s3cret\\/key", "\\u00733cret/key",
          "\\u0073\\u0033\\u0063\\u0072\\u0065\\u0074\\u002f\\u006b\\u0065\\u0079",
          "before s3cret\\u002Fkey after"}) {
        cr_assert(refused_as_misplaced(R"({"model":"m","prompt":")" + encoded_key + "\"}"), "%s",
                  encoded_key.c_str());
        cr_assert(
            refused_as_misplaced(R"({"model":"m","messages":[{"role":"user","content":[{"text":")" +
                                 encoded_key + "\"}]}]}"),
            "%s", encoded_key.c_str());
        cr_assert(refused_as_misplaced("{\"" + encoded_key + "\":1}"), "as a name: %s",
                  encoded_key.c_str());
    }
}

Test(caller_request, text_that_does_not_decode_to_the_key_is_accepted) {
    cr_assert_not(refused_as_misplaced(R"({"prompt":"\\u00733cret/key"})"));
    cr_assert_not(refused_as_misplaced(R"({"prompt":"s3cret\nkey"})"));
    cr_assert_not(refused_as_misplaced("\\u00733cret/key is no JSON"));
}

Test(caller_request, key_in_the_target_is_refused_also_percent_encoded) {
    cr_assert(refused_as_misplaced("{}", "/v1/s3cret/key"));
    cr_assert(refused_as_misplaced("{}", "/v1?q=%733cret%2Fkey"));
    cr_assert_not(refused_as_misplaced("{}", "/v1?q=%253733cret"));
}
