#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace azureyoke::standin {

/// \brief A child process whose output goes to a file. The destructor kills the process.
class process {
public:
    /// \brief Starts `command` (program and arguments) with standard output and standard error
    /// redirected to the file `output`. It may open `max_descriptors` files and sockets, or as many
    /// as this process if that is 0.
    process(const std::vector<std::string>& command, std::string output, int max_descriptors = 0);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;

    pid_t pid() const { return pid_; }

    void signal(int number) const;
    /// \brief Waits until the process ends. \returns the exit code, or 128 + the signal number.
    int wait();
    /// \brief Like `wait` but does not block. \returns nothing while the process is running.
    std::optional<int> try_wait();
    /// \returns true while the process has not ended.
    bool running();
    /// \returns all output written so far.
    std::string output() const;
    /// \brief Waits until a complete line of the output contains `text`.
    /// \returns the line, or nothing after `timeout_ms`.
    std::optional<std::string> wait_for_line(const std::string& text, int timeout_ms) const;

private:
    pid_t pid_ = -1;
    std::string output_path_;
};

} // namespace azureyoke::standin
