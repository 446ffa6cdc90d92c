#include "azureyoke/src/app/run_watch_service.h"

#include <algorithm>
#include <utility>

namespace azureyoke::app {

using coordination::run_end_check;
using coordination::run_report;

namespace internal {
namespace {

run_report report_on(const std::string& request, const run_list& list) {
    switch (list.from) {
    case run_list::source::report:
        return list.requests.contains(request) ? run_report::listed : run_report::not_listed;
    case run_list::source::replaced:
        return run_report::replaced;
    case run_list::source::unreachable:
        return run_report::unreachable;
    case run_list::source::unanswered:
        break;
    }
    return run_report::unanswered;
}

const char* name_of(run_report report) {
    switch (report) {
    case run_report::listed:
        return "listed";
    case run_report::not_listed:
        return "not_listed";
    case run_report::replaced:
        return "replaced";
    case run_report::unreachable:
        return "unreachable";
    case run_report::unanswered:
        break;
    }
    return "unanswered";
}

} // namespace
} // namespace internal

class run_watch_service::handle : public run_watcher::watch {
public:
    handle(run_watch_service& owner, std::string server, std::weak_ptr<watched_run> run)
        : owner_(owner), server_(std::move(server)), run_(std::move(run)) {}

    ~handle() override { owner_.remove(server_, run_.lock()); }

    handle(const handle&) = delete;
    handle& operator=(const handle&) = delete;
    handle(handle&&) = delete;
    handle& operator=(handle&&) = delete;

private:
    run_watch_service& owner_;
    std::string server_;
    std::weak_ptr<watched_run> run_;
};

run_watch_service::run_watch_service(transport::event_loop& loop, run_list_client& client,
                                     const event_log& log, log_rate_limiter& log_limiter,
                                     metrics& measures, const server_path& paths)
    : loop_(loop), client_(client), log_(log), log_limiter_(log_limiter), measures_(measures),
      paths_(paths) {}

std::unique_ptr<run_watcher::watch> run_watch_service::await_end(const abandoned_run& run,
                                                                 std::function<void()> done) {
    auto& server = servers_[run.server];
    auto watched = std::make_shared<watched_run>(
        watched_run{run, run_end_check(run.began), loop_.now(), std::move(done)});
    server.runs.push_back(watched);
    server.address = run.address;
    if (server.runs.size() == 1)
        ask_after(run.server, {});
    return std::make_unique<handle>(*this, run.server, watched);
}

void run_watch_service::remove(const std::string& id, const std::shared_ptr<watched_run>& run) {
    if (run == nullptr)
        return;
    run->done = nullptr;
    auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    std::erase(found->second.runs, run);
    if (found->second.runs.empty())
        servers_.erase(found);
}

void run_watch_service::ask_after(const std::string& id, coordination::duration wait) {
    servers_[id].timer = loop_.after(wait, [this, id] { ask(id); });
}

void run_watch_service::ask(const std::string& id) {
    auto asked = loop_.now();
    measures_.count("azureyoke_run_questions_total", "backend_server", id);
    client_.list_runs(id, servers_[id].address,
                      [this, id, asked](const auto& list) { on_list(id, asked, list); });
}

void run_watch_service::on_list(const std::string& id, coordination::instant asked,
                                const run_list& list) {
    auto found = servers_.find(id);
    if (found == servers_.end())
        return;
    std::vector<std::shared_ptr<watched_run>> ended;
    for (const auto& it : found->second.runs) {
        if (it->since > asked)
            continue; // its question comes next
        auto report = internal::report_on(it->run.request_id, list);
        if (report == run_report::unreachable && paths_.lost())
            report = run_report::unanswered; // others may reach the server, and it may work on
        if (!it->check.on_report(report, asked))
            continue;
        log_end(*it, report);
        ended.push_back(it);
    }
    for (const auto& it : ended)
        std::erase(found->second.runs, it);
    if (found->second.runs.empty()) {
        servers_.erase(found);
    } else {
        auto& interval = found->second.interval;
        ask_after(id, interval);
        interval = std::min(2 * interval, run_end_check::max_interval);
    }
    for (const auto& it : ended) {
        if (auto done = std::exchange(it->done, nullptr)) // a handler before may have dropped it
            done();
    }
}

void run_watch_service::log_end(const watched_run& ended, run_report report) {
    const char* evidence = internal::name_of(report);
    measures_.count("azureyoke_ended_runs_total", "evidence", evidence);
    auto now = loop_.now();
    std::int64_t left_out = 0;
    if (!log_limiter_.try_acquire(event_id::run_ended, now, left_out))
        return;
    auto waited = (now - ended.since) / std::chrono::milliseconds(1);
    log_.write(event_id::run_ended, {{"request", ended.run.request_id},
                                     {"backend_server", ended.run.server},
                                     {"evidence", evidence},
                                     {"waited_ms", std::to_string(waited)},
                                     {"left_out", std::to_string(left_out)}});
}

} // namespace azureyoke::app
