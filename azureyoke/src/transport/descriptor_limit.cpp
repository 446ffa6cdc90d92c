#include "azureyoke/src/transport/descriptor_limit.h"

#include <algorithm>

#include <sys/resource.h>

namespace azureyoke::transport {

std::size_t raise_descriptor_limit() {
    constexpr rlim_t most = 1 << 20; // the default bound of Linux; the limit may be infinite
    constexpr rlim_t fallback = 1024;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return fallback;
    auto raised = limit;
    raised.rlim_cur = std::min(limit.rlim_max, most);
    if (raised.rlim_cur > limit.rlim_cur && setrlimit(RLIMIT_NOFILE, &raised) == 0)
        limit = raised;
    return std::min(limit.rlim_cur, most);
}

} // namespace azureyoke::transport
