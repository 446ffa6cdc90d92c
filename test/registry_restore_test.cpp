// Guards against servers that are never used again after the registry has lost their registration
// and they have written it again, perhaps unchanged, and against servers that only a copy lists.
#include "azureyoke/src/coordination/fleet_directory.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "test/property.h"

using namespace azureyoke;
using coordination::fleet_directory;
using coordination::instant;

namespace {

const instant start = instant(std::chrono::hours(1));

state::fleet_server registered(const std::string& id, const state::record_version& written) {
    state::fleet_server made;
    made.id = id;
    made.pool = "p";
    made.started_ms = 7;
    made.registration = 3;
    made.written = written;
    return made;
}

/// A registry that is restored from copies, its servers, and an instance that follows it.
class registry_world {
public:
    /// A server starts, with the next start time, under one of a few ids.
    void start_server(int number) {
        auto& it = servers_[id_of(number)];
        if (it.runs)
            return;
        it = {true, ++starts_, 1};
        write(id_of(number));
    }

    /// A server leaves, and its entry with it; `crashes` leaves the entry, which expires later.
    void end_server(int number, bool crashes) {
        auto& it = servers_[id_of(number)];
        if (!it.runs)
            return;
        it.runs = false;
        if (crashes)
            return;
        rows_.erase(id_of(number));
        deliver_removal(id_of(number));
    }

    /// The number of the registration rises with some writes and not with others.
    void write_again(int number, bool rises) {
        auto& it = servers_[id_of(number)];
        if (!it.runs)
            return;
        it.number += rises ? 1 : 0;
        write(id_of(number));
    }

    void save_copy() { copy_ = rows_; }

    void restore(bool empty) {
        rows_ = empty ? std::map<std::string, state::fleet_server>() : copy_;
        ++era_;
        version_ = 0;
        for (auto& [id, row] : rows_)
            row.written = {era_, ++version_};
        follows_ = false;
    }

    /// The instance reads the whole list, at first or after changes that the registry dropped.
    void read_list() {
        if (!follows_ && seen_era_ != era_ && seen_era_ != 0)
            directory_.on_registry_restored(now_);
        seen_era_ = era_;
        follows_ = true;
        std::vector<state::fleet_server> list;
        for (const auto& [id, row] : rows_)
            list.push_back(row);
        directory_.replace_all(list, now_);
    }

    /// All servers that run write their entries again, and those that do not run expire.
    void settle(bool rises) {
        read_list();
        pass(std::chrono::seconds(3));
        for (auto& [id, it] : servers_) {
            it.number += it.runs && rises ? 1 : 0;
            if (it.runs)
                write(id);
            else if (rows_.erase(id) > 0)
                deliver_removal(id);
        }
        pass(std::chrono::seconds(3));
    }

    void pass(coordination::duration time) {
        now_ += time;
        (void)directory_.expire(now_);
    }

    std::set<std::string> running() const {
        std::set<std::string> ids;
        for (const auto& [id, it] : servers_) {
            if (it.runs)
                ids.insert(id);
        }
        return ids;
    }

    std::set<std::string> usable() const {
        std::set<std::string> ids;
        for (const auto* it : directory_.usable("p"))
            ids.insert(it->id);
        return ids;
    }

private:
    struct server {
        bool runs = false;
        std::int64_t started = 0;
        std::int64_t number = 0;
    };

    static std::string id_of(int number) { return "s" + std::to_string(number); }

    void write(const std::string& id) {
        auto row = registered(id, {era_, ++version_});
        row.started_ms = servers_[id].started;
        row.registration = servers_[id].number;
        rows_[id] = row;
        if (follows_)
            directory_.put(row, now_);
    }

    void deliver_removal(const std::string& id) {
        if (follows_)
            directory_.remove(id, now_);
    }

    fleet_directory directory_{{}};
    std::map<std::string, server> servers_;
    std::map<std::string, state::fleet_server> rows_;
    std::map<std::string, state::fleet_server> copy_;
    std::int64_t era_ = 1;
    std::int64_t seen_era_ = 0;
    std::int64_t version_ = 0;
    std::int64_t starts_ = 0;
    bool follows_ = false;
    instant now_ = start;
};

} // namespace

Test(registry_restore, server_that_writes_its_entry_again_unchanged_is_used) {
    fleet_directory directory({});
    directory.put(registered("a", {1, 5}), start);
    directory.on_registry_restored(start);
    directory.replace_all({}, start);
    cr_assert(directory.put(registered("a", {2, 1}), start + std::chrono::milliseconds(700)));
    (void)directory.expire(start + std::chrono::seconds(3));
    cr_assert_eq(directory.usable("p").size(), 1U);
}

Test(registry_restore, server_that_writes_its_entry_again_after_the_grace_period_is_used) {
    fleet_directory directory({});
    directory.put(registered("a", {1, 5}), start);
    directory.on_registry_restored(start);
    directory.replace_all({}, start);
    (void)directory.expire(start + std::chrono::seconds(3));
    cr_assert(directory.usable("p").empty());
    cr_assert(directory.put(registered("a", {2, 1}), start + std::chrono::seconds(4)));
    cr_assert_eq(directory.usable("p").size(), 1U);
}

Test(registry_restore, entry_that_a_later_list_has_is_told_from_one_of_the_copy) {
    fleet_directory directory({});
    directory.put(registered("gone", {1, 4}), start);
    directory.put(registered("lost", {1, 5}), start);
    directory.remove("gone", start);
    directory.on_registry_restored(start);
    directory.replace_all({registered("gone", {2, 4})}, start);
    auto later = start + std::chrono::seconds(3);
    (void)directory.expire(later);
    directory.replace_all({registered("gone", {2, 4}), registered("lost", {2, 6})}, later);
    auto usable = directory.usable("p");
    cr_assert_eq(usable.size(), 1U);
    cr_assert_eq(usable[0]->id, "lost");
}

// Any history of starts, ends, writes, copies, restores and lists ends with the servers that run.
Test(registry_restore, every_server_that_runs_and_no_other_is_used_in_the_end) {
    check_property(
        "servers that run are used",
        [](const std::vector<int>& steps, bool rises) {
            registry_world it;
            for (int step : steps) {
                int kind = std::abs(step) % 10;
                int number = std::abs(step) / 10 % 4;
                switch (kind) {
                case 0:
                case 1:
                    it.start_server(number);
                    break;
                case 2:
                    it.end_server(number, false);
                    break;
                case 3:
                    it.end_server(number, true);
                    break;
                case 4:
                    it.write_again(number, number % 2 == 0);
                    break;
                case 5:
                    it.save_copy();
                    break;
                case 6:
                    it.restore(number == 0);
                    break;
                case 7:
                    it.read_list();
                    break;
                default:
                    it.pass(std::chrono::milliseconds(300 * (number + 1)));
                    break;
                }
            }
            it.settle(rises);
            RC_ASSERT(it.usable() == it.running());
        },
        3000);
}
