#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "azureyoke/src/state/dispatch_notice.h"
#include "azureyoke/src/state/document_copy.h"
#include "azureyoke/src/state/drain_notice.h"
#include "azureyoke/src/state/member.h"
#include "azureyoke/src/state/share_messages.h"

namespace azureyoke::protocol {

/// \brief Read limit for a peer message, in words of 8 bytes.
constexpr std::uint64_t max_message_words = UINT64_C(1) << 20U;

/// \brief Stamps of the documents that the sender has in force.
struct document_stamps {
    std::vector<state::document_stamp> stamps;

    friend bool operator==(const document_stamps&, const document_stamps&) = default;
};

/// \brief Request to a peer to send the document `name`.
struct document_request {
    std::string name;

    friend bool operator==(const document_request&, const document_request&) = default;
};

/// \brief A message between instances over a peer link.
using peer_message =
    std::variant<state::loan_request, state::token_loan, state::loan_refund, state::dispatch_notice,
                 state::lease_renewal_request, state::lease_renewal, document_stamps,
                 document_request, state::document_copy, state::drain_notice>;

/// \brief Encodes a probe between instances of `fleet` as a datagram.
std::string encode_probe(const std::string& fleet, const state::probe& message);
/// \returns std::nullopt when the bytes are not a complete probe of this protocol version and
/// `fleet`.
std::optional<state::probe> decode_probe(const std::string& fleet, std::string_view bytes);

} // namespace azureyoke::protocol
