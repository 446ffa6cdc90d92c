#include "azureyoke/src/app/forward_rules.h"

#include <set>

#include <criterion/criterion.h>

using namespace azureyoke;

Test(forward_rules, requests_have_one_name_exactly_if_path_caller_and_body_are_the_same) {
    const transport::http_request request{"POST", "/a/x?q=1", {{"Attempt", "1"}}, "body"};
    auto name = app::name_of_request(request, "h", "key");
    auto again = request;
    again.fields = {{"Attempt", "2"}};
    cr_assert_eq(app::name_of_request(again, "h", "key"), name);
    std::set<std::string> names = {name, app::name_of_request(request, "h2", "key"),
                                   app::name_of_request(request, "h", "key2")};
    for (auto [method, target, body] :
         {std::tuple("GET", "/a/x?q=1", "body"), std::tuple("POST", "/a/x?q=2", "body"),
          std::tuple("POST", "/a/x?q=1", "body2"), std::tuple("POST", "/a/x?q=1", "")})
        names.insert(app::name_of_request({method, target, {}, body}, "h", "key"));
    cr_assert_eq(names.size(), 7U);
    cr_assert_eq(name.find("key"), std::string::npos, "names are logged, keys must not be");
}
