#include "standin/soak.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <random>
#include <set>

#include <nlohmann/json.hpp>

#include "standin/completion_call.h"
#include "standin/soak_check.h"
#include "standin/stream_checker.h"

namespace azureyoke::standin {

using nlohmann::json;
using std::chrono::milliseconds;
using transport::instant;

namespace internal {
namespace {

constexpr double completions_per_second = 40;
constexpr double refunds_per_second = 6;
constexpr int tokens_per_answer = 30;
constexpr int max_repeats = 4;
/// Limit on the instances, of five, that are killed or stopped at the same time: a fleet without a
/// running instance serves no requests.
constexpr std::size_t max_disturbed_instances = 2;

class soak_run {
public:
    soak_run(const fleet_options& options, std::uint64_t seed, double seconds)
        : options_(soak_fleet_options(options)), fleet_(options_), random_(seed),
          seconds_(seconds) {}

    int run() {
        fleet_.start();
        started_at_ = fleet_.loop().now();
        send_until_ = started_at_ + std::chrono::duration_cast<transport::duration>(
                                        std::chrono::duration<double>(seconds_));
        send_next_completion();
        send_next_refund();
        inject_next_fault();
        while (fleet_.loop().now() < send_until_ || open_requests_ > 0)
            fleet_.loop().run_once(true);
        clear_faults();
        auto stats = fleet_.fetch(fleet_.service().direct, {"GET", "/stats", {}, {}});
        check_soak_history(history_, json::parse(stats.value().body)["runs"],
                           {static_cast<double>(options_.tokens_per_second),
                            static_cast<double>(options_.burst_tokens)});
        print_report();
        return history_.violations.empty() ? 0 : 1;
    }

private:
    static fleet_options soak_fleet_options(fleet_options options) {
        options.instances = 5;
        options.data_centres = 2;
        options.behind_proxy = true;
        options.tokens_per_second = 4000;
        options.burst_tokens = 8000;
        return options;
    }

    int random_int(int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random_);
    }

    void schedule_random(double mean_seconds, std::function<void()> call) {
        std::exponential_distribution<> gap(1 / mean_seconds);
        auto wait = std::chrono::duration<double>(gap(random_));
        schedule_after(std::chrono::duration_cast<transport::duration>(wait), std::move(call));
    }

    void schedule_after(transport::duration wait, std::function<void()> call) {
        timers_.push_back(fleet_.loop().after(wait, std::move(call)));
    }

    bool sending_time_over() { return fleet_.loop().now() >= send_until_; }

    std::size_t random_instance() {
        return static_cast<std::size_t>(
            random_int(0, static_cast<int>(fleet_.instances().size()) - 1));
    }

    void send_next_completion() {
        if (sending_time_over())
            return;
        send_completion();
        schedule_random(1 / completions_per_second, [this] { send_next_completion(); });
    }

    void send_completion() {
        static const std::vector<std::string> names = {"returns",  "returns", "returns",
                                                       "disputes", "pickups", "yards"};
        completion_record record;
        record.workspace = names[static_cast<std::size_t>(random_int(0, 5))];
        record.instance = random_instance();
        record.sent = fleet_.loop().now();
        auto prompt = "shared rules " + std::to_string(random_int(0, 9)) + std::string(4000, 'r') +
                      std::to_string(random_int(0, 1'000'000));
        auto request =
            make_request({fleet_.key(record.workspace), prompt, tokens_per_answer, true});
        ++open_requests_;
        fleet_.client().fetch(fleet_.instances()[record.instance].callers, request,
                              [this, record, prompt](auto answer) mutable {
                                  --open_requests_;
                                  record.answered = fleet_.loop().now();
                                  if (answer)
                                      read_stream(*answer, prompt, record);
                                  else
                                      record_failure(answer.error(), record);
                                  history_.completions.push_back(std::move(record));
                              });
    }

    static void record_failure(const transport::error& ec, completion_record& record) {
        record.connected = ec.code != transport::errc::connect_failed;
        record.connection_error = ec.what;
    }

