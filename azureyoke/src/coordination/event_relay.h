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

    /// \returns the number of events that `append` returned, without comments.
    std::size_t events() const { return events_; }

    /// \returns whether bytes of an incomplete event are buffered.
    bool has_incomplete() const { return !incomplete_.empty(); }

    /// \returns the buffered bytes of an incomplete event.
    std::size_t incomplete_bytes() const { return incomplete_.size(); }

    /// \returns whether the incomplete event, or the comments since the last event, exceed
    /// `max_event_bytes`.
    bool exceeds_limit() const {
        return incomplete_.size() > max_event_bytes || comment_bytes_ > max_event_bytes;
    }

    /// \brief Another server resumes the stream and repeats the incomplete event.
    void restart() {
        incomplete_.clear();
        comment_bytes_ = 0;
    }

    /// \returns the id of the last forwarded event; empty before the first.
    const std::string& last_id() const { return last_id_; }

private:
    std::string incomplete_;
    std::size_t events_ = 0;
    std::size_t comment_bytes_ = 0; ///< Since the last event.
    std::string last_id_;
    std::int64_t last_number_ = -1;
};

} // namespace azureyoke::coordination
