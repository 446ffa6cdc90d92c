#include "standin/process.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace azureyoke::standin {

namespace internal {
namespace {

constexpr auto poll_period = std::chrono::milliseconds(5);

int exit_code_of(int status) {
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace
} // namespace internal

process::process(const std::vector<std::string>& command, std::string output, int max_descriptors)
    : output_path_(std::move(output)) {
    std::vector<char*> argv;
    argv.reserve(command.size() + 1);
    for (const auto& it : command)
        argv.push_back(const_cast<char*>(it.c_str()));
    argv.push_back(nullptr);
    int fd = open(output_path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // no child process outlives its parent
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        if (max_descriptors > 0) {
            rlimit limit{static_cast<rlim_t>(max_descriptors),
                         static_cast<rlim_t>(max_descriptors)};
            setrlimit(RLIMIT_NOFILE, &limit);
        }
        execv(argv[0], argv.data());
        _exit(127);
    }
    close(fd);
    if (pid_ < 0)
        throw std::runtime_error("process: fork failed");
}

process::~process() {
    if (pid_ <= 0)
        return;
    signal(SIGKILL);
    wait();
}

process::process(process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)), output_path_(std::move(other.output_path_)) {}

process& process::operator=(process&& other) noexcept {
    std::swap(pid_, other.pid_);
    std::swap(output_path_, other.output_path_);
    return *this;
}

void process::signal(int number) const {
    if (pid_ > 0)
        kill(pid_, number);
}

int process::wait() {
    int status = 0;
    while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
    }
    pid_ = -1;
    return internal::exit_code_of(status);
}

std::optional<int> process::try_wait() {
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == 0)
        return std::nullopt;
    pid_ = -1;
    return internal::exit_code_of(status);
}

bool process::running() {
    return pid_ > 0 && !try_wait();
}

std::string process::output() const {
    std::ifstream in(output_path_);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

std::optional<std::string> process::wait_for_line(const std::string& text, int timeout_ms) const {
    auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
    while (true) {
        std::istringstream lines(output());
        std::string line;
        while (std::getline(lines, line)) {
            if (line.find(text) != std::string::npos && !lines.eof())
                return line;
        }
        if (std::chrono::steady_clock::now() >= until)
            return std::nullopt;
        std::this_thread::sleep_for(internal::poll_period);
    }
}

} // namespace azureyoke::standin