    static void read_stream(const transport::http_response& answer, const std::string& prompt,
                            completion_record& record) {
        record.status = answer.status;
        if (answer.status != 200)
            return;
        stream_checker checker(prompt, tokens_per_answer);
        (void)checker.feed(answer.body);
        record.explicit_error = !checker.error_code().empty();
        record.first_unexpected_event = checker.first_unexpected_event();
        record.whole = checker.outcome() == stream_outcome::whole;
        record.used = static_cast<std::int64_t>(prompt.size()) / 4 + 1 + checker.tokens_received();
    }

    void send_next_refund() {
        if (sending_time_over())
            return;
        send_refund("refund-" + std::to_string(next_refund_number_++));
        schedule_random(1 / refunds_per_second, [this] { send_next_refund(); });
    }

    void send_refund(const std::string& key) {
        transport::http_request request{
            "POST",
            "/wallet/refund",
            {{"x-api-key", fleet_.key("wallets")}, {"Idempotency-Key", key}},
            R"({"cup":1})"};
        ++open_requests_;
        fleet_.client().fetch(fleet_.instances()[random_instance()].callers, request,
                              [this, key](auto answer) {
                                  --open_requests_;
                                  on_refund(key, answer);
                              });
    }

    void on_refund(const std::string& key,
                   const transport::result<transport::http_response>& answer) {
        auto& record = history_.refunds[key];
        if (answer && answer->status == 200) {
            record.answered = true;
            return;
        }
        auto run_header =
            answer ? transport::find_field(answer->fields, "x-azureyoke-run").value_or("") : "";
        record.reported_not_run = run_header == "not-run";
        // The caller repeats the refund with the same key through a random instance.
        if (++record.repeats <= max_repeats)
            schedule_after(milliseconds(random_int(50, 1500)), [this, key] { send_refund(key); });
    }

    void inject_next_fault() {
        if (sending_time_over())
            return;
        inject_fault(random_int(0, 7));
        schedule_random(1.0, [this] { inject_next_fault(); });
    }

    void post(const transport::address& at, const std::string& path, const json& body) {
        fleet_.client().fetch(at, {"POST", path, {}, body.dump()}, [](auto) {});
    }

    void inject_fault(int kind) {
        ++fault_count_;
        switch (kind) {
        case 0:
            post(fleet_.engines()[static_cast<std::size_t>(random_int(0, 3))].direct, "/control",
                 {{"crash", true}});
            return;
        case 1:
            kill_instance(random_instance());
            return;
        case 2:
            stop_instance(random_instance());
            return;
        case 3:
            platform_outage();
            return;
        case 4:
            cut_platform_link(random_instance());
            return;
        case 5:
            change_keys();
            return;
        case 6:
            lose_service_answers();
            return;
        default:
            post(fleet_.platform(), "/control", {{"lose_answers", 0.3}});
            schedule_after(std::chrono::seconds(3), [this] {
                post(fleet_.platform(), "/control", {{"lose_answers", 0.0}});
            });
            return;
        }
    }

    /// Drops the service's answers for a while: requests reach the service and take effect.
    void lose_service_answers() {
        auto link = fleet_.service().name;
        post(fleet_.proxy(), "/control", {{"link", link}, {"fault", "drop_answer"}});
        schedule_after(milliseconds(random_int(300, 1500)), [this, link] {
            post(fleet_.proxy(), "/control", {{"link", link}, {"fault", "none"}});
        });
    }

    void kill_instance(std::size_t index) {
        if (!disturbed_instances_.insert(index).second ||
            disturbed_instances_.size() > max_disturbed_instances) {
            disturbed_instances_.erase(index);
            return;
        }
        auto& it = fleet_.instances()[index];
        it.child->signal(SIGKILL);
        it.child->wait();
        history_.killed_at[index].push_back(fleet_.loop().now());
        schedule_after(milliseconds(random_int(500, 3000)), [this, index] {
            fleet_.start_instance(index);
            disturbed_instances_.erase(index);
        });
    }

