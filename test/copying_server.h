#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "azureyoke/src/app/forward_rules.h"
#include "azureyoke/src/transport/http_reader.h"
#include "azureyoke/src/transport/tcp_stream.h"

namespace azureyoke {

/// \brief What a `copying_server` does with one request.
struct copy_plan {
    int refusal = 0;        ///< Status; 0: the request runs.
    bool late_copy = false; ///< The answer is written once more before the next one.

    friend bool operator==(const copy_plan&, const copy_plan&) = default;
};

/// \brief A backend server, or an instance that helps another one, that runs or refuses each
/// request, truthfully. A request that comes again on the connection that carried the answer to it
/// gets a copy of that answer first. Not thread safe.
class copying_server {
public:
    enum class role { backend, helper };

    /// \brief `next` is called for each request.
    copying_server(transport::event_loop& loop, std::string name, role its_role,
                   std::function<copy_plan()> next)
        : loop_(loop), name_(std::move(name)), role_(its_role), next_(std::move(next)),
          listener_(loop, [this](int fd) {
              connections_.push_back(std::make_unique<connection>(*this, fd));
          }) {
        at_ = *listener_.listen({"127.0.0.1", 0});
    }

    const transport::address& at() const { return at_; }

    const std::string& name() const { return name_; }

    /// \brief Another server takes the address. Its connections stay open, which is worse than
    /// what a process that ends leaves behind.
    void rename(std::string name) { name_ = std::move(name); }

    std::size_t connections() const { return connections_.size(); }

    std::vector<std::string> runs; ///< Ids of the requests that ran.
    int copies = 0;                ///< Answers that were written before a request of the same id.

private:
    struct connection : transport::tcp_stream_sink, transport::http_reader_sink {
        connection(copying_server& server, int fd)
            : owner(server), reader(transport::http_reader_kind::requests, 64 * 1024, *this),
              stream(server.loop_, fd, *this) {}

        void on_bytes(std::string_view bytes) override {
            while (!bytes.empty() && reader.failure().empty())
                bytes.remove_prefix(reader.feed(bytes));
        }

        void on_end(bool /*reset*/) override {}

        void on_head(transport::http_head head) override { request = std::move(head); }

        void on_body(std::string_view /*piece*/) override {}

        void on_complete() override {
            auto id = transport::find_field(request.fields, "id").value_or("");
            auto bytes = std::exchange(late_copy, {});
            if (auto earlier = answers.find(id); earlier != answers.end()) {
                ++owner.copies;
                bytes += earlier->second;
            }
            auto chosen = owner.next_();
            bool expected = owner.role_ == role::helper ||
                            transport::find_field(request.fields, "server") == owner.name_;
            auto answer = owner.answer(id, expected ? chosen.refusal : 421);
            answers[id] = answer;
            if (chosen.late_copy)
                late_copy = answer;
            stream.write(bytes + answer);
        }

        copying_server& owner;
        transport::http_reader reader;
        transport::tcp_stream stream;
        transport::http_head request;
        std::map<std::string, std::string> answers; ///< By the request's id.
        std::string late_copy;                      ///< Written before the next answer.
    };

    std::string answer(const std::string& id, int refusal) {
        if (refusal == 0) {
            runs.push_back(id);
            return "HTTP/1.1 200 OK\r\nid: " + id +
                   "\r\nstamp: s\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
        }
        auto field = role_ == role::helper ? std::string(app::refused_help_field) : "not-run";
        return "HTTP/1.1 " + std::to_string(refusal) + " S\r\nid: " + id + "\r\n" + field +
               ": 1\r\nContent-Length: 0\r\n\r\n";
    }

    transport::event_loop& loop_;
    std::string name_;
    role role_;
    std::function<copy_plan()> next_;
    transport::tcp_listener listener_;
    transport::address at_;
    std::vector<std::unique_ptr<connection>> connections_;
};

} // namespace azureyoke
