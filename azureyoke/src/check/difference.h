#pragma once

#include <map>
#include <string>
#include <vector>

#include "azureyoke/src/check/finding.h"
#include "azureyoke/src/state/document.h"
#include "azureyoke/src/state/traffic_policy.h"

namespace azureyoke::check {

/// \brief A named element of a configuration, as its fields and their printed values.
struct described_element {
    std::string place;
    std::map<std::string, std::string> fields;

    friend bool operator==(const described_element&, const described_element&) = default;
};

/// \returns the elements of a configuration by their names. Keys appear as their number and a
/// digest, never as text. Thread safe.
std::vector<described_element> describe(const state::traffic_policy& policy);
std::vector<described_element> describe(const state::document& doc);

/// \returns what differs: elements that were added, removed or have other fields. The order of
/// elements does not count. Thread safe.
std::vector<finding> compare(const std::vector<described_element>& in_force,
                             const std::vector<described_element>& candidate);

} // namespace azureyoke::check
