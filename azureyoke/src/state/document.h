#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/state/error.h"
#include "azureyoke/src/state/key_digest.h"

namespace azureyoke::state {

/// \brief A workspace's rate limit, summed over all instances.
struct rate_limit {
    std::int64_t tokens_per_second = 0;
    std::int64_t burst_tokens = 0;

    friend bool operator==(const rate_limit&, const rate_limit&) = default;
};

/// \brief The keys, rate limit and models of one group of callers.
struct workspace {
    std::string name;
    std::vector<key_digest> keys;
    rate_limit limit;
    int weight = 1; ///< Share in weighted fair queueing.
    std::vector<std::string> models;

    friend bool operator==(const workspace&, const workspace&) = default;
};

enum class backend_kind { engine, service };

/// \brief A server that answers requests: an inference engine or a plain service.
struct backend_server {
    std::string name;
    std::string address; ///< IP address and port.
    std::string data_centre;
    backend_kind kind = backend_kind::engine;
    std::vector<std::string> models;
    bool leaving = false; ///< Receives no new requests.

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

enum class route_access { keyed, open };

/// \brief Sends requests whose path starts with `path_prefix` to plain services.
struct route {
    std::string path_prefix;
    std::vector<std::string> backend_servers;
    route_access access = route_access::keyed;
    bool repeatable = true; ///< A request may run more than once.
    bool honours_idempotency_key = false;

    friend bool operator==(const route&, const route&) = default;
};

/// \brief The relative share of every workspace's limit that one data centre may spend.
struct data_centre_share {
    std::string data_centre;
    int weight = 1;

    friend bool operator==(const data_centre_share&, const data_centre_share&) = default;
};

/// \brief A model that the document's backend servers serve.
struct model {
    std::string name;
    std::string weights; ///< Version of the weights that may serve requests.

    friend bool operator==(const model&, const model&) = default;
};

/// \brief One service team's configuration, at one version. Immutable once parsed.
struct document {
    std::string name;
    std::int64_t version = 0;
    std::vector<data_centre_share> data_centres;
    std::vector<model> models;
    std::vector<workspace> workspaces;
    std::vector<backend_server> backend_servers;
    std::vector<route> routes;

    friend bool operator==(const document&, const document&) = default;
};

/// \brief Parses and validates a document written in JSON with comments.
/// \returns the document, or all errors found, at least one, ordered by line.
/// Thread safe.
tl::expected<document, std::vector<error>> parse_document(std::string_view text);

/// \returns the share of each workspace's limit, in millionths, that `data_centre` may spend; 0
/// when the document does not list it.
std::int64_t data_centre_part(const document& doc, std::string_view data_centre);

} // namespace azureyoke::state
