#include "azureyoke/src/coordination/attempt_run.h"

namespace azureyoke::coordination {

namespace internal {
namespace {

constexpr int max_record_tries = 4;
constexpr int max_dispatches = 3;

} // namespace
} // namespace internal

attempt_run::attempt_run(std::string attempt, std::string request_digest, bool service_honours_key)
    : attempt_(std::move(attempt)), request_digest_(std::move(request_digest)),
      service_honours_key_(service_honours_key) {}

attempt_action attempt_run::claim(std::int64_t expected_version) {
    attempt_action made;
    made.step = attempt_step::write_record;
    made.record = {attempt_, request_digest_, state::attempt_phase::started, {}};
    made.expected_version = expected_version;
    return made;
}

attempt_action attempt_run::write(state::attempt_phase phase, const state::stored_answer& answer) {
    stage_ = stage::storing;
    record_tries_ = 0;
    last_write_ = {attempt_, request_digest_, phase, answer};
    attempt_action made;
    made.step = attempt_step::write_record;
    made.record = last_write_;
    made.expected_version = version_;
    return made;
}

attempt_action attempt_run::answer(attempt_verdict verdict, const state::stored_answer& stored) {
    answered_ = true;
    attempt_action made;
    made.step = attempt_step::answer;
    made.verdict = verdict;
    made.stored = stored;
    return made;
}

attempt_action attempt_run::start() {
    return claim(0);
}

std::vector<attempt_action> attempt_run::abandon_claim() {
    stage_ = stage::over;
    return {answer(attempt_verdict::record_unavailable)};
}

std::vector<attempt_action> attempt_run::on_write(write_result result, std::int64_t version) {
    if (stage_ == stage::storing) {
        bool retryable = result == write_result::not_written || result == write_result::unknown;
        if (retryable && ++record_tries_ < internal::max_record_tries) {
            attempt_action repeated_write;
            repeated_write.step = attempt_step::write_record;
            repeated_write.record = last_write_;
            repeated_write.expected_version = version_;
            return {repeated_write};
        }
        stage_ = stage::over;
        return {};
    }
    if (stage_ != stage::claiming)
        return {};
    if (result == write_result::written) {
        version_ = version;
        stage_ = stage::dispatched;
        ++dispatches_;
        return {{attempt_step::dispatch, {}, 0, {}, {}}};
    }
    if (++record_tries_ >= internal::max_record_tries)
        return abandon_claim();
    if (result == write_result::not_written)
        return {claim(0)};
    // After a conflict or a lost answer the row shows which attempt owns the key.
    return {{attempt_step::read_record, {}, 0, {}, {}}};
}

std::vector<attempt_action>
attempt_run::on_read(bool answered, std::int64_t version,
                     const std::optional<state::attempt_record>& record) {
    if (stage_ != stage::claiming)
        return {};
    if (!answered) {
        if (++record_tries_ >= internal::max_record_tries)
            return abandon_claim();
        return {{attempt_step::read_record, {}, 0, {}, {}}};
    }
    if (version == 0)
        return {claim(0)};
    if (!record)
        return abandon_claim(); // an unreadable row may belong to another attempt and is kept
    if (record->attempt == attempt_ && record->phase == state::attempt_phase::started) {
        version_ = version;
        stage_ = stage::dispatched;
        ++dispatches_;
        return {{attempt_step::dispatch, {}, 0, {}, {}}};
    }
    return on_record_of_other_attempt(version, *record);
}

std::vector<attempt_action>
attempt_run::on_record_of_other_attempt(std::int64_t version, const state::attempt_record& record) {
    if (record.request_digest != request_digest_) {
        stage_ = stage::over;
        return {answer(attempt_verdict::mismatch)};
    }
    switch (record.phase) {
    case state::attempt_phase::released:
        return {claim(version)};
    case state::attempt_phase::finished:
        stage_ = stage::over;
        return {answer(attempt_verdict::answered, record.answer)};
    case state::attempt_phase::started:
        break;
    }
    stage_ = stage::over;
    return {answer(attempt_verdict::in_progress)};
}

std::vector<attempt_action> attempt_run::on_service_answer(const state::stored_answer& stored) {
    if (stage_ != stage::dispatched)
        return {};
    // The caller does not wait for the record. If this write is lost, a repeat gets the
    // verdict `in_progress` in place of the stored answer.
    return {answer(attempt_verdict::answered, stored),
            write(state::attempt_phase::finished, stored)};
}

std::vector<attempt_action> attempt_run::on_service_failure(bool bytes_sent,
                                                            bool has_untried_server) {
    if (stage_ != stage::dispatched)
        return {};
    bytes_sent_ = bytes_sent_ || bytes_sent;
    bool may_dispatch = (!bytes_sent_ && has_untried_server) || service_honours_key_;
    if (may_dispatch && dispatches_ < internal::max_dispatches) {
        ++dispatches_;
        return {{attempt_step::dispatch, {}, 0, {}, {}}};
    }
    if (!bytes_sent_)
        return {answer(attempt_verdict::not_run), write(state::attempt_phase::released, {})};
    stage_ = stage::over; // the record stays `started`, so no attempt runs this key again
    return {answer(attempt_verdict::unknown)};
}

} // namespace azureyoke::coordination
