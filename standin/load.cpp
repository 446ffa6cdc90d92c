#include "standin/load.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <sstream>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "azureyoke/src/coordination/time.h"
#include "standin/completion_call.h"
#include "standin/quantile.h"
#include "standin/stream_checker.h"

namespace azureyoke::standin {

using nlohmann::json;
using transport::instant;

namespace internal {
namespace {

/// Fields of /proc/PID/stat between the process name and the processor times (utime, stime).
constexpr int fields_before_cpu_times = 11;

/// Raw measurements and counters of one load; times are in seconds.
struct samples {
    load_result result;
    std::vector<double> first_token_s;
    std::vector<double> between_tokens_s;
    std::map<std::string, std::vector<double>> first_token_s_of;
    std::map<std::string, std::int64_t> sent_of;
    std::map<std::string, std::int64_t> refused_of;
    double prompt_tokens = 0;
    double cached_tokens = 0;
    std::int64_t open_requests = 0;
};

/// Receives and checks one stream.
class load_sink : public transport::http_response_sink {
public:
    load_sink(transport::event_loop& loop, samples& measurements, std::string workspace,
              const std::string& prompt, int tokens)
        : loop_(loop), samples_(measurements), workspace_(std::move(workspace)),
          checker_(prompt, tokens, {"w1", "w2"}), sent_at_(loop.now()) {}

    void keep_call(std::unique_ptr<transport::http_call> call) { call_ = std::move(call); }

    void on_head(int status, const transport::http_fields& /*fields*/) override {
        status_ = status;
    }

    void on_piece(std::string_view piece) override {
        if (status_ != 200) {
            body_.append(piece);
            return;
        }
        for (auto n = checker_.feed(piece); n > 0; --n)
            on_token();
    }

    void on_end() override { finish(false); }

    void on_failure(const transport::error& /*ec*/) override { finish(true); }

private:
    void on_token() {
        auto now = loop_.now();
        if (awaiting_first_token_) {
            awaiting_first_token_ = false;
            samples_.first_token_s.push_back(coordination::to_seconds(now - sent_at_));
            samples_.first_token_s_of[workspace_].push_back(samples_.first_token_s.back());
        } else {
            samples_.between_tokens_s.push_back(coordination::to_seconds(now - last_token_at_));
        }
        last_token_at_ = now;
    }

    std::string refusal_code(bool connection_failed) const {
        if (status_ == 200 || connection_failed)
            return checker_.error_code();
        auto body = json::parse(body_, nullptr, false);
        bool has_error = body.is_object() && body.contains("error");
        return has_error ? body["error"].value("code", "") : std::string();
    }

    void finish(bool connection_failed) {
        --samples_.open_requests;
        samples_.prompt_tokens += static_cast<double>(checker_.usage().prompt_tokens);
        samples_.cached_tokens += static_cast<double>(checker_.usage().cached_tokens);
        auto code = refusal_code(connection_failed);
        bool has_unexpected_event = !checker_.first_unexpected_event().empty();
        if (!code.empty() && !has_unexpected_event) {
            ++samples_.result.refused[code];
            ++samples_.refused_of[workspace_];
        } else if (checker_.outcome() == stream_outcome::whole) {
            ++samples_.result.whole;
        } else {
            ++samples_.result.broken;
        }
        // The call owns this sink, so it is destroyed only after this function has returned.
        loop_.defer([call = std::shared_ptr<transport::http_call>(std::move(call_))] {});
    }

    transport::event_loop& loop_;
    samples& samples_;
    std::string workspace_;
    stream_checker checker_;
    instant sent_at_;
    instant last_token_at_;
    std::unique_ptr<transport::http_call> call_;
    int status_ = 0;
    bool awaiting_first_token_ = true;
    std::string body_;
};

/// Sends requests as a Poisson process, independently of the answers (open loop).
class load_run {
public:
    load_run(transport::event_loop& loop, transport::http_client& client,
             const load_options& options)
        : loop_(loop), client_(client), options_(options), random_(options.seed) {
        for (const auto& [name, key] : options.keys) {
            workspaces_.push_back(name);
            workspace_weights_.push_back(name == options.greedy ? options.greedy_factor : 1);
        }
    }

