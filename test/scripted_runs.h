#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "azureyoke/src/app/run_watcher.h"
#include "azureyoke/src/transport/event_loop.h"

namespace azureyoke {

/// \brief Tells at once, or when the test calls a handler in `held`, that a run has ended.
class scripted_runs : public app::run_watcher {
public:
    explicit scripted_runs(transport::event_loop& loop) : loop_(loop) {}

    std::unique_ptr<watch> await_end(const app::abandoned_run& run,
                                     std::function<void()> done) override {
        awaited.push_back(run);
        auto result = std::make_unique<scripted_watch>();
        auto handler = [alive = std::weak_ptr(result->alive), done = std::move(done)] {
            if (!alive.expired())
                done();
        };
        if (holds_runs)
            held.emplace_back(handler);
        else
            loop_.defer(handler);
        return result;
    }

    bool holds_runs = false;
    std::vector<app::abandoned_run> awaited;
    std::vector<std::function<void()>> held;

private:
    struct scripted_watch : watch {
        std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    };

    transport::event_loop& loop_;
};

} // namespace azureyoke
