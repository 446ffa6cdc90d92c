#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "azureyoke/src/coordination/share_account.h"
#include "azureyoke/src/coordination/time.h"
#include "azureyoke/src/state/share_messages.h"

namespace azureyoke::coordination {

/// \brief Number of one admission request within an instance.
using admission_id = std::uint64_t;

struct share_settings {
    duration loan_duration = std::chrono::milliseconds(300);
    duration clock_drift_margin = std::chrono::milliseconds(30);
    duration local_timeout = std::chrono::milliseconds(10); ///< For answers of the own data centre.
    duration remote_timeout = std::chrono::milliseconds(60); ///< For answers of other ones.
    duration max_queue_time = std::chrono::milliseconds(200);
    duration unresponsive_backoff = std::chrono::seconds(1); ///< For a peer that did not answer.
    /// After a search that found too few tokens, requests above the held tokens are refused
    /// without a search for this long. Doubles with each such search, halves with a successful one.
    duration exhausted_ttl = std::chrono::milliseconds(20);
    duration max_exhausted_ttl = std::chrono::milliseconds(320);
    /// Demand expected over this time is asked for in addition to the need, and reserved in
    /// lending.
    duration prefetch = std::chrono::milliseconds(250);
    std::size_t fanout = 4;                ///< Peers asked at once.
    std::size_t max_peers_per_search = 16; ///< Peers asked in one search.
    double asks_per_second = 80;           ///< Over all workspaces of the instance.
    double ask_burst = 160;
    std::size_t max_queue_length = 1024; ///< Requests of one workspace.

    friend bool operator==(const share_settings&, const share_settings&) = default;
};

struct share_peer {
    std::string name;
    bool same_data_centre = true;

    friend bool operator==(const share_peer&, const share_peer&) = default;
};

/// \brief The limit of one workspace and the part of it that this instance holds.
struct share_limit {
    std::string workspace;
    state::rate_limit limit;
    std::int64_t part = 0; ///< Millionths.

    friend bool operator==(const share_limit&, const share_limit&) = default;
};

enum class admission_result { admitted, refused };

/// \brief Outcome of an admission request.
struct admission_outcome {
    admission_id id = 0;
    admission_result verdict = admission_result::refused;
    int retry_after_seconds = 0; ///< For a refusal.

    friend bool operator==(const admission_outcome&, const admission_outcome&) = default;
};

using share_payload = std::variant<state::loan_request, state::token_loan, state::loan_refund>;

/// \brief A message to a peer. A lost message makes tokens unavailable for a while; no loss and no
/// duplicate creates tokens.
struct share_message {
    std::string peer;
    share_payload payload;

    friend bool operator==(const share_message&, const share_message&) = default;
};

/// \brief Admits requests against the exclusive shares of one instance and borrows tokens from
/// peers.
///
/// A request that the own share covers is admitted at once. For any other request the instance
/// asks peers for a loan, those of the own data centre first, and refuses the request when the
/// peers that were asked lend too little. A lender debits its account before it sends a loan.
/// A borrower accepts a loan once, only as the answer to its own open ask, and holds it for less
/// time than the lender reserves capacity for it. The own share is spent only while its lease is
/// valid at the moment of spending.
///
/// Pure: time comes with each call; the driver collects messages and outcomes. Not thread safe.
class share_manager {
public:
    /// \brief `first_number` makes ask, transfer and return numbers unique to this incarnation.
    share_manager(const share_settings& settings, std::uint64_t first_number);

    void set_limits(const std::vector<share_limit>& limits, instant now);
    void set_peers(std::vector<share_peer> peers);

    /// \brief Sets the end of the lease on the own share.
    void set_lease_end(instant until) { lease_end_ = until; }

    /// \brief Requests the admission of `tokens`. `take_outcomes` returns the outcome, possibly
    /// right after this call.
    void request_admission(admission_id id, const std::string& workspace, std::int64_t tokens,
                           instant now);
    /// \brief Ends an admitted request that used `used` tokens and refunds the unused ones.
    void finish_request(admission_id id, std::int64_t used, instant now);
    /// \brief Cancels a request: a queued one leaves the queue, an admitted one is refunded.
    void cancel_request(admission_id id, instant now);

