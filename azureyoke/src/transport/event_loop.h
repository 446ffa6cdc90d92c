#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

struct event_base;
struct event;

namespace azureyoke::transport {

/// \brief Monotonic time with the resolution of all deadlines, one microsecond.
using instant = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
using duration = std::chrono::microseconds;

/// \brief A scheduled callback, one-shot or periodic. Its destructor cancels the callback.
class timer {
public:
    timer(event_base* base, duration delay, duration period, std::function<void()> callback);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;
    timer(timer&&) = delete;
    timer& operator=(timer&&) = delete;

private:
    static void on_event(int fd, short events, void* self);

    std::function<void()> callback_;
    event* event_ = nullptr;
};

/// \brief The event loop of a process, based on libevent.
///
/// Not thread safe: all member functions must be called from the thread that runs the loop.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    event_base* base() const { return base_; }

    instant now() const;

    /// \brief Handles events until `stop` is called.
    void run();
    /// \brief Makes `run` return after the current callback.
    void stop();
    /// \brief Runs one iteration: handles the ready events, after waiting for one if `block`.
    void run_once(bool block);

    /// \brief Runs `callback` once, after `wait`.
    std::unique_ptr<timer> after(duration wait, std::function<void()> callback);
    /// \brief Runs `callback` periodically, first after one `period`.
    std::unique_ptr<timer> every(duration period, std::function<void()> callback);
    /// \brief Runs `callback` after the current callback has returned. `callback` is discarded if
    /// the loop is destroyed first.
    void defer(std::function<void()> callback);
    /// \brief Runs `callback` in the loop's thread whenever the process receives signal `number`.
    void on_signal(int number, std::function<void()> callback);

private:
    struct signal_watch;

    static void run_deferred(int fd, short events, void* self);

    event_base* base_;
    event* deferred_event_;
    std::vector<std::function<void()>> deferred_;
    std::vector<std::unique_ptr<signal_watch>> signals_;
};

} // namespace azureyoke::transport
