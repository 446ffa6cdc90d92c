#pragma once

#include <string>

#include "standin/stream_checker.h"

namespace azureyoke {

using standin::stream_outcome;

/// \brief Checks a complete response body. See standin::stream_checker.
inline stream_outcome check_stream(const std::string& body, const std::string& prompt,
                                   std::int64_t tokens) {
    standin::stream_checker checker(prompt, tokens);
    (void)checker.feed(body);
    return checker.outcome();
}

} // namespace azureyoke
