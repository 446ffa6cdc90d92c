#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace azureyoke::coordination {

/// \brief Forwards a stream of server-sent events in complete events, so that another server can
/// resume the stream.
///
/// Events carry rising ids in lines `id: N`. An event whose id was already forwarded is dropped,
/// since a server that resumes a stream may repeat it. Pure. Not thread safe.
class event_relay {
public:
    /// An event holds a few tokens. More bytes than this without a blank line are not an event.
    static constexpr std::size_t max_event_bytes = 256 * 1024;

    /// \returns the events that `bytes` complete, as received.
    std::string append(std::string_view bytes);
    /// \brief The stream ended normally. \returns the buffered bytes of an incomplete event.
    std::string take_incomplete();

    /// \returns whether bytes of an incomplete event are buffered.
    bool has_incomplete() const { return !incomplete_.empty(); }

    /// \returns whether the incomplete event exceeds `max_event_bytes`.
    bool exceeds_limit() const { return incomplete_.size() > max_event_bytes; }

    /// \brief Another server resumes the stream and repeats the incomplete event.
    void restart() { incomplete_.clear(); }

    /// \returns the id of the last forwarded event; empty before the first.
    const std::string& last_id() const { return last_id_; }

private:
    std::string incomplete_;
    std::string last_id_;
    std::int64_t last_number_ = -1;
};

} // namespace azureyoke::coordination
