#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <tl/expected.hpp>

#include "azureyoke/src/protocol/caller_error.h"
#include "azureyoke/src/state/key_digest.h"
#include "azureyoke/src/transport/http_message.h"

namespace azureyoke::protocol {

/// \brief The endpoint of a completion: `/v1/chat/completions` or `/v1/completions`.
enum class completion_kind { chat, text };

/// \brief A caller's request for a completion.
struct completion_request {
    completion_kind kind = completion_kind::text;
    std::string model;
    std::string prompt; ///< Text that engines cache; for chat, the messages' roles and contents.
    std::int64_t max_output_tokens = 0;
    bool stream = false;
    std::string body; ///< The body as received.

    friend bool operator==(const completion_request&, const completion_request&) = default;
};

/// \brief Output token limit of a request that states none.
constexpr std::int64_t default_output_tokens = 256;
/// \brief Highest output token limit that a request may state.
constexpr std::int64_t output_tokens_limit = 131'072;

/// \brief Bytes of prompt text per token, for estimates without a tokeniser.
constexpr std::int64_t bytes_per_token = 4;

/// \brief Extracts the key from a request's header fields.
///
/// \returns the key's digest, std::nullopt when the request has no key, or an error when the
/// request has different keys, has an Authorization field of another form than `Bearer KEY`, or
/// contains the key where it would be forwarded to a backend server (target, another header field,
/// body).
tl::expected<std::optional<state::key_digest>, caller_error>
extract_key(const transport::http_request& request);

/// \brief Rejects ambiguous framing that the HTTP library accepts: repeated or conflicting length
/// fields.
/// \returns std::nullopt when the framing is unambiguous.
std::optional<caller_error> check_framing(const transport::http_request& request);

/// \brief Parses the body of `/v1/completions` or `/v1/chat/completions`.
tl::expected<completion_request, caller_error>
parse_completion(completion_kind kind, const transport::http_request& request);

/// \returns the header fields that may be forwarded: all except keys, hop-by-hop fields and the
/// fields that `Connection` lists.
transport::http_fields forwardable_fields(const transport::http_fields& fields);

} // namespace azureyoke::protocol