    load_result run() {
        until_ = loop_.now() + std::chrono::duration_cast<transport::duration>(
                                   std::chrono::duration<double>(options_.seconds));
        send_next();
        while (loop_.now() < until_ || samples_.open_requests > 0)
            loop_.run_once(true);
        return summarise();
    }

private:
    void send_next() {
        if (loop_.now() >= until_)
            return;
        send();
        std::exponential_distribution<> gap(options_.requests_per_second);
        auto wait = std::chrono::duration<double>(gap(random_));
        timer_ = loop_.after(std::chrono::duration_cast<transport::duration>(wait),
                             [this] { send_next(); });
    }

    std::string generate_prompt(const std::string& workspace) {
        auto prefix_number =
            static_cast<int>(random_() % static_cast<std::uint64_t>(options_.prefixes));
        std::string text = "rules of " + workspace + " ";
        auto half = options_.prompt_bytes / 2;
        while (text.size() < half)
            text += "every workspace shares these rules with itself. ";
        text += "section " + std::to_string(prefix_number) + " ";
        while (text.size() < options_.prompt_bytes)
            text += "what section " + std::to_string(prefix_number) + " says. ";
        return text + "question " + std::to_string(random_());
    }

    void send() {
        std::discrete_distribution<std::size_t> pick(workspace_weights_.begin(),
                                                     workspace_weights_.end());
        const auto& workspace = workspaces_[pick(random_)];
        auto prompt = generate_prompt(workspace);
        auto request = make_request({options_.keys.at(workspace), prompt, options_.tokens, true});
        auto sink =
            std::make_shared<load_sink>(loop_, samples_, workspace, prompt, options_.tokens);
        ++samples_.open_requests;
        ++samples_.result.sent;
        ++samples_.sent_of[workspace];
        const auto& to =
            options_
                .targets[static_cast<std::size_t>(samples_.result.sent) % options_.targets.size()];
        sink->keep_call(client_.send(to, request, true, sink));
    }

    load_result summarise() {
        auto& result = samples_.result;
        result.first_token_p50 = quantile(samples_.first_token_s, 0.5);
        result.first_token_p99 = quantile(samples_.first_token_s, 0.99);
        result.between_tokens_p50 = quantile(samples_.between_tokens_s, 0.5);
        result.between_tokens_p99 = quantile(samples_.between_tokens_s, 0.99);
        for (auto& [name, values] : samples_.first_token_s_of)
            result.first_token_p99_of[name] = quantile(values, 0.99);
        for (const auto& [name, n] : samples_.sent_of)
            result.refused_share_of[name] =
                static_cast<double>(samples_.refused_of[name]) / static_cast<double>(n);
        result.hit_rate =
            samples_.prompt_tokens == 0 ? 0 : samples_.cached_tokens / samples_.prompt_tokens;
        return result;
    }

    transport::event_loop& loop_;
    transport::http_client& client_;
    const load_options& options_;
    std::mt19937_64 random_;
    std::vector<std::string> workspaces_;
    std::vector<double> workspace_weights_;
    samples samples_;
    instant until_;
    std::unique_ptr<transport::timer> timer_;
};

} // namespace
} // namespace internal

load_result run_load(transport::event_loop& loop, transport::http_client& client,
                     const load_options& options) {
    return internal::load_run(loop, client, options).run();
}

std::string to_json(const load_result& result) {
    return json({{"sent", result.sent},
                 {"whole", result.whole},
                 {"broken", result.broken},
                 {"refused", result.refused},
                 {"first_token_p50_s", result.first_token_p50},
                 {"first_token_p99_s", result.first_token_p99},
                 {"between_tokens_p50_s", result.between_tokens_p50},
                 {"between_tokens_p99_s", result.between_tokens_p99},
                 {"first_token_p99_s_of", result.first_token_p99_of},
                 {"refused_share_of", result.refused_share_of},
                 {"hit_rate", result.hit_rate}})
        .dump();
}

process_usage read_process_usage(int pid) {
    process_usage result;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    // The process name may contain spaces and parentheses; the other fields follow the last
    // closing parenthesis.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < internal::fields_before_cpu_times; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    result.cpu_seconds = (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
    std::int64_t total = 0;
    std::int64_t resident = 0;
    statm >> total >> resident;
    result.resident_bytes = resident * sysconf(_SC_PAGESIZE);
    return result;
}

} // namespace azureyoke::standin
