#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace azureyoke::app {

/// \brief The measured times, each labelled by workspace, backend server, pool or document.
enum class measure { first_token, between_tokens, queue, time_to_force };

/// \brief Counters and histograms of times in seconds, rendered as Prometheus text.
///
/// Not thread safe.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    /// \brief Records a time in the series whose label `label` has the value `label_value`.
    void observe(measure metric, const std::string& label, const std::string& label_value,
                 double seconds);
    void count(const std::string& counter, const std::string& label,
               const std::string& label_value);

    /// \brief Adds a series whose value is read when the page is rendered.
    void gauge(const std::string& name, const std::string& label, const std::string& label_value,
               std::function<double()> value);

    std::string render() const;

private:
    struct series;
    std::unique_ptr<series> series_;
};

} // namespace azureyoke::app
