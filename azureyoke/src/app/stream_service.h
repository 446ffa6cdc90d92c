#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/app/peer_directory.h"
#include "azureyoke/src/app/stream_message.h"
#include "azureyoke/src/app/stream_registry.h"
#include "azureyoke/src/app/stream_store_reader.h"
#include "azureyoke/src/coordination/software_versions.h"
#include "azureyoke/src/coordination/stream_evidence.h"

namespace azureyoke::app {

/// \brief Knows on which software version each stream began, also if the instance that saw it begin
/// is gone. Not thread safe.
///
/// While a pool has servers of one version only, that is known without a message. When there are
/// several, the instance that passes on a stream's first event has its version kept by a few peers,
/// chosen by the stream's id; who gets the take-up asks these. A stream that nobody knows goes on
/// only if its pool has had one version for as long as a stream lasts.
///
/// The store has what must outlive all instances: the versions of each pool and, while there are
/// several, the open streams of each instance as of some hundred milliseconds ago. Instances read
/// both when they start, and again for a stream of which no peer can tell.
class stream_service : public stream_registry {
public:
    stream_service(transport::event_loop& loop, const forward_settings& settings,
                   forward_state& state, peer_directory& peers, server_list_reader& servers,
                   record_store& records, const event_log& log, metrics& measures);

    bool versions_are_current() const override;
    void on_begun(const std::string& stream, const std::string& pool, const std::string& software,
                  coordination::duration remaining) override;
    void on_uncertain(const std::string& stream, const std::string& pool) override;
    void on_complete(const std::string& stream) override;
    void find(const std::string& stream, const std::string& pool, handler done) override;

    /// \brief Reads the stored versions and streams.
    void start();
    /// \brief The list of servers or the policy changed.
    void on_fleet_changed();
    /// \brief The store was restored from an older copy.
    void on_registry_era();
    /// \brief Hands the kept bindings over to peers, because this instance leaves.
    void leave();
    /// \brief Handles a datagram of a peer. \returns whether it was one of this service.
    bool on_datagram(std::string_view bytes);
    /// \brief To be called every 100 ms.
    void tick();

    const coordination::software_versions& versions() const { return versions_; }

private:
    struct pending_question {
        std::string pool;
        std::string stream;
        handler done;
        coordination::stream_evidence known;
        std::size_t awaited = 0;
        std::unique_ptr<transport::timer> timeout;
    };

    /// Reads and writes the records that are due.
    void exchange_with_store();
    void read_stored();
    void write_stored(const state::record_version& version);
    void read_streams();
    void write_streams();
    bool has_several_versions(const std::string& pool) const;
    /// Sends bindings to the peers that keep them.
    void hand_over(const std::vector<kept_stream>& streams, const std::string& without);
    void on_question(const stream_question& question);
    void on_reply(const stream_reply& reply);
    /// Nobody knows the stream: decides by the versions that it may have begun on.
    void decide_unknown(std::uint64_t number);
    /// No peer can tell of the stream: asks the store.
    void ask_store(std::uint64_t number);
    bool on_store_content(const stream_store_reader::content& found);
    void on_store_read(std::uint64_t number, bool done);
    /// Keeps the streams of an instance's record.
    void keep_stored_streams(const stored_record& record, bool as_own);
    std::optional<coordination::version_sets> read_versions(const stored_record& record) const;
    void end_question(std::uint64_t number, const answer& made, const char* result);
    /// An instance knows the stream. `software` may be `uncertain_software`.
    void end_known(std::uint64_t number, const std::string& software);

    transport::event_loop& loop_;
    const forward_settings& settings_;
    forward_state& state_;
    peer_directory& peers_;
    record_store& records_;
    const event_log& log_;
    metrics& measures_;
    stream_store_reader store_reader_;
    coordination::stream_bindings bindings_;
    coordination::software_versions versions_;
    std::map<std::uint64_t, pending_question> pending_;
    std::uint64_t next_number_ = 1;
    std::set<std::string> mixed_pools_;                ///< Whose bindings peers keep.
    std::optional<coordination::version_sets> stored_; ///< As last read or written.
    coordination::version_sets versions_in_store_;     ///< As last read for a question.
    transport::instant next_store_;
    bool storing_ = false;
    std::set<std::string> own_streams_; ///< Open streams that this instance bound.
    bool own_streams_changed_ = false;
    bool streams_read_ = false;
    bool streams_stored_ = false; ///< The record of this instance is not empty.
    bool transferring_streams_ = false;
    transport::instant next_streams_;
    transport::instant last_tick_;
    transport::instant resumed_at_; ///< The last time that the process ran again after a stop.
};

} // namespace azureyoke::app