    void on_message(const std::string& from, const state::loan_request& ask, instant now);
    void on_message(const std::string& from, const state::token_loan& loan, instant now);
    void on_message(const std::string& from, const state::loan_refund& back, instant now);
    /// \brief Handles timeouts of asks, of queued requests and of unspent loans, which are
    /// returned.
    void tick(instant now);
    /// \returns the time at which `tick` is next due; nothing when no timeout is set.
    std::optional<instant> next_tick_time() const;

    std::vector<admission_outcome> take_outcomes() { return std::exchange(outcomes_, {}); }

    std::vector<share_message> take_messages() { return std::exchange(messages_, {}); }

    /// \returns the whole tokens of a workspace that can be spent now, borrowed ones included.
    std::int64_t available(const std::string& workspace, instant now);

private:
    struct borrowed_loan {
        std::string lender;
        std::uint64_t transfer = 0;
        std::int64_t tokens = 0;
        instant until;
        instant return_at; ///< Unspent tokens are returned at this time.
    };

    struct queued_request {
        admission_id id = 0;
        std::int64_t tokens = 0;
        instant deadline;
    };

    struct open_ask {
        std::string peer;
        instant sent;
        instant deadline;
    };

    struct workspace_pool {
        share_account account;
        state::rate_limit limit;
        std::vector<borrowed_loan> loans{};
        std::deque<queued_request> queue{};
        std::map<std::uint64_t, open_ask> open_asks{};
        /// Lendable tokens that each peer last reported.
        std::map<std::string, std::int64_t> lendable_hints{};
        std::vector<std::string> asked_peers{}; ///< In the current search.
        instant exhausted_until{};              ///< No search starts before this time.
        duration exhausted_ttl{};
        instant demand_at{};
        double demand = 0; ///< Tokens per second at `demand_at`, exponentially decayed.
    };

    struct receipt_part {
        std::string lender; ///< Empty for the own account.
        token_charge charge;
        std::uint64_t transfer = 0;
        std::int64_t tokens = 0;
    };

    struct receipt {
        std::string workspace;
        std::vector<receipt_part> parts;
    };

    struct outstanding_loan {
        std::string workspace;
        std::string borrower;
        token_charge charge;
        std::int64_t remaining = 0; ///< Tokens not returned yet.
    };

    std::int64_t own_available(workspace_pool& pool, instant now);
    std::int64_t spendable(workspace_pool& pool, instant now);
    static std::int64_t queued_tokens(const workspace_pool& pool);
    void erase_expired_loans(workspace_pool& pool, instant now);
    void record_demand(workspace_pool& pool, std::int64_t tokens, instant now) const;
    double current_demand(const workspace_pool& pool, instant now) const;
    bool try_admit(const std::string& workspace, workspace_pool& pool, const queued_request& queued,
                   instant now);
    void admit_queued(const std::string& workspace, workspace_pool& pool, instant now);
    void search(const std::string& workspace, workspace_pool& pool, instant now);
    std::vector<share_peer> select_peers(const workspace_pool& pool, instant now);
    void end_search(const std::string& workspace, workspace_pool& pool, instant now);
    void ask_peers(const std::string& workspace, workspace_pool& pool,
                   const std::vector<share_peer>& peers, instant now);
    void refuse(const workspace_pool& pool, const queued_request& queued);
    void refuse_front(workspace_pool& pool);
    void send_return(const std::string& workspace, const borrowed_loan& loan);
    void refund_part(const std::string& workspace, const receipt_part& part, std::int64_t unused,
                     instant now);
    std::int64_t lendable_tokens(workspace_pool& pool, const state::loan_request& ask, instant now);

    share_settings settings_;
    std::uint64_t next_number_;
    instant lease_end_;
    std::vector<share_peer> peers_;
    std::map<std::string, instant> unresponsive_until_;
    double ask_bucket_ = 0; ///< Token bucket that limits asks, at `ask_bucket_time_`.
    instant ask_bucket_time_;
    std::map<std::string, workspace_pool> pools_;
    std::map<admission_id, receipt> receipts_;
    std::map<std::uint64_t, outstanding_loan> outstanding_loans_;
    std::map<std::string, std::uint64_t> last_return_; ///< Highest return number by peer.
    std::vector<admission_outcome> outcomes_;
    std::vector<share_message> messages_;
};

} // namespace azureyoke::coordination
