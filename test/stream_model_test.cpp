// Guards against streams of two software versions when instances end, freeze and are cut off while
// versions come and go: a model test of many instances in virtual time.
#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "azureyoke/src/coordination/software_versions.h"
#include "azureyoke/src/coordination/stream_bindings.h"
#include "azureyoke/src/coordination/stream_evidence.h"

using namespace azureyoke;
using coordination::duration;
using coordination::instant;

namespace {

constexpr duration ms = std::chrono::milliseconds(1);
constexpr duration second = std::chrono::seconds(1);
constexpr instant start{std::chrono::hours(1)};
constexpr duration lifetime = 12 * second;
constexpr std::size_t keepers = 3;

struct instance {
    coordination::stream_bindings bindings{{}};
    coordination::software_versions versions;
    instant down_until;
    instant cut_until;     ///< From peers, the store and the list of servers.
    instant unheard_until; ///< Exchanges nothing with peers, but reaches the store.
    std::set<std::string> known;
};

struct open_stream {
    std::string id;
    std::string software;
    instant until;
};

/// \brief Instances that begin streams and take them up as `app::stream_service` does, with the
/// list of servers and the stored versions at hand unless they are cut off.
class stream_world {
public:
    stream_world(std::size_t instances, unsigned seed) : random_(seed), instances_(instances) {
        for (std::size_t i = 0; i < instances; ++i) {
            names_.push_back("i-" + std::to_string(i));
            instances_[i].versions.add_stored({}, now_);
        }
        serve({"v1"});
    }

    std::size_t number(std::size_t n) { return random_() % n; }

    void serve(const std::set<std::string>& versions) {
        served_ = versions;
        stored_.set_present("p", served_, lifetime, now_);
        for (auto& it : instances_)
            look(it);
    }

    void pass(duration time) {
        now_ += time;
        stored_.expire(now_);
        stored_streams_.expire(now_);
        for (auto& it : instances_) {
            look(it);
            it.versions.expire(now_);
            it.bindings.expire(now_);
        }
        std::erase_if(streams_, [&](const auto& it) { return it.until <= now_; });
    }

    void restart(std::size_t i) {
        instances_[i] = instance();
        instances_[i].down_until = now_ + second;
    }

    void cut_off(std::size_t i) { instances_[i].cut_until = now_ + 3 * second; }

    /// Its datagrams are lost in both directions.
    void silence(std::size_t i) { instances_[i].unheard_until = now_ + 30 * second; }

    /// Ends all instances but `survivor` for longer than a stream lasts.
    void lose_all_but(std::size_t survivor) {
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            if (i == survivor)
                continue;
            instances_[i] = instance();
            instances_[i].down_until = now_ + 2 * lifetime;
        }
    }

    void begin() {
        auto i = number(instances_.size());
        auto& it = instances_[i];
        if (it.down_until > now_ || it.known.empty())
            return;
        auto version =
            *std::next(it.known.begin(), static_cast<std::ptrdiff_t>(number(it.known.size())));
        if (!served_.contains(version))
            return; // the server is gone, and this instance does not know it yet
        open_stream stream{"q" + std::to_string(++begun_), version, now_ + lifetime};
        streams_.push_back(stream);
        it.bindings.add(stream.id, {"p", version, stream.until}, now_);
        if (it.versions.of("p").size() > 1)
            hand_over(i, stream);
        if (it.cut_until <= now_ && stored_.of("p").size() > 1)
            stored_streams_.add(stream.id, {"p", version, stream.until}, now_);
    }

    /// \brief Takes up a stream that broke off. Counts whether it went on and was joined.
    void take_up() { take_up_at(number(instances_.size())); }

    void take_up_at(std::size_t i) {
        if (streams_.empty())
            return;
        const auto& stream = streams_[number(streams_.size())];
        if (instances_[i].down_until > now_ || !served_.contains(stream.software))
            return;
        ++taken_up_;
        auto found = find(i, stream.id);
        went_on_ += found ? 1 : 0;
        joined_ += found && *found != stream.software ? 1 : 0;
    }

    int joined() const { return joined_; }

    double share() const { return static_cast<double>(went_on_) / std::max(1, taken_up_); }

private:
    bool connected(std::size_t a, std::size_t b) const {
        auto usable = [&](const instance& it) {
            return it.down_until <= now_ && it.cut_until <= now_ && it.unheard_until <= now_;
        };
        return a == b || (usable(instances_[a]) && usable(instances_[b]));
    }

    /// What an instance that is not cut off reads from the store.
    void look(instance& it) {
        if (it.down_until > now_ || it.cut_until > now_)
            return;
        if (!it.versions.complete())
            it.versions.add_stored(stored_.all(), now_);
        auto before = it.versions.of("p").size();
        it.known = served_;
        it.versions.set_present("p", served_, lifetime, now_);
        if (before < 2 && it.versions.of("p").size() > 1) {
            for (const auto& [id, binding] : it.bindings.all())
                hand_over(static_cast<std::size_t>(&it - instances_.data()),
                          {id, binding.software, binding.until});
        }
    }

    std::vector<std::string> asked_by(std::size_t i, const std::string& id) const {
        std::vector<std::string> live;
        for (std::size_t k = 0; k < instances_.size(); ++k) {
            if (k != i && connected(i, k))
                live.push_back(names_[k]);
        }
        return coordination::choose_keepers(live, id, keepers);
    }

