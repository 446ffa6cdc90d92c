#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/protocol/caller_request.h"
#include "azureyoke/src/protocol/error.h"

namespace azureyoke::protocol {

/// \brief Tokens of a finished completion as counted by the engine.
struct token_usage {
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t completion_tokens = 0;

    friend bool operator==(const token_usage&, const token_usage&) = default;
};

/// \brief One event of an engine's stream.
struct engine_event {
    std::string request_id;
    std::int64_t position = 0; ///< Position of the token in the whole answer, from 0.
    std::string text;
    std::string weights;
    std::string finish_reason; ///< Empty before the last token.
    std::optional<token_usage> usage;

    friend bool operator==(const engine_event&, const engine_event&) = default;
};

/// \brief Fields that the router adds to a caller's request.
struct engine_directive {
    std::string request_id;
    std::string cache_salt; ///< Separates the prompt caches of workspaces.
    std::string weights;    ///< Weights that must serve the request; set for a resumed stream.
    std::int64_t resume_from = 0; ///< First position to send; 0 for a new stream.
    int priority = 0;

    friend bool operator==(const engine_directive&, const engine_directive&) = default;
};

/// \brief An engine's load report.
struct engine_report {
    std::string incarnation;
    std::string weights;
    std::int64_t queued_tokens = 0; ///< Prompt tokens not yet processed.
    std::int64_t running = 0;       ///< Requests in progress.

    friend bool operator==(const engine_report&, const engine_report&) = default;
};

/// \brief A change of an engine's prefix cache.
struct engine_cache_event {
    std::uint64_t number = 0; ///< Consecutive, lost events included, so that a gap reveals a loss.
    bool stored = true;       ///< False when the piece was evicted.
    std::uint64_t piece = 0;  ///< Prefix hash of the piece.

    friend bool operator==(const engine_cache_event&, const engine_cache_event&) = default;
};

/// \brief A page of cache events of one incarnation of an engine.
struct engine_event_page {
    std::string incarnation;
    std::vector<engine_cache_event> events;

    friend bool operator==(const engine_event_page&, const engine_event_page&) = default;
};

/// \brief Builds the request to an engine. It always requests a stream, so that an interrupted
/// answer can be resumed.
transport::http_request make_engine_request(const completion_request& request,
                                            const engine_directive& directive);

/// \brief An order to an engine to replace its weights.
struct load_order {
    std::string weights;
    /// Fencing token of the rollout leader; some engines ignore it.
    std::int64_t fencing_token = 0;

    friend bool operator==(const load_order&, const load_order&) = default;
};

/// \brief Builds the request that sends `order` to an engine.
transport::http_request make_load_order(const load_order& order);

/// \brief Parses the data of one stream event.
result<engine_event> parse_engine_event(std::string_view data);

/// \brief Parses the body of a load report.
result<engine_report> parse_engine_report(std::string_view body);
/// \brief Parses the body of a page of cache events.
result<engine_event_page> parse_engine_events(std::string_view body);

/// \brief The end mark of a stream.
constexpr std::string_view stream_end = "[DONE]";

/// \brief Formats one event of the stream to the caller.
std::string render_stream_event(const completion_request& request, const std::string& request_id,
                                const engine_event& event);

/// \brief Formats the body of a complete answer to a request without streaming.
std::string render_completion(const completion_request& request, const std::string& request_id,
                              const std::string& text, const std::string& finish_reason,
                              const token_usage& usage);

} // namespace azureyoke::protocol
