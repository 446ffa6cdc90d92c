#include "azureyoke/src/coordination/share_manager.h"

#include <algorithm>
#include <cmath>

namespace azureyoke::coordination {

namespace internal {
namespace {

constexpr double demand_decay_s = 0.5; ///< Time constant of the demand estimate.
constexpr std::size_t max_outstanding_loans = 65'536;
/// Each peer is asked for more than its even part, since others may lend less than theirs.
constexpr double ask_surplus_factor = 1.25;

} // namespace
} // namespace internal

share_manager::share_manager(const share_settings& settings, std::uint64_t first_number)
    : settings_(settings), next_number_(first_number) {}

void share_manager::set_limits(const std::vector<share_limit>& limits, instant now) {
    std::map<std::string, workspace_pool> kept;
    for (const auto& entry : limits) {
        auto old = pools_.extract(entry.workspace);
        if (old.empty()) {
            workspace_pool created{share_account(entry.limit, entry.part, now), entry.limit};
            created.exhausted_ttl = settings_.exhausted_ttl;
            kept.emplace(entry.workspace, std::move(created));
            continue;
        }
        old.mapped().account.resize(entry.limit, entry.part, now);
        old.mapped().limit = entry.limit;
        kept.insert(std::move(old));
    }
    for (auto& [name, removed] : pools_) {
        while (!removed.queue.empty())
            refuse_front(removed);
    }
    pools_ = std::move(kept);
}

void share_manager::set_peers(std::vector<share_peer> peers) {
    peers_ = std::move(peers);
}

std::int64_t share_manager::own_available(workspace_pool& pool, instant now) {
    auto level = pool.account.available(now);
    return now < lease_end_ ? level : 0;
}

void share_manager::erase_expired_loans(workspace_pool& pool, instant now) {
    std::erase_if(pool.loans, [&](const auto& l) { return l.until <= now || l.tokens == 0; });
}

std::int64_t share_manager::spendable(workspace_pool& pool, instant now) {
    erase_expired_loans(pool, now);
    auto sum = own_available(pool, now);
    for (const auto& l : pool.loans)
        sum += l.tokens;
    return sum;
}

std::int64_t share_manager::queued_tokens(const workspace_pool& pool) {
    std::int64_t sum = 0;
    for (const auto& w : pool.queue)
        sum += w.tokens;
    return sum;
}

std::int64_t share_manager::available(const std::string& workspace, instant now) {
    auto found = pools_.find(workspace);
    return found == pools_.end() ? 0 : spendable(found->second, now);
}

double share_manager::current_demand(const workspace_pool& pool, instant now) const {
    return pool.demand * std::exp(-to_seconds(now - pool.demand_at) / internal::demand_decay_s);
}

void share_manager::record_demand(workspace_pool& pool, std::int64_t tokens, instant now) const {
    pool.demand =
        current_demand(pool, now) + static_cast<double>(tokens) / internal::demand_decay_s;
    pool.demand_at = now;
}

bool share_manager::try_admit(const std::string& workspace, workspace_pool& pool,
                              const queued_request& queued, instant now) {
    if (spendable(pool, now) < queued.tokens)
        return false;
    receipt spent{workspace, {}};
    auto missing = queued.tokens;
    // Borrowed tokens expire soon and are spent first, in the order of their expiry.
    std::sort(pool.loans.begin(), pool.loans.end(),
              [](const auto& a, const auto& b) { return a.until < b.until; });
    for (auto& l : pool.loans) {
        auto part = std::min(l.tokens, missing);
        if (part == 0)
            continue;
        l.tokens -= part;
        missing -= part;
        spent.parts.push_back({l.lender, {}, l.transfer, part});
    }
    if (missing > 0) {
        auto charge = pool.account.spend(missing, now);
        spent.parts.push_back({{}, *charge, 0, missing});
    }
    receipts_.insert_or_assign(queued.id, std::move(spent));
    outcomes_.push_back({queued.id, admission_result::admitted, 0});
    return true;
}

void share_manager::request_admission(admission_id id, const std::string& workspace,
                                      std::int64_t tokens, instant now) {
    auto found = pools_.find(workspace);
    if (found == pools_.end()) {
        outcomes_.push_back({id, admission_result::refused, 1});
        return;
    }
    auto& pool = found->second;
    record_demand(pool, tokens, now);
    queued_request queued{id, tokens, now + settings_.max_queue_time};
    if (pool.queue.empty() && try_admit(workspace, pool, queued, now))
        return;
    bool refuse_at_once = tokens > pool.limit.burst_tokens || now < pool.exhausted_until ||
                          pool.queue.size() >= settings_.max_queue_length;
    if (refuse_at_once) {
        refuse(pool, queued);
        return;
    }
    pool.queue.push_back(queued);
    if (pool.open_asks.empty())
        search(workspace, pool, now);
}

void share_manager::refuse(const workspace_pool& pool, const queued_request& queued) {
    auto rate = static_cast<double>(std::max<std::int64_t>(pool.limit.tokens_per_second, 1));
    auto retry_after = static_cast<int>(std::ceil(static_cast<double>(queued.tokens) / rate));
    outcomes_.push_back({queued.id, admission_result::refused, std::max(retry_after, 1)});
}

void share_manager::refuse_front(workspace_pool& pool) {
    refuse(pool, pool.queue.front());
    pool.queue.pop_front();
}

void share_manager::admit_queued(const std::string& workspace, workspace_pool& pool, instant now) {
    while (!pool.queue.empty() && try_admit(workspace, pool, pool.queue.front(), now))
        pool.queue.pop_front();
    if (pool.queue.empty())
        pool.asked_peers.clear();
}

std::vector<share_peer> share_manager::select_peers(const workspace_pool& pool, instant now) {
    std::vector<share_peer> candidates;
    auto refill = to_seconds(now - ask_bucket_time_) * settings_.asks_per_second;
    ask_bucket_ = std::min(ask_bucket_ + refill, settings_.ask_burst);
    ask_bucket_time_ = now;
    auto allowed = settings_.max_peers_per_search -
                   std::min(pool.asked_peers.size(), settings_.max_peers_per_search);
    auto max_peers = std::min({settings_.fanout, allowed, static_cast<std::size_t>(ask_bucket_)});
    if (max_peers == 0)
        return candidates;
    for (const auto& p : peers_) {
        auto backoff = unresponsive_until_.find(p.name);
        bool unresponsive = backoff != unresponsive_until_.end() && now < backoff->second;
        bool already_asked = std::find(pool.asked_peers.begin(), pool.asked_peers.end(), p.name) !=
                             pool.asked_peers.end();
        if (!unresponsive && !already_asked)
            candidates.push_back(p);
    }
    auto hint = [&](const share_peer& p) {
        auto known = pool.lendable_hints.find(p.name);
        return known == pool.lendable_hints.end() ? INT64_MAX : known->second;
    };
    std::stable_sort(candidates.begin(), candidates.end(), [&](const auto& a, const auto& b) {
        if (a.same_data_centre != b.same_data_centre)
            return a.same_data_centre;
        return hint(a) > hint(b);
    });
    // A round asks peers of one distance only: a local round must not wait for remote answers.
    std::size_t n = 0;
    while (n < candidates.size() && n < max_peers &&
           candidates[n].same_data_centre == candidates.front().same_data_centre)
        ++n;
    candidates.resize(n);
    return candidates;
}

void share_manager::search(const std::string& workspace, workspace_pool& pool, instant now) {
    bool had_queue = !pool.queue.empty();
    admit_queued(workspace, pool, now);
    if (pool.queue.empty()) {
        if (had_queue)
            pool.exhausted_ttl = std::max(pool.exhausted_ttl / 2, settings_.exhausted_ttl);
        return;
    }
    auto peers = select_peers(pool, now);
    if (peers.empty())
        end_search(workspace, pool, now);
    else
        ask_peers(workspace, pool, peers, now);
}

// No peer can be asked: admits in order the requests that tokens cover and refuses all others.
void share_manager::end_search(const std::string& workspace, workspace_pool& pool, instant now) {
    while (!pool.queue.empty()) {
        if (try_admit(workspace, pool, pool.queue.front(), now))
            pool.queue.pop_front();
        else
            refuse_front(pool);
    }
    // While the whole limit is in use, searches would cost messages and find nothing.
    pool.exhausted_ttl = std::min(2 * pool.exhausted_ttl, settings_.max_exhausted_ttl);
    pool.exhausted_until = now + pool.exhausted_ttl;
    pool.asked_peers.clear();
}

void share_manager::ask_peers(const std::string& workspace, workspace_pool& pool,
                              const std::vector<share_peer>& peers, instant now) {
    auto missing = queued_tokens(pool) - spendable(pool, now);
    auto expected_demand = current_demand(pool, now) * to_seconds(settings_.prefetch);
    auto peer_count = static_cast<double>(peers.size());
    auto need = static_cast<std::int64_t>(
        std::ceil(internal::ask_surplus_factor * static_cast<double>(missing) / peer_count));
    auto extra = static_cast<std::int64_t>(expected_demand / peer_count);
    for (const auto& p : peers) {
        auto timeout = p.same_data_centre ? settings_.local_timeout : settings_.remote_timeout;
        auto number = next_number_++;
        pool.open_asks.emplace(number, open_ask{p.name, now, now + timeout});
        pool.asked_peers.push_back(p.name);
        ask_bucket_ -= 1;
        messages_.push_back({p.name, state::loan_request{number, workspace, need, extra}});
    }
}

std::int64_t share_manager::lendable_tokens(workspace_pool& pool, const state::loan_request& ask,
                                            instant now) {
    if (!pool.queue.empty() || ask.need < 0 || ask.extra < 0)
        return 0;
    auto level = own_available(pool, now);
    auto demand = current_demand(pool, now);
    auto reserve = static_cast<std::int64_t>(demand * to_seconds(settings_.prefetch));
    // An instance whose demand exceeds its rate keeps what it needs soon. Otherwise instances
    // short of tokens would only exchange them.
    auto for_need =
        demand > pool.account.rate() ? std::max<std::int64_t>(level - reserve, 0) : level;
    auto lent = std::min(ask.need, for_need);
    lent += std::min(ask.extra, std::max<std::int64_t>(level - lent - reserve, 0));
    return lent;
}

void share_manager::on_message(const std::string& from, const state::loan_request& ask,
                               instant now) {
    auto found = pools_.find(ask.workspace);
    if (found == pools_.end())
        return;
    auto& pool = found->second;
    auto max_tokens = lendable_tokens(pool, ask, now);
    auto until = now + settings_.loan_duration + settings_.clock_drift_margin;
    auto charge = pool.account.lend(max_tokens, until, now);
    state::token_loan loan{ask.number, next_number_++, ask.workspace, 0, 0};
    if (charge) {
        loan.tokens = charge->tokens;
        outstanding_loans_.emplace(loan.transfer,
                                   outstanding_loan{ask.workspace, from, *charge, charge->tokens});
        if (outstanding_loans_.size() > internal::max_outstanding_loans)
            outstanding_loans_.erase(outstanding_loans_.begin());
    }
    loan.still_lendable = lendable_tokens(pool, {0, ask.workspace, INT64_MAX / 2, 0}, now);
    messages_.push_back({from, loan});
}

void share_manager::on_message(const std::string& from, const state::token_loan& loan,
                               instant now) {
    auto found = pools_.find(loan.workspace);
    if (found == pools_.end())
        return;
    auto& pool = found->second;
    auto ask = pool.open_asks.find(loan.request_number);
    if (ask == pool.open_asks.end() || ask->second.peer != from)
        return; // a duplicate, or an answer after the ask timed out
    // Counted from the ask, so that the loan expires here before the lender's reservation does.
    auto until = ask->second.sent + settings_.loan_duration;
    pool.open_asks.erase(ask);
    pool.lendable_hints[from] = loan.still_lendable;
    if (loan.tokens > 0 && now < until)
        pool.loans.push_back(
            {from, loan.transfer, loan.tokens, until, now + settings_.loan_duration / 2});
    // The peer is asked again in this search only if it can cover all that is still missing.
    auto missing = queued_tokens(pool) - spendable(pool, now);
    if (missing > 0 && loan.still_lendable >= missing)
        std::erase(pool.asked_peers, from);
    // Enough tokens end the search before all peers have answered.
    if (pool.open_asks.empty() || missing <= 0)
        search(loan.workspace, pool, now);
}

void share_manager::on_message(const std::string& from, const state::loan_refund& back,
                               instant now) {
    auto& last = last_return_[from];
    if (back.number <= last)
        return; // a duplicate or reordered return; the tokens of a reordered one stay lost
    last = back.number;
    auto record = outstanding_loans_.find(back.transfer);
    if (record == outstanding_loans_.end() || record->second.borrower != from)
        return;
    auto tokens = std::clamp<std::int64_t>(back.tokens, 0, record->second.remaining);
    record->second.remaining -= tokens;
    auto found = pools_.find(record->second.workspace);
    if (found != pools_.end())
        found->second.account.return_loan(record->second.charge, tokens, now);
    if (record->second.remaining == 0)
        outstanding_loans_.erase(record);
}

void share_manager::send_return(const std::string& workspace, const borrowed_loan& loan) {
    messages_.push_back(
        {loan.lender, state::loan_refund{loan.transfer, next_number_++, workspace, loan.tokens}});
}

void share_manager::refund_part(const std::string& workspace, const receipt_part& part,
                                std::int64_t unused, instant now) {
    if (!part.lender.empty()) {
        messages_.push_back(
            {part.lender, state::loan_refund{part.transfer, next_number_++, workspace, unused}});
        return;
    }
    auto found = pools_.find(workspace);
    if (found != pools_.end())
        found->second.account.refund(part.charge, unused, now);
}

void share_manager::finish_request(admission_id id, std::int64_t used, instant now) {
    auto node = receipts_.extract(id);
    if (node.empty())
        return;
    std::int64_t total = 0;
    for (const auto& part : node.mapped().parts)
        total += part.tokens;
    auto unused = total - std::clamp<std::int64_t>(used, 0, total);
    // The own account was charged last and is refunded first, since that needs no message.
    auto& parts = node.mapped().parts;
    for (auto part = parts.rbegin(); part != parts.rend() && unused > 0; ++part) {
        auto refunded = std::min(part->tokens, unused);
        refund_part(node.mapped().workspace, *part, refunded, now);
        unused -= refunded;
    }
}

void share_manager::cancel_request(admission_id id, instant now) {
    for (auto& [name, pool] : pools_)
        std::erase_if(pool.queue, [&](const auto& w) { return w.id == id; });
    finish_request(id, 0, now);
}

void share_manager::tick(instant now) {
    for (auto& [workspace, pool] : pools_) {
        for (auto& l : pool.loans) {
            if (l.tokens > 0 && l.return_at <= now && now < l.until) {
                send_return(workspace, l);
                l.tokens = 0;
            }
        }
        erase_expired_loans(pool, now);
        bool timed_out = false;
        for (auto ask = pool.open_asks.begin(); ask != pool.open_asks.end();) {
            if (ask->second.deadline > now) {
                ++ask;
                continue;
            }
            unresponsive_until_[ask->second.peer] = now + settings_.unresponsive_backoff;
            ask = pool.open_asks.erase(ask);
            timed_out = true;
        }
        while (!pool.queue.empty() && pool.queue.front().deadline <= now)
            refuse_front(pool);
        if (timed_out && pool.open_asks.empty())
            search(workspace, pool, now);
    }
}

std::optional<instant> share_manager::next_tick_time() const {
    std::optional<instant> due;
    auto consider = [&](instant at) {
        if (!due || at < *due)
            due = at;
    };
    for (const auto& [workspace, pool] : pools_) {
        for (const auto& [number, ask] : pool.open_asks)
            consider(ask.deadline);
        for (const auto& l : pool.loans)
            consider(l.return_at);
        if (!pool.queue.empty())
            consider(pool.queue.front().deadline);
    }
    return due;
}

} // namespace azureyoke::coordination