    std::size_t number_of(const std::string& name) const {
        return static_cast<std::size_t>(std::stoul(name.substr(2)));
    }

    void hand_over(std::size_t i, const open_stream& stream) {
        for (const auto& name : asked_by(i, stream.id))
            instances_[number_of(name)].bindings.add(stream.id,
                                                     {"p", stream.software, stream.until}, now_);
    }

    std::optional<std::string> find(std::size_t i, const std::string& id) {
        auto& it = instances_[i];
        if (auto known = it.bindings.find(id, now_))
            return known->software;
        coordination::stream_evidence known;
        known.versions = it.versions.of("p");
        known.complete = it.versions.complete();
        for (const auto& name : asked_by(i, id)) {
            const auto& peer = instances_[number_of(name)];
            if (auto binding = peer.bindings.find(id, now_))
                return binding->software;
            known.versions.merge(peer.versions.of("p"));
            known.complete = known.complete || peer.versions.complete();
            ++known.replies;
        }
        using coordination::stream_decision;
        if (coordination::decide(known) == stream_decision::read_store) {
            known.store = coordination::stream_evidence::store_read::failed;
            if (it.cut_until <= now_) {
                look(it);
                if (auto binding = stored_streams_.find(id, now_))
                    return binding->software;
                known.store = coordination::stream_evidence::store_read::done;
                known.complete = true;
                known.versions.merge(it.versions.of("p"));
                known.versions.merge(stored_.of("p"));
            }
        }
        if (coordination::decide(known) != stream_decision::go_on)
            return std::nullopt;
        return *known.versions.begin();
    }

    std::mt19937 random_;
    instant now_ = start;
    std::vector<std::string> names_;
    std::vector<instance> instances_;
    std::set<std::string> served_;
    coordination::software_versions stored_;
    coordination::stream_bindings stored_streams_{{}};
    std::vector<open_stream> streams_;
    int begun_ = 0;
    int taken_up_ = 0;
    int went_on_ = 0;
    int joined_ = 0;
};

} // namespace

Test(stream_model, no_stream_is_joined_however_instances_and_versions_come_and_go, .timeout = 120) {
    for (std::size_t instances : {2, 8, 64}) {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            stream_world world(instances, seed);
            int version = 1;
            for (int step = 0; step < 3000; ++step) {
                world.pass(50 * ms);
                world.begin();
                world.take_up();
                auto name = [&](int v) { return "v" + std::to_string(v); };
                switch (world.number(60)) {
                case 0:
                    world.serve({name(version), name(version + 1)});
                    break;
                case 1:
                    world.serve({name(++version)});
                    break;
                case 2:
                case 3:
                    world.restart(world.number(instances));
                    break;
                case 4:
                    world.cut_off(world.number(instances));
                    break;
                case 6:
                    world.silence(world.number(instances));
                    break;
                case 7:
                    world.lose_all_but(world.number(instances));
                    break;
                case 5:
                    for (std::size_t i = 0; i < instances; ++i)
                        world.restart(i);
                    break;
                default:
                    break;
                }
            }
            cr_assert_eq(world.joined(), 0, "%zu instances, seed %u: %d streams joined", instances,
                         seed, world.joined());
        }
    }
}

// A stream that is taken up goes on at least half as often as a new one begins.
Test(stream_model, streams_go_on_when_a_third_of_the_instances_ends, .timeout = 120) {
    for (std::size_t instances : {8, 64, 195}) {
        for (unsigned seed = 1; seed <= 10; ++seed) {
            stream_world world(instances, seed);
            world.serve({"v1", "v2"});
            for (int step = 0; step < 1500; ++step) {
                world.pass(20 * ms);
                world.begin();
                world.take_up();
                if (step % 250 == 249) {
                    for (std::size_t i = 0; i < instances / 3; ++i)
                        world.restart(world.number(instances));
                }
            }
            cr_assert_geq(world.share(), 0.5, "%zu instances, seed %u: %.3f went on", instances,
                          seed, world.share());
            cr_assert_eq(world.joined(), 0);
        }
    }
}

// Guards against a last instance that refuses the streams which the lost ones had begun.
Test(stream_model, streams_go_on_at_the_last_instance_with_one_version_or_two, .timeout = 120) {
    for (const auto& versions : {std::set<std::string>{"v1"}, {"v1", "v2"}}) {
        for (std::size_t instances : {2, 3, 5, 8, 64}) {
            for (unsigned seed = 1; seed <= 10; ++seed) {
                stream_world world(instances, seed);
                world.serve(versions);
                for (int step = 0; step < 400; ++step) {
                    world.pass(20 * ms);
                    world.begin();
                }
                auto survivor = world.number(instances);
                world.lose_all_but(survivor);
                for (int step = 0; step < 150; ++step) {
                    world.pass(20 * ms);
                    world.take_up_at(survivor);
                }
                cr_assert_geq(world.share(), 0.5, "%zu versions, %zu instances, seed %u: %.3f",
                              versions.size(), instances, seed, world.share());
                cr_assert_eq(world.joined(), 0);
            }
        }
    }
}
