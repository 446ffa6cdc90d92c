// Guards against answers given to the wrong request, successes without a stamp and unbounded
// retries when servers fail and callers disconnect at random.
#include "forward_fixture.h"

#include <algorithm>
#include <map>
#include <random>

#include <criterion/criterion.h>

using namespace azureyoke;
using state::execution_rule;

namespace {

const std::string head = "HTTP/1.1 200 OK\r\nid: ID\r\nstamp: s\r\n";

/// Valid answers, refusals, and answers that are broken off, malformed or absent.
const std::vector<scripted_server::answer>& answers() {
    static const std::vector<scripted_server::answer> list = {
        {head + "Content-Length: 4\r\n\r\nbody"},
        {head + "Content-Length: 4\r\n\r\nbody"},
        {head + "Content-Length: 4\r\n\r\nbody", true},
        {head + "Content-Length: 9\r\n\r\nbody", true},
        {head + "Transfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: abcdefg\n\n\r\n0\r\n\r\n"},
        {head + "Transfer-Encoding: chunked\r\n\r\n14\r\nid: 1\ndata: abcdefg\n\n\r\n", true},
        {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n", true},
        {head + "\r\nunframed", true},
        {"HTTP/1.1 503 S\r\nid: ID\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n"},
        {"HTTP/1.1 421 M\r\nContent-Length: 0\r\n\r\n"},
        {"HTTP/1.1 500 E\r\nid: ID\r\nstamp: s\r\nContent-Length: 1\r\n\r\nx"},
        {head + "Content-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nid: x\r\n\r\n"},
        {"HTTP/1.1 200 OK\r\nid: old\r\nstamp: s\r\nContent-Length: 1\r\n\r\ny" + head +
         "Content-Length: 4\r\n\r\nbody"},
        {"garbage\r\n\r\n"},
        {"", true},
        {""},
    };
    return list;
}

/// A caller that may disconnect before its answer.
class caller : public transport::backend_answer_sink, public std::enable_shared_from_this<caller> {
public:
    explicit caller(std::string id) : id_(std::move(id)) {}

    bool done() const { return done_; }

    void begin(forward_fixture& fixture, bool disconnects) {
        call_ = fixture.callers.send(fixture.at,
                                     {"POST", "/r/x", {{"id", id_}, {"deadline", "150"}}, "body"},
                                     {}, shared_from_this());
        if (disconnects)
            disconnect_timer_ = fixture.loop.after(std::chrono::milliseconds(5), [this] {
                call_.reset();
                finish();
            });
    }

    transport::answer_verdict on_head(const transport::http_head& received) override {
        bool success = received.status == 200;
        of_another_request = success && transport::find_field(received.fields, "id") != id_;
        success_without_stamp = success && !transport::find_field(received.fields, "stamp");
        not_run = received.status == 503 || received.status == 429;
        return transport::answer_verdict::accept;
    }

    void on_piece(std::string_view /*piece*/) override {}

    void on_end() override { finish(); }

    void on_failure(const transport::error& /*ec*/) override { finish(); }

    const std::string& id() const { return id_; }

    bool of_another_request = false;
    bool success_without_stamp = false;
    bool not_run = false;

private:
    void finish() { done_ = true; }

    std::string id_;
    bool done_ = false;
    std::unique_ptr<transport::backend_call> call_;
    std::unique_ptr<transport::timer> disconnect_timer_;
};

void run_random_requests(execution_rule rule, bool resumable, unsigned seed) {
    auto route = forward_fixture::route(rule, 2);
    route.resumable = resumable;
    forward_fixture it(route);
    std::mt19937 random(seed);
    for (auto* server : {&it.first, &it.second}) {
        for (int i = 0; i < 400; ++i)
            server->script.push_back(answers()[random() % answers().size()]);
    }
    std::vector<std::shared_ptr<caller>> all;
    for (int i = 0; i < 150; ++i) {
        all.push_back(std::make_shared<caller>("q" + std::to_string(i)));
        all.back()->begin(it, random() % 5 == 0);
        for (int turns = static_cast<int>(random() % 4); turns > 0; --turns)
            it.loop.run_once(false);
    }
    while (!std::all_of(all.begin(), all.end(), [](const auto& each) { return each->done(); }))
        it.loop.run_once(true);
    std::map<std::string, int> arrivals;
    for (auto* server : {&it.first, &it.second}) {
        for (const auto& request : server->requests)
            ++arrivals[*transport::find_field(request.fields, "id")];
    }
    for (const auto& each : all) {
        cr_assert_not(each->of_another_request, "seed %u: %s got the answer to another request",
                      seed, each->id().c_str());
        cr_assert_not(each->success_without_stamp, "seed %u: %s", seed, each->id().c_str());
    }
    // The two attempts that the route allows, and two more sends that did not run.
    for (const auto& [id, n] : arrivals)
        cr_assert_leq(n, 4, "seed %u: %s reached servers %d times", seed, id.c_str(), n);
}

} // namespace

Test(forward_stress, repeatable_requests_with_failing_servers_and_disconnecting_callers) {
    for (unsigned seed = 1; seed <= 5; ++seed)
        run_random_requests(execution_rule::repeatable, false, seed);
}

Test(forward_stress, run_once_requests_with_failing_servers_and_disconnecting_callers) {
    for (unsigned seed = 1; seed <= 5; ++seed)
        run_random_requests(execution_rule::once, false, seed);
}

Test(forward_stress, resumable_streams_with_failing_servers_and_disconnecting_callers) {
    for (unsigned seed = 1; seed <= 5; ++seed)
        run_random_requests(execution_rule::stream, true, seed);
}
