#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace azureyoke::app {

/// Maximum size of one content of a section, so that it fits into a datagram beside the fields that
/// each message repeats.
constexpr std::size_t max_section_bytes = 900;

/// \brief Whom a report is for.
enum class report_scope { data_centre, fleet };

/// \brief The run of the instance that sent a section.
struct section_sender {
    std::string instance;
    std::string data_centre;
    std::uint64_t incarnation = 0; ///< Changes when the instance starts again.

    friend bool operator==(const section_sender&, const section_sender&) = default;
};

/// \brief A named section of the reports between instances, owned by one feature.
///
/// Instances of a build that does not know the section ignore it. Messages may be lost, repeated
/// or overtake each other, and an instance may send several contents at once. Not thread safe.
class peer_section {
public:
    virtual ~peer_section() = default;
    /// \returns the name of the section on the wire. It never changes.
    virtual std::string name() const = 0;
    /// \brief Called for each report: with `data_centre` for the instances of the own data centre,
    /// with `fleet` for the others. Reports to the own data centre are sent every 500 ms, and every
    /// 100 ms while there is news; those to the others twice a second.
    /// \returns the contents to send, each of at most `max_section_bytes`; none when there is no
    /// news.
    virtual std::vector<std::string> contents(report_scope scope) = 0;
    /// \brief A content came from another instance. \returns whether it could be read.
    virtual bool on_content(const section_sender& sender, std::string_view content) = 0;

    /// \returns whether there is news for which a report to the own data centre is worth sending.
    virtual bool has_news() const { return false; }
};

} // namespace azureyoke::app
