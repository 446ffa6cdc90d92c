#pragma once

#include <cstddef>
#include <set>
#include <string>

namespace azureyoke::coordination {

/// \brief What is known of a stream whose binding neither this instance nor a peer has.
struct stream_evidence {
    enum class store_read { not_begun, under_way, done, failed };

    /// Software versions on which the stream may have begun, by all views so far.
    std::set<std::string> versions;
    /// One of the views covers the time before its instance started.
    bool complete = false;
    std::size_t replies = 0; ///< Of peers.
    /// The registry and the stored versions and streams, read after the question came.
    store_read store = store_read::not_begun;

    friend bool operator==(const stream_evidence&, const stream_evidence&) = default;
};

enum class stream_decision {
    go_on,        ///< At the only version.
    read_store,   ///< What is known does not suffice, and the store may tell more.
    wait,         ///< For the store's answer.
    unanswered,   ///< Neither a peer nor the store answered.
    unknown_begin ///< The stream may have begun on another version than those that serve.
};

/// \brief Decides whether a stream that nobody remembers goes on.
///
/// An instance that was frozen or cut off may lack a version that came meanwhile, so that its own
/// view proves nothing. A peer's reply or a read of the store that began after the question does.
/// How many peers there are, and why they are silent, makes no difference. Thread safe.
stream_decision decide(const stream_evidence& known);

} // namespace azureyoke::coordination