    void stop_instance(std::size_t index) {
        if (!disturbed_instances_.insert(index).second ||
            disturbed_instances_.size() > max_disturbed_instances) {
            disturbed_instances_.erase(index);
            return;
        }
        fleet_.instances()[index].child->signal(SIGSTOP);
        schedule_after(milliseconds(random_int(500, 12'000)), [this, index] {
            fleet_.instances()[index].child->signal(SIGCONT);
            disturbed_instances_.erase(index);
        });
    }

    void platform_outage() {
        post(fleet_.platform(), "/control", {{"outage", true}});
        schedule_after(milliseconds(random_int(500, 5000)), [this] {
            post(fleet_.platform(), "/control", {{"outage", false}});
        });
    }

    void cut_platform_link(std::size_t index) {
        auto link = "platform-" + fleet_.instances()[index].name;
        post(fleet_.proxy(), "/control", {{"link", link}, {"fault", "cut"}});
        schedule_after(milliseconds(random_int(500, 8000)), [this, link] {
            post(fleet_.proxy(), "/control", {{"link", link}, {"fault", "none"}});
        });
    }

    /// Two operators apply the same version at the same time; it withdraws or grants the key of
    /// "yards". At most one of the operators may be told that the version is accepted.
    void change_keys() {
        if (key_withdrawn_)
            fleet_.grant_key("yards");
        else
            fleet_.withdraw_key("yards");
        auto next = fleet_.version() + 1;
        auto first_apply = fleet_.start_apply("soak-a", next);
        auto second_apply = fleet_.start_apply("soak-b", next);
        auto codes = std::make_pair(first_apply->wait(), second_apply->wait());
        if (codes.first == 0 && codes.second == 0)
            history_.violations.emplace_back("two operators were both told that version " +
                                             std::to_string(next) + " is accepted");
        bool accepted = codes.first == 0 || codes.second == 0;
        if (!accepted) {
            // An outage may have prevented both writes, so the change to the document is undone.
            undo_key_change();
            return;
        }
        fleet_.set_version(next);
        key_withdrawn_ = !key_withdrawn_;
        history_.key_changes.emplace_back(fleet_.loop().now(), key_withdrawn_);
    }

    void undo_key_change() {
        if (key_withdrawn_)
            fleet_.withdraw_key("yards");
        else
            fleet_.grant_key("yards");
        // A write whose answer was lost may have taken effect and used the version.
        fleet_.set_version(fleet_.version() + 1);
        history_.key_state_uncertain = true;
    }

    void clear_faults() {
        auto all_instances_running = [this] { return disturbed_instances_.empty(); };
        (void)fleet_.wait_until(all_instances_running, 20'000);
        fleet_.control(fleet_.platform(), "/control", R"({"outage":false,"lose_answers":0})");
        for (const auto& it : fleet_.instances())
            fleet_.control(fleet_.proxy(), "/control",
                           json({{"link", "platform-" + it.name}, {"fault", "none"}}).dump());
        if (fleet_.apply_document() != 0)
            history_.violations.emplace_back("a document was refused after all faults had ended");
        auto max_wait_ms = std::chrono::duration_cast<milliseconds>(max_activation_time).count();
        if (!fleet_.wait_in_force(static_cast<int>(max_wait_ms)))
            history_.violations.emplace_back(
                "an accepted document was not in force everywhere in 17 s");
    }

    void print_report() {
        std::map<int, int> by_status;
        int whole = 0;
        for (const auto& it : history_.completions) {
            ++by_status[it.status];
            whole += it.whole ? 1 : 0;
        }
        json statuses;
        for (const auto& [status, n] : by_status)
            statuses[status == 0 ? "cut" : std::to_string(status)] = n;
        std::cout << json({{"case", "soak"},
                           {"faults", fault_count_},
                           {"completions", history_.completions.size()},
                           {"whole", whole},
                           {"by_status", statuses},
                           {"refunds", history_.refunds.size()},
                           {"refunds_answered", history_.answered_refunds},
                           {"violations", history_.violations.size()}})
                         .dump()
                  << "\n";
        for (const auto& it : history_.violations)
            std::cout << "VIOLATION: " << it << "\n";
    }

    fleet_options options_;
    fleet fleet_;
    soak_history history_;
    std::mt19937_64 random_;
    double seconds_;
    instant started_at_;
    instant send_until_;
    int open_requests_ = 0;
    int fault_count_ = 0;
    int next_refund_number_ = 1;
    bool key_withdrawn_ = false;
    std::set<std::size_t> disturbed_instances_;
    std::vector<std::unique_ptr<transport::timer>> timers_;
};

} // namespace
} // namespace internal

int run_soak(const fleet_options& options, std::uint64_t seed, double seconds) {
    return internal::soak_run(options, seed, seconds).run();
}

} // namespace azureyoke::standin
