#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace azureyoke::coordination {

/// \brief Passes a stream of events on in whole events, so that another server can take it up.
///
/// Events carry rising ids in lines `id: N`. An event whose id was passed on before is dropped: a
/// server that resumes may repeat it. Pure. Not thread safe.
class event_relay {
public:
    /// Events hold a few tokens each; bytes without a blank line are no event beyond this.
    static constexpr std::size_t most_event_bytes = 256 * 1024;

    /// \returns the whole events that `bytes` complete, as received.
    std::string feed(std::string_view bytes);
    /// \brief The stream ended in order. \returns what was held back of an unfinished event.
    std::string finish();

    /// \returns whether an event is so long that it can't be taken for one.
    bool overflowing() const { return partial_.size() > most_event_bytes; }

    /// \brief Another server goes on: the unfinished event comes again.
    void restart() { partial_.clear(); }

    /// \returns the id of the last event that was passed on; empty before the first.
    const std::string& last_id() const { return last_id_; }

private:
    std::string partial_;
    std::string last_id_;
    std::int64_t last_number_ = -1;
};

} // namespace azureyoke::coordination
