#include "standin/engine.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "azureyoke/src/protocol/caller_request.h"

namespace azureyoke::standin {

using nlohmann::json;

namespace internal {
namespace {

constexpr auto load_snapshot_period = std::chrono::milliseconds(50);
constexpr std::size_t max_events = 100'000;
/// The faults `truncate` and `skip_token` occur after this number of tokens of an answer.
constexpr std::int64_t tokens_before_fault = 3;

transport::http_response json_answer(int status, const json& body) {
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

engine_fault parse_engine_fault(const std::string& name) {
    static const std::map<std::string, engine_fault> names = {
        {"none", engine_fault::none},
        {"empty", engine_fault::empty},
        {"garbage", engine_fault::garbage},
        {"silent", engine_fault::silent},
        {"refuse", engine_fault::refuse},
        {"truncate", engine_fault::truncate},
        {"skip_token", engine_fault::skip_token}};
    auto it = names.find(name);
    return it == names.end() ? engine_fault::none : it->second;
}

} // namespace
} // namespace internal

std::string token_text(const std::string& model, const std::string& weights,
                       const std::string& prompt, std::int64_t position) {
    auto hash = state::rendezvous_score(static_cast<std::uint64_t>(position),
                                        model + "/" + weights + "/" + prompt);
    return "t" + std::to_string(position) + "-" + std::to_string(hash % 10'000) + " ";
}

struct engine::job {
    exchange_ptr exchange;
    bool chat = false;
    std::string request_id;
    std::string model;
    std::string weights;
    std::string prompt;
    std::vector<state::piece_hash> prefix_hashes;
    std::int64_t priority = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t max_output_tokens = 0;
    std::int64_t position = 0;
    std::int64_t first_position = 0;
    std::unique_ptr<transport::timer> ticker;
};

engine::engine(transport::event_loop& loop, const engine_options& options)
    : loop_(loop), options_(options), random_(options.seed),
      server_(loop, {64 * 1024, 64 * 1024 * 1024, std::chrono::seconds(600)},
              [this](const auto& exchange) { on_request(exchange); }),
      snapshot_timer_(
          loop.every(internal::load_snapshot_period, [this] { take_load_snapshot(); })) {
    incarnation_ = random_();
    take_load_snapshot();
}

engine::~engine() = default;

transport::result<transport::address> engine::listen(const transport::address& at) {
    return server_.listen(at);
}

void engine::on_request(const exchange_ptr& exchange) {
    auto path = transport::path_of(exchange->request().target);
    for (const char* name : {"authorization", "x-api-key"}) {
        if (auto value = transport::find_field(exchange->request().fields, name))
            received_keys_.push_back(*value);
    }
    if (path == "/v1/completions" || path == "/v1/chat/completions")
        on_completion(exchange);
    else if (path == "/load")
        answer_load(exchange);
    else if (path == "/events")
        answer_events(exchange);
    else if (path == "/control")
        on_control(exchange);
    else if (path == "/orders")
        on_order(exchange);
    else if (path == "/stats")
        answer_stats(exchange);
    else
        exchange->reply({404, {}, ""});
}

void engine::on_completion(const exchange_ptr& exchange) {
    auto body = json::parse(exchange->request().body, nullptr, false);
    if (body.is_discarded()) {
        exchange->reply({400, {}, ""});
        return;
    }
    if (fault_ == engine_fault::refuse || loading_weights_) {
        exchange->reply({503, {}, ""});
        return;
    }
    if (fault_ == engine_fault::empty) {
        exchange->reply({200, {{"Content-Type", "text/event-stream"}}, ""});
        return;
    }
    if (fault_ == engine_fault::garbage) {
        exchange->reply({200, {{"Content-Type", "text/event-stream"}}, "data: }{ nonsense\n\n"});
        return;
    }
    auto kind = transport::path_of(exchange->request().target) == "/v1/chat/completions"
                    ? protocol::completion_kind::chat
                    : protocol::completion_kind::text;
    auto parsed = protocol::parse_completion(kind, exchange->request());
    if (!parsed) {
        exchange->reply({400, {}, ""});
        return;
    }
    if (body.value("weights", options_.weights) != options_.weights) {
        exchange->reply({409, {}, "other weights are loaded"});
        return;
    }
    auto it = std::make_shared<job>();
    it->exchange = exchange;
    it->chat = kind == protocol::completion_kind::chat;
    it->request_id = transport::find_field(exchange->request().fields, "x-request-id").value_or("");
    it->model = parsed->model;
    it->weights = options_.weights;
    it->prompt = parsed->prompt;
    it->priority = body.value("priority", 0);
    it->max_output_tokens = parsed->max_output_tokens;
    it->position = body.value("resume_from", 0);
    it->first_position = it->position;
    it->prompt_tokens =
        static_cast<std::int64_t>(it->prompt.size()) / protocol::bytes_per_token + 1;
    it->prefix_hashes =
        state::compute_prefix_hashes({body.value("cache_salt", ""), it->model, it->weights},
                                     it->prompt, static_cast<std::size_t>(options_.piece_bytes));
    std::weak_ptr<job> weak = it;
    exchange->on_closed([this, weak] {
        if (auto closed_job = weak.lock())
            remove_job(closed_job);
    });
    enqueue(it);
}

void engine::enqueue(const std::shared_ptr<job>& it) {
    auto insert_before = std::find_if(queue_.begin(), queue_.end(), [&](const auto& other) {
        return other->priority < it->priority;
    });
    queue_.insert(insert_before, it);
    start_next_prefill();
}

void engine::start_next_prefill() {
    if (prefilling_ != nullptr || queue_.empty())
        return;
    prefilling_ = queue_.front();
    queue_.pop_front();
    auto cached_pieces = static_cast<std::int64_t>(count_cached_pieces(prefilling_->prefix_hashes));
    prefilling_->cached_tokens =
        std::min(cached_pieces * options_.piece_bytes / protocol::bytes_per_token,
                 prefilling_->prompt_tokens);
    auto uncached = prefilling_->prompt_tokens - prefilling_->cached_tokens;
    computed_tokens_ += uncached;
    cached_tokens_ += prefilling_->cached_tokens;
    auto wait = static_cast<double>(uncached) / options_.prefill_tokens_per_second;
    prefill_timer_ = loop_.after(transport::duration(static_cast<std::int64_t>(wait * 1e6)),
                                 [this, it = prefilling_] { finish_prefill(it); });
}

void engine::finish_prefill(const std::shared_ptr<job>& it) {
    prefilling_.reset();
    store_pieces(it->prefix_hashes);
    if (!it->exchange->finished()) {
        running_.push_back(it);
        if (fault_ != engine_fault::silent) {
            it->exchange->start(
                200, {{"Content-Type", "text/event-stream"}, {"x-request-id", it->request_id}});
            it->ticker =
                loop_.every(transport::duration(options_.token_us), [this, raw = it.get()] {
                    auto found = std::find_if(running_.begin(), running_.end(),
                                              [&](const auto& j) { return j.get() == raw; });
                    if (found != running_.end())
                        emit_token(std::shared_ptr<job>(*found));
                });
            emit_token(it);
        }
    }
    start_next_prefill();
}

void engine::emit_token(const std::shared_ptr<job>& it) {
    bool is_fault_position = it->position - it->first_position == internal::tokens_before_fault;
    if (is_fault_position && fault_ == engine_fault::truncate) {
        it->exchange->abort();
        return;
    }
    if (is_fault_position && fault_ == engine_fault::skip_token)
        ++it->position;
    bool last = it->position + 1 >= it->max_output_tokens;
    auto text = token_text(it->model, it->weights, it->prompt, it->position);
    json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (it->chat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    if (last)
        choice["finish_reason"] = "length";
    json event = {{"id", it->request_id},
                  {"position", it->position},
                  {"weights", it->weights},
                  {"choices", json::array({choice})}};
    if (last)
        event["usage"] = {{"prompt_tokens", it->prompt_tokens},
                          {"completion_tokens", it->position + 1},
                          {"prompt_tokens_details", {{"cached_tokens", it->cached_tokens}}}};
    it->exchange->write("data: " + event.dump() + "\n\n");
    ++it->position;
    if (!last)
        return;
    it->exchange->write("data: [DONE]\n\n");
    it->exchange->end();
    ++served_;
    remove_job(it);
}

void engine::remove_job(const std::shared_ptr<job>& it) {
    queue_.remove(it);
    running_.remove(it);
    it->ticker.reset();
}

std::size_t engine::count_cached_pieces(const std::vector<state::piece_hash>& prefix_hashes) {
    std::size_t cached_pieces = 0;
    while (cached_pieces < prefix_hashes.size() && cache_.contains(prefix_hashes[cached_pieces]))
        ++cached_pieces;
    return cached_pieces;
}

void engine::store_pieces(const std::vector<state::piece_hash>& prefix_hashes) {
    for (auto piece : prefix_hashes) {
        auto cached_entry = cache_.find(piece);
        if (cached_entry != cache_.end()) {
            cache_order_.splice(cache_order_.end(), cache_order_, cached_entry->second);
            continue;
        }
        cache_order_.push_back(piece);
        cache_.emplace(piece, std::prev(cache_order_.end()));
        record_event("stored", piece);
    }
    while (cache_.size() > options_.cache_pieces) {
        auto oldest = cache_order_.front();
        cache_order_.pop_front();
        cache_.erase(oldest);
        record_event("removed", oldest);
    }
}

void engine::record_event(const std::string& kind, state::piece_hash piece) {
    auto number = next_event_number_++;
    if (std::uniform_real_distribution<>(0, 1)(random_) < options_.event_loss)
        return; // the skipped number lets the reader detect the lost event
    events_.push_back({number, loop_.now(), kind, piece});
    if (events_.size() > internal::max_events)
        events_.pop_front();
}

void engine::take_load_snapshot() {
    std::int64_t queued = 0;
    for (const auto& it : queue_)
        queued += it->prompt_tokens;
    if (prefilling_ != nullptr)
        queued += prefilling_->prompt_tokens - prefilling_->cached_tokens;
    snapshots_.push_back({loop_.now(), queued, static_cast<std::int64_t>(running_.size())});
    auto oldest = loop_.now() - std::chrono::milliseconds(options_.report_lag_ms);
    while (snapshots_.size() > 1 && snapshots_[1].at <= oldest)
        snapshots_.pop_front();
}

void engine::answer_load(const exchange_ptr& exchange) {
    const auto& reported = snapshots_.front();
    exchange->reply(internal::json_answer(200, {{"incarnation", std::to_string(incarnation_)},
                                                {"weights", options_.weights},
                                                {"queued_tokens", reported.queued_tokens},
                                                {"running", reported.running}}));
}

void engine::answer_events(const exchange_ptr& exchange) {
    const auto& target = exchange->request().target;
    auto at = target.find("since=");
    std::uint64_t since = at == std::string::npos ? 0 : std::stoull(target.substr(at + 6));
    auto newest = loop_.now() - std::chrono::milliseconds(options_.event_lag_ms);
    auto list = json::array();
    for (const auto& it : events_) {
        if (it.number > since && it.at <= newest)
            list.push_back({{"number", it.number}, {"kind", it.kind}, {"piece", it.piece}});
    }
    exchange->reply(internal::json_answer(
        200, {{"incarnation", std::to_string(incarnation_)}, {"events", list}}));
}

void engine::answer_stats(const exchange_ptr& exchange) {
    auto changes = json::array();
    for (const auto& it : weights_changes_)
        changes.push_back({{"weights", it.weights},
                           {"fence", it.fencing_token},
                           {"jobs_cut", it.jobs_cut},
                           {"began_us", it.began_us},
                           {"ended_us", it.ended_us}});
    exchange->reply(internal::json_answer(200, {{"served", served_},
                                                {"computed_tokens", computed_tokens_},
                                                {"cached_tokens", cached_tokens_},
                                                {"keys_seen", received_keys_},
                                                {"weights_changes", changes}}));
}

std::size_t engine::abort_jobs() {
    auto jobs = running_;
    jobs.insert(jobs.end(), queue_.begin(), queue_.end());
    if (prefilling_ != nullptr)
        jobs.push_back(prefilling_);
    prefill_timer_.reset();
    prefilling_.reset();
    queue_.clear();
    running_.clear();
    for (const auto& it : jobs) {
        it->ticker.reset();
        it->exchange->abort();
    }
    return jobs.size();
}

void engine::crash() {
    (void)abort_jobs();
    cache_.clear();
    cache_order_.clear();
    events_.clear();
    next_event_number_ = 1;
    incarnation_ = random_();
}

void engine::change_weights(const std::string& weights, std::int64_t fencing_token) {
    loading_weights_ = true;
    weights_changes_.push_back(
        {weights, fencing_token, abort_jobs(), loop_.now().time_since_epoch().count(), 0});
    weights_timer_ =
        loop_.after(std::chrono::milliseconds(options_.weights_change_ms), [this, weights] {
            loading_weights_ = false;
            options_.weights = weights;
            cache_.clear();
            cache_order_.clear();
            weights_changes_.back().ended_us = loop_.now().time_since_epoch().count();
        });
}

void engine::on_order(const exchange_ptr& exchange) {
    auto body = json::parse(exchange->request().body, nullptr, false);
    if (body.is_discarded() || !body.contains("weights")) {
        exchange->reply({400, {}, ""});
        return;
    }
    auto fencing_token = body.value("fence", INT64_C(0));
    if (options_.checks_fencing_token && fencing_token < highest_fencing_token_) {
        exchange->reply({409, {}, "the fencing number is old"});
        return;
    }
    highest_fencing_token_ = std::max(highest_fencing_token_, fencing_token);
    change_weights(body["weights"].get<std::string>(), fencing_token);
    exchange->reply({202, {}, ""});
}

void engine::on_control(const exchange_ptr& exchange) {
    auto body = json::parse(exchange->request().body, nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
        exchange->reply({400, {}, ""});
        return;
    }
    if (body.contains("fault"))
        fault_ = internal::parse_engine_fault(body["fault"].get<std::string>());
    if (body.contains("speed"))
        options_.prefill_tokens_per_second = body["speed"].get<double>();
    if (body.contains("token_us"))
        options_.token_us = body["token_us"].get<std::int64_t>();
    exchange->reply({200, {}, "ok\n"});
    if (body.value("crash", false))
        loop_.defer([this] { crash(); });
}

} // namespace azureyoke::standin
