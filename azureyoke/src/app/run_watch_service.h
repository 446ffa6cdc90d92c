#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "azureyoke/src/app/event_log.h"
#include "azureyoke/src/app/forward_ports.h"
#include "azureyoke/src/app/log_rate_limiter.h"
#include "azureyoke/src/app/metrics.h"
#include "azureyoke/src/app/run_watcher.h"
#include "azureyoke/src/app/server_path.h"
#include "azureyoke/src/coordination/run_end_check.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke::app {

/// \brief Asks backend servers which requests they work on, until the watched ones have ended.
///
/// One question at a time goes to a server, whatever the number of its watched requests. Outlives
/// all watches. Not thread safe.
class run_watch_service : public run_watcher {
public:
    run_watch_service(transport::event_loop& loop, run_list_client& client, const event_log& log,
                      log_rate_limiter& log_limiter, metrics& measures, const server_path& paths);

    std::unique_ptr<watch> await_end(const abandoned_run& run, std::function<void()> done) override;

private:
    struct watched_run {
        abandoned_run run;
        coordination::run_end_check check;
        coordination::instant since;
        std::function<void()> done;
    };

    struct watched_server {
        std::string address;
        std::vector<std::shared_ptr<watched_run>> runs; ///< Never empty.
        coordination::duration interval = coordination::run_end_check::min_interval;
        std::unique_ptr<transport::timer> timer; ///< Until the next question.
    };
    class handle;

    void ask_after(const std::string& id, coordination::duration wait);
    void ask(const std::string& id);
    void on_list(const std::string& id, coordination::instant asked, const run_list& list);
    void log_end(const watched_run& ended, coordination::run_report report);
    void remove(const std::string& id, const std::shared_ptr<watched_run>& run);

    transport::event_loop& loop_;
    run_list_client& client_;
    const event_log& log_;
    log_rate_limiter& log_limiter_;
    metrics& measures_;
    const server_path& paths_;
    std::map<std::string, watched_server> servers_;
};

} // namespace azureyoke::app
