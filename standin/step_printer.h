#pragma once

#include <iostream>
#include <string>

namespace azureyoke::standin {

/// \brief Prints the steps of a demonstration and records whether any step failed.
class step_printer {
public:
    void print(const std::string& text) { std::cout << text << std::endl; }

    void expect(bool holds, const std::string& text) {
        std::cout << (holds ? "ok    " : "FAIL  ") << text << std::endl;
        failed_ = failed_ || !holds;
    }

    bool failed() const { return failed_; }

private:
    bool failed_ = false;
};

} // namespace azureyoke::standin
