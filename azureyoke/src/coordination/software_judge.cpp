#include "azureyoke/src/coordination/software_judge.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace azureyoke::coordination {

namespace internal {
namespace {

constexpr duration second = std::chrono::seconds(1);
/// Recent times over which the old version's shares are taken, besides the whole order.
constexpr std::array<duration, 3> recent_windows = {std::chrono::milliseconds(300), second,
                                                    3 * second};
/// The new version is judged this much later than the old one is known, so that an incident of both
/// shows at the old one first. Not after the switch, when each moment costs most.
constexpr duration judged_later = std::chrono::milliseconds(200);
/// A crash ends many calls at once, of which the instances report within this time.
constexpr duration loss_burst = second;
/// Slow answers of a second that count in full: a machine slowed by others gives many at once.
constexpr double full_slow_answers = 8;
/// Least shares that the old version is taken to have.
constexpr double least_failures = 0.004;
constexpr double least_rejections = 0.01;
constexpr double least_slowness = 0.03;
/// Observations without a hit that are added to those of the old version.
constexpr double prior_observations = 100;
constexpr double prior_hits = 0.5;
/// A window with fewer observations or hits says nothing.
constexpr double least_window_observations = 20;
constexpr double least_window_hits = 3;
/// An incident of all routes at the old version: its recent share is so many times the usual one.
constexpr double incident_factor = 2;
/// Hits of a second that are no incident, beside twice the usual ones.
constexpr double least_unusual_hits = 4;
/// Answers without which it is not known what is usual.
constexpr double least_usual_answers = 200;
/// An incident of some 3 s in all is no usual state of the old version.
constexpr int most_unusual_updates = 30;

double positive(std::int64_t value) {
    return static_cast<double>(std::max<std::int64_t>(0, value));
}

} // namespace
} // namespace internal

double software_judge::recent_share(const std::string& route, counter hits, counter all) const {
    using namespace internal;
    const auto newest = route.empty() ? total_of(moments_.back().old_side)
                                      : counts_of(moments_.back().old_side, route);
    double result = 0;
    for (auto window : recent_windows) {
        auto from = std::find_if(moments_.begin(), moments_.end(), [&](const auto& it) {
            return moments_.back().at - it.at <= window;
        });
        auto earlier = route.empty() ? total_of(from->old_side) : counts_of(from->old_side, route);
        auto change = difference(newest, earlier);
        auto n = static_cast<double>(change.*all);
        auto k = static_cast<double>(change.*hits);
        if (n >= least_window_observations && k >= least_window_hits)
            result = std::max(result, k / n);
    }
    return result;
}

software_judge::counter_index software_judge::index_of(counter hits) {
    if (hits == &route_counts::failed)
        return counter_index::failed;
    return hits == &route_counts::rejected ? counter_index::rejected : counter_index::slow;
}

software_judge::observed software_judge::usual_of(const std::string& route, counter hits) const {
    auto found = usual_.find({route, index_of(hits)});
    if (found == usual_.end())
        return {};
    const auto& it = found->second;
    // After the switch, the old version's answers no longer show what an incident does.
    if (it.unusual || at_once_)
        return {it.hits + it.unusual_hits, it.all + it.unusual_all};
    return {it.hits, it.all};
}

bool software_judge::is_unusual(const std::string& route, counter hits, counter all) const {
    using namespace internal;
    auto from = std::find_if(moments_.begin(), moments_.end(),
                             [&](const auto& it) { return moments_.back().at - it.at <= second; });
    auto counts = [&](const moment& it) {
        return route.empty() ? total_of(it.old_side) : counts_of(it.old_side, route);
    };
    auto change = difference(counts(moments_.back()), counts(*from));
    auto [k, n] = usual_of(route, hits);
    if (n < least_usual_answers)
        return false;
    double expected =
        static_cast<double>(change.*all) * (k + prior_hits) / (n + prior_observations);
    return static_cast<double>(change.*hits) > incident_factor * expected + least_unusual_hits;
}

bool software_judge::incident() const {
    return std::any_of(usual_.begin(), usual_.end(), [](const auto& it) {
        return it.second.unusual && it.first.second != counter_index::rejected;
    });
}

void software_judge::add_usual() {
    using namespace internal;
    if (moments_.size() < 2)
        return;
    const auto& newest = moments_.back().old_side;
    const auto& before = moments_[moments_.size() - 2].old_side;
    constexpr std::array<std::pair<counter, counter>, 3> kinds = {
        std::pair(&route_counts::failed, &route_counts::ended),
        std::pair(&route_counts::rejected, &route_counts::ended),
        std::pair(&route_counts::slow, &route_counts::judged)};
    auto add = [&](const std::string& route, const route_counts& change, counter hits, counter all,
                   bool everywhere) {
        bool unusual = everywhere || is_unusual(route, hits, all);
        auto& it = usual_[{route, index_of(hits)}];
        it.unusual = unusual && it.unusual_updates < most_unusual_updates;
        auto k = static_cast<double>(change.*hits);
        auto n = static_cast<double>(change.*all);
        (it.unusual ? it.unusual_hits : it.hits) += k;
        (it.unusual ? it.unusual_all : it.all) += n;
        it.unusual_updates += it.unusual ? 1 : 0;
        if (it.unusual_updates == most_unusual_updates) { // it is the usual state
            it.hits += std::exchange(it.unusual_hits, 0);
            it.all += std::exchange(it.unusual_all, 0);
        }
        return it.unusual;
    };
    for (const auto& [hits, all] : kinds) {
        bool everywhere = add({}, difference(total_of(newest), total_of(before)), hits, all, false);
        for (const auto& [route, counts] : newest.routes)
            add(route, difference(counts, counts_of(before, route)), hits, all, everywhere);
    }
}

