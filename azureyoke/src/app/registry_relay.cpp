#include "azureyoke/src/app/registry_relay.h"

namespace azureyoke::app {

const char* name_of(coordination::relay_role role) {
    switch (role) {
    case coordination::relay_role::none:
        return "none";
    case coordination::relay_role::reader:
        return "reader";
    case coordination::relay_role::follower:
        return "follower";
    }
    return "none";
}

registry_relay::registry_relay(const transport::event_loop& loop, const forward_settings& settings,
                               fleet_registry& registry, const peer_directory& peers,
                               const event_log& log)
    : loop_(loop), settings_(settings), registry_(registry), peers_(peers), log_(log) {}

void registry_relay::tick(bool wanted) {
    auto readers = wanted ? static_cast<int>(settings_.registry_readers) : 0;
    if (readers <= 0 && role_ == coordination::relay_role::none)
        return;
    std::vector<std::string> names;
    for (auto& it : peers_.reaching_registry(loop_.now())) {
        if (peers_.data_centre_of(it) == settings_.data_centre)
            names.push_back(std::move(it));
    }
    auto role = coordination::choose_relay_role(settings_.instance, std::move(names), readers);
    if (role == role_)
        return;
    role_ = role;
    registry_.set_relay_role(role);
    log_.write(event_id::registry_relay_role, {{"role", name_of(role)}});
}

std::vector<std::string> registry_relay::contents(report_scope scope) {
    if (scope != report_scope::data_centre || role_ != coordination::relay_role::reader)
        return {};
    return registry_.take_relayed(max_section_bytes);
}

bool registry_relay::on_content(const section_sender& sender, std::string_view content) {
    return sender.data_centre != settings_.data_centre || registry_.on_relayed(content);
}

} // namespace azureyoke::app
