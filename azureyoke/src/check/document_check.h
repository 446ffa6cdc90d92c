#pragma once

#include <vector>

#include "azureyoke/src/check/finding.h"
#include "azureyoke/src/state/document.h"

namespace azureyoke::check {

/// \brief Looks for entries of a valid document that no request can reach, and for limits that
/// admit nothing. Rules of matching are those of `state::configuration`.
/// \returns warnings only, in the order of the document. Thread safe.
std::vector<finding> check_document(const state::document& doc);

} // namespace azureyoke::check
