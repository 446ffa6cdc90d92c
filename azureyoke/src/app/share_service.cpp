#include "azureyoke/src/app/share_service.h"

#include "azureyoke/src/app/table_write.h"

namespace azureyoke::app {

namespace internal {
namespace {

constexpr transport::duration tick_period = std::chrono::milliseconds(100);

} // namespace
} // namespace internal

share_service::share_service(transport::event_loop& loop, protocol::table_service& table,
                             share_transport& peers, const event_log& log, instance_identity self)
    : loop_(loop), table_(table), peers_(peers), log_(log), self_(std::move(self)),
      row_name_("shares/" + self_.data_centre),
      share_manager_(coordination::share_settings{}, self_.incarnation),
      grant_manager_(coordination::grant_settings{}, self_.name, self_.incarnation),
      ticker_(loop.every(internal::tick_period, [this] { tick(); })) {}

void share_service::apply(const state::configuration& config) {
    data_centre_limits_.clear();
    for (const auto& doc : config.documents()) {
        auto part = state::data_centre_part(*doc, self_.data_centre);
        for (const auto& it : doc->workspaces)
            data_centre_limits_.push_back({it.name, it.limit, part});
    }
    applied_part_ = -1;
    refresh_limits();
}

void share_service::refresh_limits() {
    share_manager_.set_lease_end(grant_manager_.lease_end());
    if (applied_part_ == grant_manager_.part())
        return;
    applied_part_ = grant_manager_.part();
    auto own = data_centre_limits_;
    for (auto& it : own)
        it.part = it.part * applied_part_ / coordination::whole_limit_parts;
    share_manager_.set_limits(own, loop_.now());
    log_.write(event_id::share_granted, {{"part", std::to_string(applied_part_)}});
    dispatch_outputs();
}

void share_service::set_peers(const std::vector<coordination::share_peer>& peers) {
    std::set<std::string> local_peers;
    for (const auto& it : peers) {
        if (it.same_data_centre)
            local_peers.insert(it.name);
    }
    grant_manager_.set_live_instances(std::move(local_peers));
    share_manager_.set_peers(peers);
}

void share_service::tick() {
    run_grant_actions(grant_manager_.tick(loop_.now()));
    refresh_limits();
    log_lease_expiry();
    share_manager_.tick(loop_.now());
    dispatch_outputs();
}

void share_service::log_lease_expiry() {
    bool valid = lease_valid();
    if (lease_was_valid_ && !valid)
        log_.warn(event_id::share_lease_lapsed, {});
    lease_was_valid_ = valid;
}

void share_service::run_grant_actions(const std::vector<coordination::grant_action>& actions) {
    for (const auto& it : actions) {
        switch (it.step) {
        case coordination::grant_step::read_row:
            read_row();
            break;
        case coordination::grant_step::write_row:
            write_row(it);
            break;
        case coordination::grant_step::ping_lessor:
            auto requested_at = loop_.now();
            peers_.ask_lessor(it.lessor, [this, lessor = it.lessor, requested_at] {
                grant_manager_.on_lease_renewed(lessor, requested_at);
            });
            break;
        }
    }
    refresh_limits();
}

void share_service::read_row() {
    auto requested_at = loop_.now();
    table_.read(row_name_, [this, requested_at](auto row) {
        if (!row) {
            grant_manager_.on_read_failed();
            return;
        }
        state::grant_row parsed;
        if (row->version != 0) {
            auto text = state::parse_grant_row(row->value);
            if (!text) {
                log_.warn(event_id::platform_row_unreadable, {{"row", row_name_}});
                grant_manager_.on_read_failed();
                return;
            }
            parsed = std::move(*text);
        }
        run_grant_actions(grant_manager_.on_row(row->version, parsed, requested_at, loop_.now()));
    });
}

void share_service::write_row(const coordination::grant_action& action) {
    table_.write(
        row_name_, action.expected_version, state::to_text(action.row),
        [this, number = action.number, row = action.row](auto version) {
            const auto* own = state::find_grant(row, self_.name);
            if (version && own != nullptr && own->pending > 0)
                log_.write(event_id::share_reclaimed, {{"part", std::to_string(own->pending)}});
            grant_manager_.on_write(number, to_write_result(version), version.value_or(0),
                                    loop_.now());
            refresh_limits();
        });
}

coordination::admission_id share_service::request_admission(const std::string& workspace,
                                                            std::int64_t tokens,
                                                            admission_handler done) {
    auto id = next_ticket_++;
    pending_handlers_.emplace(id, std::move(done));
    share_manager_.request_admission(id, workspace, tokens, loop_.now());
    dispatch_outputs();
    return id;
}

void share_service::finish_request(coordination::admission_id id, std::int64_t used) {
    share_manager_.finish_request(id, used, loop_.now());
    dispatch_outputs();
}

void share_service::cancel_request(coordination::admission_id id) {
    pending_handlers_.erase(id);
    share_manager_.cancel_request(id, loop_.now());
    dispatch_outputs();
}

void share_service::receive(const std::string& from, const coordination::share_payload& payload) {
    std::visit([&](const auto& it) { share_manager_.on_message(from, it, loop_.now()); }, payload);
    dispatch_outputs();
}

bool share_service::renew_lease_of(const std::string& owner, std::uint64_t incarnation) {
    return grant_manager_.renew_lease_of(owner, incarnation, loop_.now());
}

void share_service::dispatch_outputs() {
    for (const auto& it : share_manager_.take_messages())
        peers_.send(it);
    for (const auto& it : share_manager_.take_outcomes()) {
        auto node = pending_handlers_.extract(it.id);
        if (!node.empty())
            node.mapped()(it);
    }
    schedule_wake();
}

void share_service::schedule_wake() {
    auto deadline = share_manager_.next_tick_time();
    if (deadline == wake_at_)
        return;
    wake_at_ = deadline;
    if (!deadline) {
        wake_timer_.reset();
        return;
    }
    wake_timer_ = loop_.after(*deadline - loop_.now(), [this] {
        wake_at_.reset();
        share_manager_.tick(loop_.now());
        dispatch_outputs();
    });
}

} // namespace azureyoke::app