double software_judge::reference(const std::string& route, counter hits, counter all,
                                 double least) const {
    using namespace internal;
    auto [k, n] = usual_of(route, hits);
    double whole = (k + prior_hits) / (n + prior_observations);
    if (k > 0)
        whole += std::sqrt(whole * (1 - whole) / (n + 1));
    double result = std::max({least, whole, recent_share(route, hits, all)});
    auto [all_hits, all_answers] = usual_of({}, hits);
    double usual = (all_hits + prior_hits) / (all_answers + prior_observations);
    double recent = recent_share({}, hits, all);
    if (recent > incident_factor * usual)
        result = std::max(result, recent);
    constexpr double most = 0.9;
    return std::min(result, most);
}

void software_judge::note_evidence(double value, const std::string& what) {
    if (value <= evidence_)
        return;
    evidence_ = value;
    suspicion_ = what;
}

double software_judge::new_losses(const side_counts& side,
                                  std::map<std::string, std::int64_t>& counted,
                                  std::map<std::string, instant>& last, instant now) {
    double losses = 0;
    for (const auto& [server, counts] : side.servers) {
        auto& known = counted[server];
        if (counts.lost > known) {
            auto [burst, first] = last.try_emplace(server, now);
            if (first || now - burst->second >= internal::loss_burst) {
                burst->second = now;
                losses += 1;
            }
        }
        known = counts.lost;
    }
    return losses;
}

void software_judge::update(const software_evidence& merged, bool at_once, bool under_load,
                            instant now) {
    using namespace internal;
    at_once_ = at_once;
    moments_.push_back({now, merged.old_side, merged.new_side});
    while (moments_.front().at < now - recent_windows.back())
        moments_.pop_front();
    add_usual();
    auto until = now - (at_once ? duration() : judged_later);
    auto found = std::find_if(moments_.rbegin(), moments_.rend(),
                              [&](const auto& it) { return it.at <= until; });
    if (found == moments_.rend())
        return;
    auto before = std::exchange(judged_, found->new_side);
    evidence_ = 0;
    loaded_evidence_ = 0;
    suspicion_.clear();
    all_change_ = {};
    for (const auto& [route, counts] : judged_.routes)
        judge_route(route, difference(counts, counts_of(before, route)), under_load);
    judge_all(under_load);
    judge_losses(before, now);
}

double software_judge::add(route_tests& tests, const expected_change& change,
                           const std::string& where) {
    auto ended = static_cast<double>(change.counts.ended);
    auto judged = static_cast<double>(change.counts.judged);
    if (ended > 0) {
        tests.failures.add(ended, std::min(ended, static_cast<double>(change.counts.failed)),
                           change.failed / ended);
        tests.rejections.add(ended, std::min(ended, static_cast<double>(change.counts.rejected)),
                             change.rejected / ended);
    }
    if (judged > 0)
        tests.slowness.add(judged, std::min(judged, static_cast<double>(change.counts.slow)),
                           change.slow / judged, slow_weight(judged));
    note_evidence(tests.failures.evidence(), "failures" + where);
    note_evidence(tests.rejections.evidence(), "rejections" + where);
    note_evidence(tests.slowness.evidence(), "slow answers" + where);
    return std::max(
        {tests.failures.evidence(), tests.rejections.evidence(), tests.slowness.evidence()});
}

void software_judge::judge_route(const std::string& route, const route_counts& change,
                                 bool under_load) {
    using namespace internal;
    auto ended = static_cast<double>(change.ended);
    auto judged = static_cast<double>(change.judged);
    expected_change expected;
    expected.counts = change;
    expected.failed =
        ended * reference(route, &route_counts::failed, &route_counts::ended, least_failures);
    expected.rejected =
        ended * reference(route, &route_counts::rejected, &route_counts::ended, least_rejections);
    expected.slow =
        judged * reference(route, &route_counts::slow, &route_counts::judged, least_slowness);
    (void)add(tests_[route], expected, " on route " + route);
    auto loaded = add(loaded_tests_[route], under_load ? expected : expected_change(),
                      " under load on route " + route);
    loaded_evidence_ = std::max(loaded_evidence_, loaded);
    all_change_.counts += change;
    all_change_.failed += expected.failed;
    all_change_.rejected += expected.rejected;
    all_change_.slow += expected.slow;
}

double software_judge::slow_weight(double judged) {
    // An update every 100 ms.
    constexpr double updates_per_second = 10;
    double in_full = internal::full_slow_answers / updates_per_second;
    return judged <= in_full ? 1 : in_full / judged;
}

// The routes' references in the proportions of the new version's requests, which differ from the
// old version's.
void software_judge::judge_all(bool under_load) {
    (void)add(all_, all_change_, "");
    auto loaded = add(loaded_all_, under_load ? all_change_ : expected_change(), " under load");
    loaded_evidence_ = std::max(loaded_evidence_, loaded);
}

void software_judge::judge_losses(const side_counts& before, instant now) {
    using namespace internal;
    const auto& old_side = moments_.back().old_side;
    old_losses_ += new_losses(old_side, counted_old_, last_loss_old_, now);
    auto losses = new_losses(judged_, counted_new_, last_loss_new_, now);
    auto ended = total_of(judged_).ended - total_of(before).ended;
    double old_ended = positive(total_of(old_side).ended);
    double share = (old_losses_ + prior_hits) / (old_ended + old_losses_ + prior_observations);
    losses_.add(positive(ended) + losses, losses, std::max(least_failures, share));
    note_evidence(losses_.evidence(), "lost connections");
}

} // namespace azureyoke::coordination
