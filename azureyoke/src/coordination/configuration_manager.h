#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/configuration.h"
#include "azureyoke/src/state/document_copy.h"
#include "azureyoke/src/state/prefix_hashes.h"

namespace azureyoke::coordination {

using state::document_copy;
using state::document_stamp;

enum class offer_status {
    accepted,
    already_held,
    stale,    ///< This or a higher version is in force.
    damaged,  ///< The digest of the stamp does not match the text.
    invalid,  ///< The text violates a rule.
    conflicts ///< Another document in force declares the same name or key.
};

struct offer_result {
    offer_status verdict = offer_status::already_held;
    std::string reason;

    friend bool operator==(const offer_result&, const offer_result&) = default;
};

/// \brief Holds the configuration in force and decides which documents replace it.
///
/// From every source, only a strictly higher version of a document is accepted, so that a source
/// that lags behind never reverts the configuration. A refused document leaves the earlier version
/// in force. An invalid document is not parsed again. Pure. Not thread safe.
class configuration_manager {
public:
    configuration_manager();

    offer_result offer_document(const document_copy& copy);

    /// \returns the configuration in force; never null.
    std::shared_ptr<const state::configuration> current_configuration() const { return current_; }

    bool has_documents() const { return !documents_.empty(); }

    /// \returns the stamps of all documents in force, ordered by name.
    std::vector<document_stamp> stamps() const;
    /// \returns the copy of document `name`, or null when none is in force.
    const document_copy* find_copy(const std::string& name) const;
    /// \returns the names of the documents of which a peer with `stamps` has a higher version,
    /// without versions that were refused here.
    std::vector<std::string> names_behind(const std::vector<document_stamp>& stamps) const;
    /// \returns the own stamps that a peer with `stamps` lacks or has in a lower version.
    std::vector<document_stamp> stamps_ahead(const std::vector<document_stamp>& stamps) const;

private:
    struct held_document {
        document_copy copy;
        std::shared_ptr<const state::document> parsed;
    };

    offer_result refuse(const document_copy& copy, offer_status verdict, std::string reason);
    void rebuild();

    std::map<std::string, held_document> documents_;
    std::map<document_stamp, offer_result> refusals_;
    std::shared_ptr<const state::configuration> current_;
};

/// \brief Selects the instance that reads the platform for its data centre in `round`.
///
/// Uses rendezvous hashing, so that all instances agree without a message. When the reader is
/// unresponsive, callers pass the next round, which may select another instance.
/// \pre `instances` is not empty.
std::string select_platform_reader(const std::vector<std::string>& instances, std::uint64_t round);

} // namespace azureyoke::coordination
