#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/coordination/time.h"

namespace azureyoke::coordination {

/// \brief The software version that a stream began on.
struct stream_binding {
    std::string pool;
    std::string software;
    instant until; ///< The caller does not take the stream up later.

    friend bool operator==(const stream_binding&, const stream_binding&) = default;
};

struct binding_settings {
    std::size_t max_bindings = 50'000;

    friend bool operator==(const binding_settings&, const binding_settings&) = default;
};

/// Software version, which no server has, of a stream whose events may come from either of two.
inline constexpr const char* uncertain_software = "\n";

/// \brief The bindings of the streams that this instance saw or keeps for others, by the id of the
/// request that got the first event. The first binding of a stream holds, unless its version is
/// found to be uncertain. Pure. Not thread safe.
class stream_bindings {
public:
    explicit stream_bindings(const binding_settings& settings) : settings_(settings) {}

    /// \brief Adds a binding. If one is known, only `uncertain_software` changes it. \pre
    /// `binding.until` is after `now`.
    void add(const std::string& stream, const stream_binding& binding, instant now);
    /// \brief Forgets a stream that came to its end.
    void remove(const std::string& stream);
    std::optional<stream_binding> find(const std::string& stream, instant now) const;
    void expire(instant now);

    const std::map<std::string, stream_binding>& all() const { return bindings_; }

private:
    void drop_first();

    binding_settings settings_;
    std::map<std::string, stream_binding> bindings_;
    std::multimap<instant, std::string> ends_;
};

/// \returns up to `count` of the instances that keep the binding of `stream`: the same for the same
/// `instances` in any order. When one of them goes, the others still keep it.
std::vector<std::string> choose_keepers(const std::vector<std::string>& instances,
                                        std::string_view stream, std::size_t count);

} // namespace azureyoke::coordination
