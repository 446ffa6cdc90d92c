// Guards against instances that lose, or never learn, on which software version a stream began.
#include "test/stream_service_fixture.h"

using namespace azureyoke;

namespace {

constexpr transport::duration ms = std::chrono::milliseconds(1);
constexpr auto life = stream_life;

} // namespace

Test(stream_service, stream_is_found_by_instances_that_did_not_see_it) {
    stream_service_fixture it;
    it.members[1]->streams.on_begun("q", "p", "v1", life);
    it.wait(50 * ms);
    for (int i : {1, 2, 3})
        cr_assert_eq(it.find(i, "q"), "v1");
}

Test(stream_service, stream_is_found_when_the_instance_that_saw_it_is_gone) {
    stream_service_fixture it;
    it.members[1]->streams.on_begun("q", "p", "v1", life);
    it.wait(50 * ms);
    it.members.erase(1);
    cr_assert_eq(it.find(2, "q"), "v1");
    cr_assert_eq(it.find(3, "q"), "v1");
}

Test(stream_service, stream_whose_version_is_uncertain_is_taken_up_nowhere) {
    stream_service_fixture it;
    it.members[1]->streams.on_begun("q", "p", "v1", life);
    it.wait(50 * ms);
    it.members[1]->streams.on_uncertain("q", "p");
    it.wait(50 * ms);
    for (int i : {1, 2, 3})
        cr_assert_eq(it.find(i, "q"), "none");
    it.members.erase(1);
    cr_assert_eq(it.find(2, "q"), "none");
}

Test(stream_service, stream_of_before_the_second_version_is_found_too) {
    stream_service_fixture it({"v1"});
    it.members[1]->streams.on_begun("q", "p", "v1", life);
    for (auto& [number, member] : it.members)
        member->serve({"v1", "v2"});
    it.wait(50 * ms);
    it.members.erase(1);
    cr_assert_eq(it.find(2, "q"), "v1");
}

Test(stream_service, stream_survives_the_end_of_all_instances) {
    stream_service_fixture it;
    it.members[1]->streams.on_begun("q", "p", "v1", life);
    it.wait(600 * ms);
    it.members.clear();
    for (int i : {1, 2})
        it.start(i);
    for (auto& [number, member] : it.members)
        member->serve({"v1", "v2"});
    cr_assert_eq(it.find(1, "q"), "v1");
    cr_assert_eq(it.find(2, "q"), "v1");
}

Test(stream_service, unknown_stream_goes_on_only_where_there_is_one_version) {
    stream_service_fixture one({"v1"});
    cr_assert_eq(one.find(1, "never"), "v1");
    cr_assert_eq(one.find(1, ""), "v1");
    stream_service_fixture two;
    cr_assert_eq(two.find(1, "never"), "none");
    cr_assert_eq(two.find(1, ""), "none");
}

// The old version's last server left, and then all instances ended.
Test(stream_service, unknown_stream_does_not_go_on_at_the_only_version_left) {
    stream_service_fixture it;
    it.wait(300 * ms);
    it.members.clear();
    it.start(1);
    it.start(2);
    for (auto& [number, member] : it.members)
        member->serve({"v2"});
    cr_assert_eq(it.find(1, "never"), "none");
}

Test(stream_service, unknown_stream_waits_for_the_stored_versions) {
    stream_service_fixture it({"v1"});
    it.store.unreadable = "software-versions";
    it.members.clear();
    it.start(1);
    it.start(2);
    for (auto& [number, member] : it.members)
        member->serve({"v1"});
    cr_assert_eq(it.find(1, "never"), "none", "the store may tell of another version");
    it.store.unreadable.clear();
    it.wait(1100 * ms);
    cr_assert_eq(it.find(1, "never"), "v1");
}

// An instance that was frozen or cut off does not know of a new version.
Test(stream_service, peer_with_a_newer_view_corrects_one_with_an_old_view) {
    stream_service_fixture it({"v1"});
    it.members[2]->serve({"v1", "v2"});
    it.members[3]->serve({"v1", "v2"});
    cr_assert_eq(it.find(1, "never"), "none");
}

// Guards against a last instance that refuses all streams which the lost ones had begun.
Test(stream_service, unknown_stream_goes_on_at_the_last_instance_that_reaches_the_store) {
    stream_service_fixture it({"v1"});
    it.wait(300 * ms);
    it.members.erase(2);
    it.members.erase(3);
    cr_assert_eq(it.find(1, "never"), "v1");
    cr_assert_eq(it.members[1]->servers.reads, 1);
}

Test(stream_service,
     instance_that_reaches_neither_peers_nor_the_store_lets_no_unknown_stream_go_on) {
    stream_service_fixture it({"v1"});
    it.wait(300 * ms);
    it.members.erase(2);
    it.members.erase(3);
    it.members[1]->servers.reachable = false;
    cr_assert_eq(it.find(1, "never"), "none", "the list of servers cannot be read");
    it.members[1]->servers.reachable = true;
    it.store.unreadable = "software-versions";
    cr_assert_eq(it.find(1, "never"), "none", "the stored versions cannot be read");
}

