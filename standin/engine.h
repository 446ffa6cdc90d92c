#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "azureyoke/src/state/prefix_hashes.h"
#include "azureyoke/src/transport/event_loop.h"
#include "azureyoke/src/transport/front_server.h"

namespace azureyoke::standin {

/// \brief Configuration of a stand-in engine.
struct engine_options {
    std::string weights = "w1";
    double prefill_tokens_per_second = 20'000;
    std::int64_t token_us = 2000; ///< Interval between the tokens of one stream.
    std::int64_t piece_bytes = 8000;
    std::size_t cache_pieces = 512;
    std::int64_t report_lag_ms = 300;
    std::int64_t event_lag_ms = 200;
    double event_loss = 0; ///< Probability that a cache event is lost.
    std::int64_t weights_change_ms = 333;
    bool checks_fencing_token = true;
    std::uint64_t seed = 1;
};

/// \brief The fault that the engine currently shows in its answers.
enum class engine_fault { none, empty, garbage, silent, refuse, truncate, skip_token };

/// \brief A simulated model engine: prefill in order of priority, a prefix cache with LRU
/// eviction, resumable streams, and load reports and cache events that are delivered late.
///
/// The text of a token depends only on the model, weights, prompt and position. A checker can
/// therefore verify a stream even when several engines served it.
class engine {
public:
    engine(transport::event_loop& loop, const engine_options& options);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;
    engine(engine&&) = delete;
    engine& operator=(engine&&) = delete;

    transport::result<transport::address> listen(const transport::address& at);

private:
    struct job;

    struct load_snapshot {
        transport::instant at;
        std::int64_t queued_tokens = 0;
        std::int64_t running = 0;
    };

    struct cache_event {
        std::uint64_t number = 0;
        transport::instant at;
        std::string kind;
        state::piece_hash piece = 0;
    };

    /// Times are read from the machine's monotonic clock, so that times of several engines on one
    /// machine can be compared.
    struct weights_change {
        std::string weights;
        std::int64_t fencing_token = 0;
        std::size_t jobs_cut = 0; ///< Queued and running jobs that the change aborted.
        std::int64_t began_us = 0;
        std::int64_t ended_us = 0; ///< 0 while the change is in progress.
    };

    using exchange_ptr = std::shared_ptr<transport::front_exchange>;

    void on_request(const exchange_ptr& exchange);
    void on_completion(const exchange_ptr& exchange);
    void on_control(const exchange_ptr& exchange);
    void on_order(const exchange_ptr& exchange);
    void answer_load(const exchange_ptr& exchange);
    void answer_events(const exchange_ptr& exchange);
    void enqueue(const std::shared_ptr<job>& it);
    void start_next_prefill();
    void finish_prefill(const std::shared_ptr<job>& it);
    void emit_token(const std::shared_ptr<job>& it);
    void remove_job(const std::shared_ptr<job>& it);
    std::size_t abort_jobs();
    void crash();
    void answer_stats(const exchange_ptr& exchange);
    void change_weights(const std::string& weights, std::int64_t fencing_token);
    std::size_t count_cached_pieces(const std::vector<state::piece_hash>& prefix_hashes);
    void store_pieces(const std::vector<state::piece_hash>& prefix_hashes);
    void record_event(const std::string& kind, state::piece_hash piece);
    void take_load_snapshot();

    transport::event_loop& loop_;
    engine_options options_;
    std::mt19937_64 random_;
    transport::front_server server_;
    std::uint64_t incarnation_ = 1;
    engine_fault fault_ = engine_fault::none;
    bool loading_weights_ = false;
    std::int64_t highest_fencing_token_ = 0;
    std::vector<weights_change> weights_changes_;
    std::list<std::shared_ptr<job>> queue_;
    std::shared_ptr<job> prefilling_;
    std::list<std::shared_ptr<job>> running_;
    std::list<state::piece_hash> cache_order_; ///< Least recently used piece first.
    std::map<state::piece_hash, std::list<state::piece_hash>::iterator> cache_;
    std::deque<load_snapshot> snapshots_;
    std::deque<cache_event> events_;
    std::uint64_t next_event_number_ = 1;
    std::int64_t served_ = 0;
    std::int64_t computed_tokens_ = 0;
    std::int64_t cached_tokens_ = 0;
    std::vector<std::string> received_keys_; ///< Callers' keys, which must never reach an engine.
    std::unique_ptr<transport::timer> snapshot_timer_;
    std::unique_ptr<transport::timer> prefill_timer_;
    std::unique_ptr<transport::timer> weights_timer_;
};

/// \brief \returns the text of the token at `position` of the answer to `prompt`.
std::string token_text(const std::string& model, const std::string& weights,
                       const std::string& prompt, std::int64_t position);

} // namespace azureyoke::standin
