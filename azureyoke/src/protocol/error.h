#pragma once

#include <string>

#include <tl/expected.hpp>

#include "azureyoke/src/transport/error.h"

namespace azureyoke::protocol {

/// \brief Kinds of protocol-layer errors.
enum class errc {
    unreachable, ///< No answer, or an unexpected error status; see `effect_unknown`.
    bad_answer,  ///< The answer does not follow the protocol.
    conflict,    ///< A conditional write expected another version.
    not_found,   ///< The requested entry does not exist.
    refused      ///< The other party refused the operation without any effect.
};

/// \brief Failure of an exchange with a caller, an engine, the platform or a peer.
struct error {
    errc code = errc::unreachable;
    std::string what;
    bool effect_unknown = false; ///< The operation may have taken effect.

    friend bool operator==(const error&, const error&) = default;
};

template <class T>
using result = tl::expected<T, error>;

/// \brief Converts a transport error to a protocol error.
inline error from_transport(const transport::error& ec) {
    return {errc::unreachable, ec.what, ec.may_have_sent_bytes};
}

} // namespace azureyoke::protocol
