#pragma once

#include <sstream>
#include <string>

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace azureyoke {

/// \brief Checks a property with RapidCheck and fails the test with the shrunk counterexample.
///
/// The seed is fixed, so that every run has the same result.
template <class Testable>
void check_property(const std::string& name, Testable&& testable, int cases = 500) {
    rc::detail::TestParams params;
    params.seed = 20261203;
    params.maxSuccess = cases;
    params.maxSize = 100;
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    auto result = rc::detail::checkTestable(std::forward<Testable>(testable), metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    cr_assert(result.template is<rc::detail::SuccessResult>(), "%s", text.str().c_str());
}

} // namespace azureyoke
