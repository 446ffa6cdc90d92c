#include "azureyoke/src/app/part_message.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace azureyoke::app {

using coordination::duration;
using coordination::instant;
using nlohmann::json;

namespace internal {
namespace {

constexpr const char* news_tag = "parts";
constexpr const char* request_tag = "trial";
constexpr const char* reply_tag = "trial reply";
/// The age of what never happened.
constexpr std::int64_t never = -1;
/// Greater values are not valid: nothing is remembered for that long.
constexpr std::int64_t max_age_us = std::chrono::microseconds(std::chrono::hours(2)).count();
constexpr int max_failed_trials = 1000;
constexpr std::size_t max_crashes = 16;

class encoder {
public:
    explicit encoder(instant now) : now_(now) {}

    json operator()(const part_news& it) const {
        auto list = json::array();
        for (const auto& part : it.parts)
            list.push_back(encode(part));
        return json::array({news_tag, list});
    }

    json operator()(const trial_request& it) const {
        return json::array({request_tag, it.reply_to, it.number, encode(it.part)});
    }

    json operator()(const trial_reply& it) const {
        return json::array({reply_tag, it.number, it.granted, it.wait.count(), encode(it.part)});
    }

private:
    std::int64_t age_of(instant at) const {
        auto age = (now_ - at).count();
        return at == instant() || age > max_age_us ? never : std::max<std::int64_t>(0, age);
    }

    json encode(const part_report& it) const {
        auto crashes = json::array();
        for (const auto& mark : it.evidence.crashes)
            crashes.push_back({mark.id, age_of(mark.at)});
        const auto& trial = it.evidence.trial_crash;
        return json::array({it.part, age_of(it.evidence.answered_at), crashes,
                            it.evidence.failed_trials, trial.id, age_of(trial.at)});
    }

    instant now_;
};

class decoder {
public:
    explicit decoder(instant now) : now_(now) {}

    /// \returns nothing when a value is out of its range; throws json::exception when a field is
    /// missing or of the wrong type.
    std::optional<part_message> decode(const json& body) const {
        auto tag = body.at(0).get<std::string>();
        if (tag == news_tag) {
            part_news news;
            for (const auto& it : body.at(1)) {
                auto part = decode_part(it);
                if (!part)
                    return std::nullopt;
                news.parts.push_back(std::move(*part));
            }
            return news;
        }
        if (tag == request_tag) {
            auto part = decode_part(body.at(3));
            if (!part)
                return std::nullopt;
            return trial_request{body.at(1).get<std::string>(), body.at(2).get<std::uint64_t>(),
                                 *part};
        }
        if (tag != reply_tag)
            return std::nullopt;
        auto part = decode_part(body.at(4));
        auto wait_us = body.at(3).get<std::int64_t>();
        if (!part || wait_us < 0 || wait_us > max_age_us)
            return std::nullopt;
        return trial_reply{body.at(1).get<std::uint64_t>(), body.at(2).get<bool>(),
                           duration(wait_us), *part};
    }

private:
    std::optional<instant> time_of(const json& age) const {
        auto us = age.get<std::int64_t>();
        if (us == never)
            return instant();
        if (us < 0 || us > max_age_us)
            return std::nullopt;
        return now_ - duration(us);
    }

    std::optional<part_report> decode_part(const json& body) const {
        part_report it;
        it.part = body.at(0).get<std::string>();
        auto answered_at = time_of(body.at(1));
        auto trial_at = time_of(body.at(5));
        it.evidence.failed_trials = body.at(3).get<int>();
        bool valid =
            answered_at && trial_at && !it.part.empty() && it.evidence.failed_trials >= 0 &&
            it.evidence.failed_trials <= max_failed_trials && body.at(2).size() <= max_crashes;
        if (!valid)
            return std::nullopt;
        it.evidence.answered_at = *answered_at;
        it.evidence.trial_crash = {body.at(4).get<std::uint64_t>(), *trial_at};
        for (const auto& mark : body.at(2)) {
            auto at = time_of(mark.at(1));
            if (!at || *at == instant())
                return std::nullopt;
            it.evidence.crashes.push_back({mark.at(0).get<std::uint64_t>(), *at});
        }
        return it;
    }

    instant now_;
};

} // namespace
} // namespace internal

std::string to_bytes(const part_message& message, instant now) {
    std::string bytes;
    json::to_cbor(std::visit(internal::encoder(now), message), bytes);
    return bytes;
}

std::vector<std::string> to_messages(const part_news& news, instant now, std::size_t max_bytes,
                                     std::size_t max_messages) {
    std::vector<std::string> list;
    part_news open;
    std::string bytes;
    for (const auto& it : news.parts) {
        open.parts.push_back(it);
        auto longer = to_bytes(open, now);
        if (longer.size() <= max_bytes) {
            bytes = std::move(longer);
            continue;
        }
        if (!bytes.empty())
            list.push_back(std::move(bytes));
        open.parts = {it};
        bytes = to_bytes(open, now);
        if (bytes.size() > max_bytes) {
            open.parts.clear();
            bytes.clear();
        }
    }
    if (!bytes.empty())
        list.push_back(std::move(bytes));
    if (list.size() > max_messages)
        list.resize(max_messages);
    return list;
}

std::optional<part_message> parse_part_message(std::string_view bytes, instant now) {
    try {
        auto body = json::from_cbor(bytes.begin(), bytes.end(), true, false);
        return body.is_array() ? internal::decoder(now).decode(body) : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt; // a field is missing or of the wrong type
    }
}

} // namespace azureyoke::app
