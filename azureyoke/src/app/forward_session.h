#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "azureyoke/src/app/forward_state.h"
#include "azureyoke/src/coordination/event_relay.h"
#include "azureyoke/src/transport/front_server.h"

namespace azureyoke::app {

/// \brief Where a request comes from.
enum class request_origin {
    caller,
    instance ///< One that reaches no server has charged the limit, and hands the request on.
};

/// \brief Forwards one request to a backend server and returns the answer. The bodies are not
/// changed; the dialect translates the header fields.
///
/// A request is retried only if it has not run, because the server reported so or no byte was sent,
/// or if the route allows repeats. A resumable stream continues at another server after its last
/// complete event. Not thread safe.
class forward_session : public std::enable_shared_from_this<forward_session>,
                        public transport::backend_answer_sink {
public:
    forward_session(forward_services& services, std::shared_ptr<transport::front_exchange> exchange,
                    request_origin origin = request_origin::caller);

    void start();

private:
    /// How the current answer is handled, decided by its head.
    enum class answer_mode {
        pass_through, ///< Written to the caller as it arrives.
        buffer,       ///< Collected and written to the caller when complete.
        reject        ///< The request did not run: it may be sent to another server.
    };

    void on_request_written() override { exchange_->release_copy(); }

    transport::answer_verdict on_head(const transport::http_head& head) override;
    void on_piece(std::string_view piece) override;
    void on_end() override;
    void on_failure(const transport::error& ec) override;

    class helped_answer;

    void on_instance_ending();
    bool admit();
    /// Whether neither new connections to servers nor those that are open work.
    bool cut_off() const;
    bool may_hand_on() const;
    /// Whether a request of another instance may be served here. Otherwise it was refused.
    bool may_help();
    /// Hands the request on to an instance that may reach servers. \returns whether there is one.
    bool hand_on();
    void end_help();
    void on_help_complete(const std::string& helper);
    /// The helper did not run the request: looks for another one.
    void on_help_refused(const std::string& helper, const std::string& why);
    void on_help_lost(const std::string& helper, const transport::error& ec);
    bool authenticate();
    bool charge_rate_limit();
    /// Whether the caller takes up a stream that broke off.
    bool takes_up_stream() const;
    /// Whether the caller has events of the stream, from this answer or an earlier one.
    bool continues_stream() const;
    /// Finds out on which software version the stream that is taken up began.
    void find_stream();
    void on_stream_found(const stream_registry::answer& found);
    void dispatch();
    /// Whether there is memory for the copy of the body that a server gets. Otherwise the request
    /// was refused.
    bool hold_copy();
    bool choose_server();
    /// The policy in force decides who may share, also for a request that waited while it changed.
    void update_cache_salt();
    void refuse_no_server();
    /// \returns the rank of the request; 0 is the most urgent.
    int rank() const;
    /// \returns the tokens of prompt and completion, as far as the caller told; at least 1.
    std::int64_t request_tokens() const;
    /// Whether overload control admits the request to the chosen server. Otherwise it was refused.
    bool pass_admission();
    /// \returns requests over slots at the server; 0 if unknown.
    double load_at(const std::string& id) const;
    /// \returns the best server without the chosen one, if it would answer in the caller's time.
    std::optional<coordination::server_choice> choose_other_server();
    /// \brief Replaces the choice by the server with the least estimate, under overload control.
    /// \returns whether that one answers within `limit_ms`. Otherwise the choice stays.
    bool choose_quickest_server(double limit_ms);
    /// Tells overload control how long the caller waited for the start of the answer, or how long
    /// it has waited without one.
    void note_first_answer();
    /// Tells overload control that the current server did not run the request.
    void note_not_run();
    /// Tells overload control how many requests the current server has.
    void note_server_load(int requests);
    /// Time after which a caller should come again after a refusal by servers.
    double return_after_refusal_s() const;
    /// \returns whether the parts of the prompt allow to send the request now. Otherwise it was
    /// refused, or waits for leave to be a trial.
    bool pass_part_guard();
    void on_trial_decided(const std::string& part, bool granted, coordination::duration wait);
    void refuse_suspected(const std::string& part, coordination::duration wait);
    /// \returns how far the current answer has got.
    coordination::answer_progress progress() const;
    void report_progress(coordination::answer_progress reached);
    /// The answer has come to its end, or may have if it ends with its connection.
    void report_complete();
    /// The connection has ended: the server may have crashed.
    void check_for_crash(bool may_be_complete);
    /// Asks for a permit to send to the chosen server, which limits its rate.
    void request_permit();
    void on_permit(const coordination::server_choice& choice, bool granted);
    void send_request();
    /// Whether the connection was a new one and has ended before any answer.
    bool ended_without_answer(const transport::error& ec) const;
    /// Looks for another server than the chosen one, to which nothing was sent.
    void pass_over_choice(const std::string& why);
    /// The stream of the request `stream` may go on at servers of this software version only.
    void bind_stream(const std::string& stream, const std::string& software);
    /// Whether the server still has the software version that the stream is bound to. It may have
    /// changed while the request waited for a permit.
    bool may_continue_at(const state::fleet_server& server) const;
    /// Whether the server has not started again with another software version since the current
    /// request was sent, as far as known. If it has, the answer may come from either version.
    bool software_is_certain() const;
    /// Gives up the current answer, whose software version is uncertain, and tries other servers.
    void drop_answer();
    void log_resumption(const std::string& software) const;
    forward_directive make_directive() const;
    /// Address of the cache store; empty when no pool has one.
    std::string cache_store_address() const;
    /// Address from which the chosen server may fetch cached prompt parts that it lacks.
    std::string cache_source_address() const;
    /// Whether a refusal may be that of an earlier request on the same connection.
    bool is_doubtful_refusal(const transport::http_head& head, const answer_info& report) const;
    /// Applies the server state that the answer's head reports, however the answer is handled.
    void update_server_state(const answer_info& report);
    /// \returns the fields of a server's answer that go to the caller, or to the instance that
    /// handed the request on.
    transport::http_fields answer_fields(const transport::http_head& head) const;
    void start_answer(const transport::http_head& head);
    void record_first_answer();
    void write_to_caller(std::string_view bytes);
    void forward_events(std::string_view piece);
    void buffer_piece(std::string_view piece);
    /// Whether the buffered status tells callers that the request did not run, although the server
    /// did not report that.
    bool is_unconfirmed_refusal() const;
    /// Switches from buffering to passing through, because the answer exceeds the buffer.
    void stop_buffering();
    /// Records the bytes that this session holds. \returns whether it may hold them.
    bool account_bytes();
    void resume_reading();
    bool ended_within_event() const;
    void reply_buffered();
    void on_not_run();
    void retry_or_refuse(const std::string& why);
    void retry_now_or_refuse(const std::string& why);
    /// The ids of the prompt's parts but the last, separated by commas.
    std::string shared_parts_text() const;
    /// Whether the request may be sent again, if the pool's budget allows it.
    bool may_retry() const;
    /// Takes a retry from the pool's budget if the request may be sent again.
    bool try_acquire_retry() const;
    /// Waits until the last server has stopped working on the request, and then retries.
    void await_run_end(const std::string& why);
    /// Fails the call if the stream has sent no event for too long; otherwise checks again later.
    void check_event_gap();
    void on_deadline();
    void on_caller_closed();
    void end_call(coordination::call_outcome outcome);
    /// Callers return within a third of their remaining time, or not at all.
    double max_return_s() const;
    /// Limits an estimated retry-after time to a third of the caller's remaining time.
    double bounded_retry_after(double seconds) const;
    /// Replies with an error of this instance, or aborts an answer that has started. A status that
    /// means "not run" becomes 502 when the request may have run.
    void refuse(int status, const std::string& why, std::optional<double> retry_after_s = {});
    void finish(event_id event, const std::string& detail);
    /// Adds a step to the trace that `azureyoke explain` shows.
    void add_step(std::string what);

    double remaining_ms() const;

    forward_services& services_;
    std::shared_ptr<transport::front_exchange> exchange_;
    request_origin origin_;
    std::string helper_; ///< The instance that has the request now, if any.
    int help_refusals_ = 0;
    bool helps_ = false; ///< Counts in `forward_services::helped`.
    request_info request_info_;
    std::shared_ptr<const state::traffic_policy> policy_;
    const state::forward_route* route_ = nullptr;
    const state::forward_workspace* workspace_ = nullptr;
    std::string pool_;
    double charged_ = 0; ///< Taken from the workspace's limit.
    transport::instant deadline_;
    std::unique_ptr<transport::timer> deadline_timer_;
    std::unique_ptr<transport::timer> answer_timer_; ///< Event gap or rejection timeout.
    /// Time of the last event of the current stream; initially the send time.
    transport::instant last_event_at_;
    std::size_t rejection_bytes_ = 0;
    coordination::placement_query query_;
    std::optional<coordination::server_choice> choice_; ///< Set during a call.
    std::unique_ptr<transport::backend_call> call_;
    transport::instant sent_at_;
    answer_mode answer_mode_ = answer_mode::pass_through;
    transport::http_response buffered_;
    coordination::event_relay relay_;
    transport::byte_account held_bytes_;
    std::string last_server_;
    std::string last_address_;    ///< Of `last_server_` when the request was sent.
    std::string last_software_;   ///< Software version of the last server used.
    std::string stream_software_; ///< Software version that the stream began on; empty: unknown.
    std::string bound_stream_;    ///< Id of the request that got the stream's first event.
    std::int64_t last_started_ms_ = 0;      ///< Start of the run of the last server used.
    std::int64_t last_uncached_tokens_ = 0; ///< Uncached prompt tokens of the last send.
    double last_estimate_ms_ = 0;           ///< Estimated first answer time of `last_server_`.
    double first_answer_ms_ = 0;
    std::vector<std::string> guarded_parts_; ///< The prompt's parts but the last, and the request.
    std::string trial_part_;                 ///< The part that this request is the trial of.
    int lost_sends_ = 0;                     ///< Sends that ended before their answer began.
    int crashes_ = 0;                        ///< Crashes of servers that held this request.
    bool believed_room_ = true;          ///< The current server was thought to have a free slot.
    std::uint64_t software_attempt_ = 0; ///< Number of the current attempt for rollouts.
    int denied_permits_ = 0;
    int sends_ = 0;
    int possible_runs_ = 0;             ///< Sends that may have run.
    bool versions_were_current_ = true; ///< When the request was sent.
    bool head_seen_ = false;            ///< A server has begun to answer the current call.
    bool first_answer_seen_ = false;
    transport::instant first_answer_at_;              ///< When the current answer began.
    coordination::answer_progress reported_progress_; ///< Of the current answer.
    bool ends_with_connection_ = false; ///< The current answer has neither a length nor chunks.
    bool success_ = false;              ///< The current answer has a status 2xx.
    bool server_error_ = false;         ///< The current answer has status 500 or above.
    bool may_have_run_ = false;
    bool run_began_ = false;       ///< Events of the last call came, or may have been made.
    bool run_left_behind_ = false; ///< This instance ended the last call; its run may go on.
    std::unique_ptr<run_watcher::watch> run_watch_; ///< Of the last call's run.
    bool software_unknown_ = false; ///< The stream began, and may not go on at any server.
    bool finished_ = false;
    std::vector<history_step> steps_;
};

} // namespace azureyoke::app
