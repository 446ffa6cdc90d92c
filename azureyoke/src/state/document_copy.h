#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace azureyoke::state {

/// \brief Identifies one version of a document. Documents with equal stamps have equal texts.
struct document_stamp {
    std::string name;
    std::int64_t version = 0;
    std::string digest;

    friend auto operator<=>(const document_stamp&, const document_stamp&) = default;
};

/// \brief A document's text as the platform and peers transfer it.
struct document_copy {
    document_stamp stamp;
    std::string text;
    std::int64_t accepted_ms = 0; ///< Unix time by the clock of the operator's machine.

    friend bool operator==(const document_copy&, const document_copy&) = default;
};

} // namespace azureyoke::state
