#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/coordination/event_relay.h"
#include "azureyoke/src/transport/front_server.h"

namespace azureyoke::app {

/// \brief Forwards one request unchanged and passes its answer on unchanged.
///
/// A request is sent again only while it can't have run twice: when the server said that it did
/// not run, when no byte left, or when its route allows repeats. A stream that may be resumed goes
/// on at another server after its last whole event. Not thread safe.
class forward_session : public std::enable_shared_from_this<forward_session>,
                        public transport::backend_answer_sink {
public:
    forward_session(forward_services& services,
                    std::shared_ptr<transport::front_exchange> exchange);

    void start();

private:
    /// What to do with the answer under way, decided by its head.
    enum class answer_use {
        pass,  ///< Send it on as it comes.
        hold,  ///< Collect it and send it on whole.
        reject ///< The request did not run: another server may.
    };

    transport::answer_verdict on_head(const transport::http_head& head) override;
    void on_piece(std::string_view piece) override;
    void on_end() override;
    void on_failure(const transport::error& ec) override;

    bool admit();
    bool find_workspace();
    bool within_limit();
    void dispatch();
    bool place();
    void refuse_unplaced();
    void send();
    forward_directive directive() const;
    /// Address of the store that keeps caches; empty when there is none.
    std::string kept_cache() const;
    /// Where the chosen server may fetch cached parts that it lacks.
    std::string cache_source() const;
    /// What the answer's head says of its server, whatever becomes of the answer.
    void learn_from(const answer_note& note);
    void start_answer(const transport::http_head& head);
    void note_first_answer();
    void pass_on(std::string_view bytes);
    void pass_events(std::string_view piece);
    void hold(std::string_view piece);
    /// The held answer says what the server has not: that the request did not run.
    bool unproven_refusal() const;
    /// The answer is larger than what is held: it is passed on as it comes from now on.
    void stop_holding();
    void reply_held();
    void on_not_run();
    void try_again(const std::string& why);
    bool may_send_again() const;
    /// Waits for the next event of a stream; a server that sends none for long has failed.
    void watch_events();
    void on_time_over();
    void on_caller_gone();
    void settle(coordination::call_end how);
    /// A guess of when to come back, kept within the time that callers wait for a return.
    double soon(double seconds) const;
    /// Answers in place of a server, or cuts an answer that has begun.
    void refuse(int status, const std::string& why, std::optional<double> retry_after_s = {});
    void finish(event_id how, const std::string& detail);
    /// Remembers what happened, for `azureyoke explain`.
    void note(std::string what);

    double ms_left() const;

    forward_services& services_;
    std::shared_ptr<transport::front_exchange> exchange_;
    caller_intent intent_;
    std::shared_ptr<const state::traffic_policy> policy_;
    const state::forward_route* route_ = nullptr;
    const state::forward_workspace* workspace_ = nullptr;
    std::string pool_;
    double cost_ = 0; ///< Taken from the workspace's limit.
    transport::instant deadline_;
    std::unique_ptr<transport::timer> time_over_;
    std::unique_ptr<transport::timer> answer_timer_; ///< Of the answer under way.
    transport::instant last_event_at_; ///< Of the stream under way, or when it was asked for.
    std::size_t rejection_bytes_ = 0;
    coordination::placement_question question_;
    std::optional<coordination::fleet_choice> choice_; ///< Of the call under way.
    std::unique_ptr<transport::backend_call> call_;
    transport::instant sent_at_;
    answer_use use_ = answer_use::pass;
    transport::http_response held_;
    coordination::event_relay relay_;
    std::string last_server_;
    std::int64_t last_born_ms_ = 0;    ///< Of its registration at the last send.
    std::int64_t last_new_tokens_ = 0; ///< Of the last send, as is the estimate.
    double last_estimate_ms_ = 0;
    double first_answer_ms_ = 0;
    int sends_ = 0;
    int runs_ = 0; ///< Sends that may have run.
    bool first_answer_seen_ = false;
    bool answer_failed_ = false; ///< The answer under way is a failure of the server's own.
    bool may_have_run_ = false;
    bool ended_ = false;
    std::vector<history_step> steps_;
};

} // namespace azureyoke::app