// Guards against an instance that has been cut off for long and takes itself for the only one.
Test(stream_service,
     instance_that_knows_of_no_peer_lets_no_unknown_stream_go_on_by_its_view_alone) {
    stream_service_fixture it({"v1"});
    it.members.clear();
    it.start(1);
    it.members[1]->serve({"v1"});
    cr_assert_eq(it.members[1]->peers.count(it.loop.now()).all, 1);
    it.members[1]->servers.reachable = false;
    cr_assert_eq(it.find(1, "never"), "none");
}

Test(stream_service, version_that_the_last_instance_has_not_read_yet_is_heeded) {
    stream_service_fixture it({"v1"});
    it.members.erase(2);
    it.members.erase(3);
    auto& last = *it.members[1];
    last.servers.on_read = [&] { last.serve({"v1", "v2"}); };
    cr_assert_eq(it.find(1, "never"), "none");
}

Test(stream_service, version_that_came_and_went_unseen_by_the_last_instance_is_heeded) {
    stream_service_fixture it({"v1"});
    it.wait(300 * ms);
    it.members.erase(2);
    it.members.erase(3);
    it.store.records["software-versions"] = R"({"p":["v1","v2"]})";
    cr_assert_eq(it.find(1, "never"), "none");
}

// Guards against streams that are lost with their keepers although the store has them.
Test(stream_service, stream_whose_keepers_are_all_gone_is_found_in_the_store) {
    stream_service_fixture it;
    it.wait(300 * ms);
    it.store.records["streams/i-9"] = R"({"p":{"v1":["q"],"v2":["r"]}})";
    cr_assert_eq(it.find(1, "q"), "v1");
    it.members.erase(2);
    it.members.erase(3);
    cr_assert_eq(it.find(1, "r"), "v2");
}

Test(stream_service, peers_that_know_one_version_cost_no_read_of_the_store) {
    stream_service_fixture it({"v1"});
    it.wait(300 * ms);
    cr_assert_eq(it.find(1, "never"), "v1");
    cr_assert_eq(it.members[1]->servers.reads, 0);
}

Test(stream_service, instance_that_was_stopped_finds_no_stream_until_its_list_is_updated) {
    stream_service_fixture it;
    auto& stopped = *it.members[1];
    stopped.streams.on_begun("q", "p", "v1", life);
    it.wait(50 * ms);
    stopped.ticks.reset();
    it.wait(600 * ms);
    cr_assert_not(stopped.streams.versions_are_current());
    cr_assert_eq(it.find(1, "q"), "none");
    cr_assert_eq(it.find(2, "q"), "v1");
    stopped.ticks = it.loop.every(20 * ms, [&] { stopped.streams.tick(); });
    it.wait(100 * ms);
    cr_assert_eq(it.find(1, "q"), "none");
    it.wait_until([&] { return stopped.streams.versions_are_current(); });
    cr_assert_eq(it.find(1, "q"), "v1");
}

Test(stream_service, streams_of_a_leaving_keeper_are_handed_over) {
    stream_service_fixture it;
    it.members[1]->streams.on_begun("q", "p", "v2", life);
    it.members[1]->streams.leave();
    it.wait(50 * ms);
    it.members.erase(1);
    cr_assert_eq(it.find(2, "q"), "v2");
}

Test(stream_service, one_version_costs_no_message_and_no_write_for_streams) {
    stream_service_fixture it({"v1"});
    it.members[1]->streams.on_begun("q", "p", "v1", life);
    it.wait(600 * ms);
    cr_assert_not(it.store.records.contains("streams/i-1"));
    it.members.erase(1);
    it.members[2]->serve({"v1", "v2"});
    it.members[3]->serve({"v1", "v2"});
    cr_assert_eq(it.find(2, "q"), "none");
}

Test(stream_service, complete_streams_leave_the_store) {
    stream_service_fixture it;
    it.members[1]->streams.on_begun("q", "p", "v1", life);
    it.wait(500 * ms);
    cr_assert_neq(it.store.records["streams/i-1"].find("\"q\""), std::string::npos);
    it.members[1]->streams.on_complete("q");
    it.members[1]->streams.on_begun("r", "p", "v1", life);
    it.wait(600 * ms);
    cr_assert_eq(it.store.records["streams/i-1"].find("\"q\""), std::string::npos);
}

// Guards against a request whose id is no valid text, sent by a caller: storing it ended the
// instance.
Test(stream_service, stream_whose_id_is_no_text_ends_no_instance) {
    stream_service_fixture it;
    it.members[1]->streams.on_begun("q\xff", "p", "v1", life);
    it.members[1]->streams.on_begun("r", "p", "v1", life);
    it.wait(500 * ms);
    cr_assert_neq(it.store.records["streams/i-1"].find("\"r\""), std::string::npos);
}
