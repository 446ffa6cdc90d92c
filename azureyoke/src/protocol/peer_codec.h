#pragma once

#include "peer.capnp.h"

#include "azureyoke/src/protocol/peer_messages.h"

namespace azureyoke::protocol {

/// \brief Writes `message` to a Cap'n Proto message.
void write_message(schema::Message::Builder out, const peer_message& message);
/// \returns std::nullopt when this version does not know the message's kind.
std::optional<peer_message> read_message(schema::Message::Reader in);

} // namespace azureyoke::protocol
