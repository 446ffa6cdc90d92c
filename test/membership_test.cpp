// Guards against live members that are removed, dead members that stay, and damaged datagrams that
// are read past their end.
#include <criterion/criterion.h>

#include "azureyoke/src/protocol/peer_messages.h"
#include "standin/member_world.h"

using namespace azureyoke;
using standin::member_world;
using standin::member_world_options;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(membership, crashed_instance_is_removed_everywhere_within_seconds) {
    member_world world({});
    world.run_for(seconds(5));
    world.crash(3);
    world.run_for(seconds(8));
    for (int i = 0; i < 8; ++i) {
        if (i != 3)
            cr_assert_not(world.considers_live(i, 3), "instance %d still sees instance 3", i);
    }
    cr_assert_eq(world.false_removals(), 0);
}

Test(membership, loss_of_a_tenth_of_the_probes_removes_no_member) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        member_world_options options;
        options.loss = 0.1;
        options.seed = seed;
        member_world world(options);
        world.run_for(seconds(300));
        cr_assert_eq(world.false_removals(), 0, "seed %lu", static_cast<unsigned long>(seed));
        cr_assert_eq(world.live_count(0), 7U);
    }
}

Test(membership, paused_instance_is_removed_and_comes_back) {
    member_world world({});
    world.run_for(seconds(5));
    world.pause(2, seconds(30));
    world.run_for(seconds(15));
    cr_assert_not(world.considers_live(5, 2));
    world.run_for(seconds(25));
    for (int i = 0; i < 8; ++i) {
        if (i != 2)
            cr_assert(world.considers_live(i, 2), "instance %d does not see instance 2", i);
    }
    cr_assert_eq(world.live_count(2), 7U);
}

Test(membership, leaving_instance_is_removed_at_once) {
    member_world world({});
    world.run_for(seconds(5));
    world.leave(4);
    world.run_for(milliseconds(100));
    for (int i = 0; i < 8; ++i) {
        if (i != 4)
            cr_assert_not(world.considers_live(i, 4));
    }
}

Test(membership, data_centres_find_each_other_again_after_a_partition) {
    member_world world({});
    world.run_for(seconds(5));
    world.cut_off(1, true);
    world.run_for(seconds(20));
    cr_assert_not(world.considers_live(0, 1));
    cr_assert(world.considers_live(1, 4));
    world.cut_off(1, false);
    // The platform's list seeds removed members again after `dead_member_ttl`.
    world.run_for(seconds(60));
    cr_assert(world.considers_live(1, 4));
}

Test(membership, probe_is_decoded_from_its_datagram_unchanged) {
    coordination::member_record record{"a", "dc", "127.0.0.1:1", 9,
                                       coordination::member_status::suspect};
    coordination::probe message{record, 4, coordination::probe_kind::ping_request, "b", {record}};
    auto bytes = protocol::encode_probe("fleet", message);
    auto read = protocol::decode_probe("fleet", bytes);
    cr_assert(read.has_value());
    cr_assert(*read == message);
}

Test(membership, damaged_or_foreign_datagram_is_refused) {
    coordination::member_record record{"a", "dc", "127.0.0.1:1", 9,
                                       coordination::member_status::alive};
    coordination::probe message{record, 4, coordination::probe_kind::ping, "", {record}};
    auto bytes = protocol::encode_probe("fleet", message);
    cr_assert_not(protocol::decode_probe("other", bytes).has_value());
    for (std::size_t n = 0; n < bytes.size(); ++n)
        cr_assert_not(protocol::decode_probe("fleet", bytes.substr(0, n)).has_value(), "%zu", n);
    // Any bit may be wrong: the decoder must not read past the end of the datagram.
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        for (int bit = 0; bit < 8; ++bit) {
            auto damaged = bytes;
            damaged[at] = static_cast<char>(damaged[at] ^ (1 << bit));
            (void)protocol::decode_probe("fleet", damaged);
        }
    }
}

Test(membership, seeded_member_is_pinged_at_once) {
    coordination::membership fresh({}, {"a", "dc", "1:1", 1, state::member_status::alive}, 1);
    fresh.add_seed({"b", "dc", "1:2", 0, state::member_status::alive}, coordination::instant());
    auto probes = fresh.take_probes();
    cr_assert_eq(probes.size(), 1U);
    cr_assert_eq(probes[0].address, "1:2");
    cr_assert_eq(probes[0].message.sender.name, "a");
}
