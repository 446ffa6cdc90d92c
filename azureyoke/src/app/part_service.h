#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/app/part_guard.h"
#include "azureyoke/src/app/part_message.h"
#include "azureyoke/src/app/peer_directory.h"
#include "azureyoke/src/app/server_path.h"
#include "azureyoke/src/transport/connect_probe.h"

namespace azureyoke::app {

/// \brief Shares among the instances what is known about prompt parts that crash backend servers,
/// and decides on the trials of the parts that fall to this instance. Not thread safe.
///
/// News spread as rumors: whoever learns something passes it on once to a few random peers, and as
/// long as a part is suspected, each instance repeats what it knows to two random peers twice a
/// second, which reaches those that were started, frozen or cut off. The traffic of an instance
/// does not depend on the number of instances.
class part_service : public part_guard {
public:
    part_service(transport::event_loop& loop, const forward_settings& settings,
                 const peer_directory& peers, const event_log& log, log_rate_limiter& log_limiter,
                 metrics& measures, server_path& paths);

    coordination::part_assessment assess(const std::vector<std::string>& parts) const override;
    void acquire_trial(const std::string& part, trial_handler done) override;
    void on_answer(const std::vector<std::string>& parts,
                   coordination::answer_progress reached) override;
    void on_lost(const lost_request& lost, crash_handler on_crash) override;

    /// \brief A peer reported. When it has just started, it is told the parts whose trials this
    /// instance decides on, or did until the peer came.
    void on_peer(const std::string& instance, std::uint64_t incarnation);
    /// \brief Handles a datagram of a peer. \returns whether it was one of this service.
    bool on_datagram(std::string_view bytes);
    /// \brief Passes news on and forgets what is too old. To be called every 100 ms.
    void tick();

    const coordination::part_suspicions& suspicions() const { return suspicions_; }

private:
    struct server_check {
        std::unique_ptr<transport::connect_probe> probe;
        std::vector<std::pair<lost_request, crash_handler>> lost;
        coordination::instant lost_at; ///< Of the first lost request.
    };

    struct pending_trial {
        std::string part;
        trial_handler done;
        std::unique_ptr<transport::timer> timeout;
    };

    /// \returns the instance that decides on the trials of the part, `without` left out.
    std::string decider_of(const std::string& part, const std::string& without = {}) const;
    void send(const std::string& instance, const std::vector<std::string>& messages) const;
    std::vector<std::string> messages_about(const std::vector<std::string>& parts) const;
    void on_probed(const std::string& server, transport::connect_result result);
    /// The server does not accept connections, and the path to other servers is sound.
    void on_crash_confirmed(const std::string& server, const server_check& check);
    void charge(const lost_request& lost, const coordination::crash_mark& crash);
    void on_news(const part_news& news);
    void on_request(const trial_request& request);
    void on_reply(const trial_reply& reply);
    void end_trial_request(std::uint64_t number, bool granted, coordination::duration wait,
                           const char* result);
    void merge(const part_report& report);
    part_report report_of(const std::string& part) const;
    void send_news(const std::vector<std::string>& parts, std::size_t peers);
    /// Logs that a part became suspected, or is not any more.
    void log_change(const std::string& part, bool was_suspected, const std::string& said_by);

    transport::event_loop& loop_;
    const forward_settings& settings_;
    const peer_directory& peers_;
    const event_log& log_;
    log_rate_limiter& log_limiter_;
    metrics& measures_;
    server_path& paths_;
    coordination::part_suspicions suspicions_;
    std::map<std::string, server_check> checks_; ///< By server.
    std::map<std::uint64_t, pending_trial> pending_;
    std::uint64_t next_number_ = 1;
    std::map<std::string, std::uint64_t> incarnations_; ///< Of the peers that were told the parts.
    std::minstd_rand random_;
    transport::instant repeated_at_;
};

} // namespace azureyoke::app
