#include "azureyoke/src/app/metrics.h"

#include <cmath>
#include <sstream>

#include <boost/histogram.hpp>

namespace azureyoke::app {

namespace internal {
namespace {

// Ten histogram bins for each factor of ten between 0.1 ms and 100 s.
constexpr double lowest_seconds = 1e-4;
constexpr double highest_seconds = 100;
constexpr unsigned bins = 60;

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

auto make_histogram() {
    return boost::histogram::make_histogram(log_axis(bins, lowest_seconds, highest_seconds));
}

using histogram = decltype(make_histogram());

struct duration_series {
    histogram bins = make_histogram();
    double sum = 0;
    std::uint64_t count = 0;
};

struct series_key {
    std::string name;
    std::string label;
    std::string label_value;

    friend auto operator<=>(const series_key&, const series_key&) = default;
};

const char* name_of(measure metric) {
    switch (metric) {
    case measure::first_token:
        return "azureyoke_first_token_seconds";
    case measure::between_tokens:
        return "azureyoke_between_tokens_seconds";
    case measure::queue:
        return "azureyoke_queue_seconds";
    case measure::time_to_force:
        return "azureyoke_configuration_time_to_force_seconds";
    }
    return "azureyoke_unknown_seconds";
}

std::string escape_label_value(const std::string& text) {
    std::string out;
    for (char c : text) {
        if (c == '"' || c == '\\')
            out.push_back('\\');
        out += c == '\n' ? ' ' : c;
    }
    return out;
}

std::string format_label(const series_key& key) {
    return key.label + "=\"" + escape_label_value(key.label_value) + "\"";
}

void render_histogram(std::ostream& out, const series_key& key, const duration_series& it) {
    double cumulative_count = 0;
    cumulative_count += it.bins.at(-1);
    for (unsigned i = 0; i < bins; ++i) {
        cumulative_count += it.bins.at(static_cast<int>(i));
        out << key.name << "_bucket{" << format_label(key) << ",le=\""
            << it.bins.axis(0).bin(static_cast<int>(i)).upper() << "\"} " << cumulative_count
            << "\n";
    }
    out << key.name << "_bucket{" << format_label(key) << ",le=\"+Inf\"} " << it.count << "\n";
    out << key.name << "_sum{" << format_label(key) << "} " << it.sum << "\n";
    out << key.name << "_count{" << format_label(key) << "} " << it.count << "\n";
}

} // namespace
} // namespace internal

struct metrics::series {
    std::map<internal::series_key, internal::duration_series> times;
    std::map<internal::series_key, std::uint64_t> counts;
    std::map<internal::series_key, std::function<double()>> gauges;
};

metrics::metrics() : series_(std::make_unique<series>()) {}

metrics::~metrics() = default;

void metrics::observe(measure metric, const std::string& label, const std::string& label_value,
                      double seconds) {
    auto& it = series_->times[{internal::name_of(metric), label, label_value}];
    it.bins(std::max(seconds, 0.0));
    it.sum += seconds;
    ++it.count;
}

void metrics::count(const std::string& counter, const std::string& label,
                    const std::string& label_value) {
    ++series_->counts[{counter, label, label_value}];
}

void metrics::gauge(const std::string& name, const std::string& label,
                    const std::string& label_value, std::function<double()> value) {
    series_->gauges[{name, label, label_value}] = std::move(value);
}

std::string metrics::render() const {
    std::ostringstream out;
    std::string last_name;
    auto write_type_line = [&](const std::string& name, const char* type) {
        if (name != last_name)
            out << "# TYPE " << name << " " << type << "\n";
        last_name = name;
    };
    for (const auto& [key, it] : series_->times) {
        write_type_line(key.name, "histogram");
        internal::render_histogram(out, key, it);
    }
    for (const auto& [key, n] : series_->counts) {
        write_type_line(key.name, "counter");
        out << key.name << "{" << internal::format_label(key) << "} " << n << "\n";
    }
    for (const auto& [key, value] : series_->gauges) {
        write_type_line(key.name, "gauge");
        out << key.name << "{" << internal::format_label(key) << "} " << std::llround(value())
            << "\n";
    }
    return out.str();
}

} // namespace azureyoke::app
