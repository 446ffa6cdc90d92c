// Guards against audit entries that are lost without a count or stored under two batch numbers, and
// against whole key digests in audit entries.
#include "azureyoke/src/coordination/audit_buffer.h"

#include <criterion/criterion.h>

using namespace azureyoke;
using coordination::audit_buffer;
using coordination::audit_settings;
using coordination::instant;
using std::chrono::seconds;

namespace {

const instant start = instant() + std::chrono::hours(1);

state::audit_entry entry(const std::string& detail) {
    return {1, "a", "member_joined", {}, {}, detail};
}

} // namespace

Test(audit_buffer, batch_is_delayed_to_collect_entries) {
    audit_buffer buffer(audit_settings{});
    buffer.add(entry("1"), start);
    cr_assert_not(buffer.next_batch(start).has_value());
    auto batch = buffer.next_batch(start + seconds(2));
    cr_assert(batch.has_value());
    cr_assert_eq(batch->entries.size(), 1U);
}

Test(audit_buffer, failed_batch_is_retried_under_its_number) {
    audit_buffer buffer(audit_settings{});
    buffer.add(entry("1"), start);
    auto first = buffer.next_batch(start + seconds(2));
    buffer.on_failed(start + seconds(3));
    buffer.add(entry("2"), start + seconds(3));
    cr_assert_not(buffer.empty());
    cr_assert_not(buffer.next_batch(start + seconds(4)).has_value());
    auto again = buffer.next_batch(start + seconds(8));
    cr_assert(*again == *first);
    buffer.on_stored();
    auto next = buffer.next_batch(start + seconds(20));
    cr_assert_eq(next->number, first->number + 1);
    cr_assert_eq(next->entries.at(0).detail, "2");
}

Test(audit_buffer, failed_batch_counts_as_waiting_until_it_is_stored) {
    audit_buffer buffer(audit_settings{});
    cr_assert(buffer.empty());
    buffer.add(entry("1"), start);
    (void)buffer.next_batch(start + seconds(2));
    buffer.on_failed(start + seconds(3));
    cr_assert_not(buffer.empty());
    (void)buffer.next_batch(start + seconds(8));
    buffer.on_stored();
    cr_assert(buffer.empty());
}

Test(audit_buffer, nothing_is_dropped_up_to_the_bound_and_dropped_entries_are_counted) {
    audit_settings settings;
    settings.max_entries = 10;
    audit_buffer buffer(settings);
    for (int i = 0; i < 10; ++i)
        buffer.add(entry(std::to_string(i)), start);
    cr_assert_eq(buffer.dropped(), 0U);
    for (int i = 0; i < 5; ++i)
        buffer.add(entry("late"), start);
    cr_assert_eq(buffer.dropped(), 5U);
    auto batch = buffer.next_batch(start + seconds(2));
    cr_assert_eq(batch->entries.at(0).what, "audit_dropped");
    cr_assert_eq(batch->entries.at(0).detail, "5 entries were lost");
    cr_assert_eq(batch->entries.at(1).detail, "5");
}

Test(audit_buffer, changes_of_a_document_name_keys_by_digest_prefix_only) {
    auto parse = [](const std::string& key, int version, int rate) {
        auto text = "{\"name\":\"d\",\"version\":" + std::to_string(version) +
                    ",\"data_centres\":[],\"workspaces\":[{\"name\":\"w\",\"tokens_per_second\":" +
                    std::to_string(rate) + ",\"burst_tokens\":1,\"keys\":[\"" +
                    state::to_string(state::compute_digest(key)) + "\"]}]}";
        return state::parse_document(text).value();
    };
    auto before = parse("old", 1, 10);
    auto after = parse("new", 2, 20);
    auto changes = coordination::describe_changes(&before, after);
    cr_assert_eq(changes.size(), 4U);
    cr_assert_eq(changes[1].what, "key_granted");
    cr_assert_eq(changes[1].detail, state::short_digest(state::compute_digest("new")));
    cr_assert_eq(changes[2].what, "key_withdrawn");
    cr_assert_eq(changes[2].detail.size(), 8U);
    cr_assert_eq(changes[3].what, "limit_changed");
    cr_assert_eq(changes[3].workspace, "w");
}

Test(audit_buffer, entry_is_parsed_from_its_line_unchanged) {
    state::audit_entry made{17, "a", "key_granted", "d", "w", "quote \" and \n feed"};
    auto line = state::to_line(made);
    cr_assert(state::parse_audit_line(line) == made);
    cr_assert_not(state::parse_audit_line("{}").has_value());
}
