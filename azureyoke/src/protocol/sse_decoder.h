#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace azureyoke::protocol {

/// \brief Splits a server-sent event stream into the data of its events.
///
/// The stream may be split into chunks at any byte. Not thread safe.
class sse_decoder {
public:
    /// \brief Creates a decoder that rejects events longer than `max_event_bytes`.
    explicit sse_decoder(std::size_t max_event_bytes);

    /// \returns the data of each event that `chunk` completes.
    std::vector<std::string> feed(std::string_view chunk);

    /// \brief Whether an event was too long; nothing more is decoded.
    bool failed() const { return failed_; }

    /// \brief Whether an event is incomplete.
    bool partial() const { return !line_.empty() || !data_.empty(); }

private:
    void end_line(std::vector<std::string>& events);

    std::size_t max_event_bytes_;
    std::string line_;
    std::string data_;
    bool failed_ = false;
};

} // namespace azureyoke::protocol
