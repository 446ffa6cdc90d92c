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
/// Places of the values of a part that older versions do not send.
constexpr std::size_t answers_place = 6;
constexpr std::size_t trial_progress_place = 7;

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
            crashes.push_back({mark.id, age_of(mark.at), mark.reached.step()});
        auto answers = json::array();
        for (auto at : it.evidence.answered_at)
            answers.push_back(age_of(at));
        const auto& trial = it.evidence.trial_crash;
        // Instances of older versions read the first six values; to them an answer is one that
        // refutes every crash.
        return json::array({it.part, answers.back(), crashes, it.evidence.failed_trials, trial.id,
                            age_of(trial.at), answers, trial.reached.step()});
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

    /// \returns the progress at this place of the list. Instances of older versions leave it out,
    /// since they report only answers that had not begun.
    static std::optional<coordination::answer_progress> progress_of(const json& list,
                                                                    std::size_t place) {
        if (place >= list.size())
            return coordination::answer_progress();
        auto step = list.at(place).get<std::uint64_t>();
        if (step >= coordination::answer_progress::steps)
            return std::nullopt;
        return coordination::answer_progress::at_step(step);
    }

    std::optional<coordination::answer_times> answers_of(const json& body) const {
        coordination::answer_times answers{};
        bool old_version = body.size() <= answers_place;
        // Older versions report the last answer that began.
        auto began = coordination::answer_progress::begun({}).step();
        const auto& list = old_version ? body : body.at(answers_place);
        if (!old_version && list.size() != answers.size())
            return std::nullopt;
        for (std::size_t step = 0; step < answers.size(); ++step) {
            if (old_version && step != began)
                continue;
            auto at = time_of(list.at(old_version ? 1 : step));
            if (!at)
                return std::nullopt;
            answers.at(step) = *at;
        }
        return answers;
    }

    std::optional<part_report> decode_part(const json& body) const {
        part_report it;
        it.part = body.at(0).get<std::string>();
        auto answers = answers_of(body);
        auto trial_at = time_of(body.at(5));
        auto trial_reached = progress_of(body, trial_progress_place);
        it.evidence.failed_trials = body.at(3).get<int>();
        bool valid = answers && trial_at && trial_reached && !it.part.empty() &&
                     it.evidence.failed_trials >= 0 &&
                     it.evidence.failed_trials <= max_failed_trials &&
                     body.at(2).size() <= max_crashes;
        if (!valid)
            return std::nullopt;
        it.evidence.answered_at = *answers;
        it.evidence.trial_crash = {body.at(4).get<std::uint64_t>(), *trial_at, *trial_reached};
        for (const auto& mark : body.at(2)) {
            auto at = time_of(mark.at(1));
            auto reached = progress_of(mark, 2);
            if (!at || *at == instant() || !reached)
                return std::nullopt;
            it.evidence.crashes.push_back({mark.at(0).get<std::uint64_t>(), *at, *reached});
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
