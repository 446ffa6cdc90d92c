#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/coordination/write_result.h"
#include "azureyoke/src/state/attempt_record.h"

namespace azureyoke::coordination {

/// \brief The next step that the driver of an attempt must carry out.
enum class attempt_step {
    write_record, ///< Write `record` if the row has `expected_version`.
    read_record,
    dispatch, ///< Send the request to a server of the service.
    answer,   ///< Answer the caller with `verdict`.
};

/// \brief The outcome of the caller's request.
enum class attempt_verdict {
    answered,           ///< `stored` is the service's answer to this or an earlier attempt.
    in_progress,        ///< Another attempt owns the key and has not finished.
    mismatch,           ///< The key was used for a different request.
    record_unavailable, ///< Not run; an earlier attempt may have run.
    not_run,            ///< No byte reached a service.
    unknown             ///< The service may have run the request.
};

struct attempt_action {
    attempt_step step = attempt_step::answer;
    state::attempt_record record;
    std::int64_t expected_version = 0;
    attempt_verdict verdict = attempt_verdict::unknown;
    state::stored_answer stored;

    friend bool operator==(const attempt_action&, const attempt_action&) = default;
};

/// \brief State machine that takes one non-idempotent request through record, dispatch and answer.
///
/// The record is inserted before the first byte may be sent, and is owned by one attempt. Once
/// bytes may have been sent, the request is not sent again unless the service honours the key
/// itself. Only the owner of the record gives the verdict `not_run`, since only the owner can be
/// certain that no attempt under the key has sent anything. Without the record this is unknown,
/// since the caller may have repeated the request elsewhere. Pure: the driver carries out each
/// action and reports its result. Not thread safe.
class attempt_run {
public:
    /// \brief `attempt` must be unique over all instances and time.
    attempt_run(std::string attempt, std::string request_digest, bool service_honours_key);

    attempt_action start();
    std::vector<attempt_action> on_write(write_result result, std::int64_t version);
    /// \brief `record` is empty when the row is absent (`version` 0) or can't be parsed.
    std::vector<attempt_action> on_read(bool answered, std::int64_t version,
                                        const std::optional<state::attempt_record>& record);
    std::vector<attempt_action> on_service_answer(const state::stored_answer& answer);
    /// \brief The dispatch failed. `bytes_sent` tells whether bytes may have reached a server,
    /// `has_untried_server` whether an untried server is left.
    std::vector<attempt_action> on_service_failure(bool bytes_sent, bool has_untried_server);

    bool answered() const { return answered_; }

    /// \returns whether the caller has been answered and no write is in progress.
    bool done() const { return answered_ && stage_ == stage::over; }

private:
    enum class stage { claiming, dispatched, storing, over };

    attempt_action claim(std::int64_t expected_version);
    attempt_action write(state::attempt_phase phase, const state::stored_answer& answer);
    attempt_action answer(attempt_verdict verdict, const state::stored_answer& stored = {});
    std::vector<attempt_action> abandon_claim();
    std::vector<attempt_action> on_record_of_other_attempt(std::int64_t version,
                                                           const state::attempt_record& record);

    std::string attempt_;
    std::string request_digest_;
    bool service_honours_key_;
    stage stage_ = stage::claiming;
    int record_tries_ = 0;
    int dispatches_ = 0;
    bool bytes_sent_ = false; ///< Bytes may have reached a server.
    bool answered_ = false;
    std::int64_t version_ = 0;
    state::attempt_record last_write_;
};

} // namespace azureyoke::coordination
