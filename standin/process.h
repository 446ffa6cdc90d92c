#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace azureyoke::standin {

/// \brief A child process with its output in a file; killed when the object goes.
class process {
public:
    /// \brief Starts `words` with standard output and error going to `output`.
    process(const std::vector<std::string>& command, std::string output);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;

    pid_t pid() const { return pid_; }

    void signal(int number) const;
    /// \brief Waits for the end. \returns the exit code, or 128 and the signal's number.
    int wait();
    /// \brief As `wait`, but \returns nothing while the process has not ended.
    std::optional<int> try_wait();
    /// \brief True while the process has not ended.
    bool running();
    /// \brief All output so far.
    std::string output() const;
    /// \brief Waits until a line of the output contains `text`. \returns the line.
    std::optional<std::string> wait_for_line(const std::string& text, int timeout_ms) const;

private:
    pid_t pid_ = -1;
    std::string output_path_;
};

} // namespace azureyoke::standin
