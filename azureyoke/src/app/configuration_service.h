#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/coordination/configuration_manager.h"
#include "azureyoke/src/protocol/table_service.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// \brief Prefix of the table rows that hold documents.
constexpr const char* document_rows = "document/";

/// \returns the row text that stores a document copy with the id of its write.
std::string to_row_text(const coordination::document_copy& copy, const std::string& write_id);
/// \returns the document copy in a row, or nothing when the text is not a document row.
std::optional<coordination::document_copy> parse_row_text(const std::string& text);
/// \returns the id of the write that produced the row. A writer whose answer was lost compares it
/// to find out whether the write took effect.
std::string write_id_of(const std::string& row_text);

/// \brief Reads documents from the platform and passes them to the configuration manager.
class configuration_service {
public:
    /// \brief Called with the previous version of a document, or null, and the new version.
    using change_handler = std::function<void(const std::shared_ptr<const state::document>& before,
                                              const std::shared_ptr<const state::document>& after)>;

    configuration_service(transport::event_loop& loop, protocol::table_service& table,
                          coordination::configuration_manager& manager, const event_log& log,
                          transport::duration period, change_handler on_change);

    /// \brief Starts the periodic reads.
    void start();

    /// \brief Sets whether this instance polls the platform at every period. Other instances get
    /// documents from peers and poll less often.
    void set_reader(bool reads) { is_reader_ = reads; }

    /// \brief Processes a document copy. `source`, the platform or a peer, is logged.
    void offer_document(const coordination::document_copy& copy, const std::string& source);

    bool is_reader() const { return is_reader_; }

    bool platform_reachable() const { return platform_reachable_; }

    /// \returns the milliseconds from the acceptance of the current version until it came into
    /// force on this instance, or nothing when it was accepted before this instance started. The
    /// error is the difference between the clocks of the operator's machine and of the instance.
    std::optional<std::int64_t> time_to_force_ms(const std::string& document) const;

    std::uint64_t reads() const { return read_count_; }

private:
    void read();
    void record_time_to_force(const coordination::document_copy& copy);

    transport::event_loop& loop_;
    protocol::table_service& table_;
    coordination::configuration_manager& manager_;
    const event_log& log_;
    transport::duration period_;
    change_handler on_change_;
    std::unique_ptr<transport::timer> poll_timer_;
    std::int64_t started_ms_;
    std::map<std::string, std::int64_t> time_to_force_ms_; ///< By document name.
    bool is_reader_ = true;
    int skipped_polls_ = 0;
    bool read_pending_ = false;
    bool platform_reachable_ = true;
    std::uint64_t read_count_ = 0;
    std::map<coordination::document_stamp, coordination::offer_status> reported_refusals_;
};

} // namespace azureyoke::app
