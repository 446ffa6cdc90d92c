#include "azureyoke/src/state/json_reader.h"

#include <algorithm>
#include <iterator>
#include <sstream>

namespace azureyoke::state {

namespace internal {
namespace {

/// Iterator that counts the lines consumed, because the SAX interface reports no positions.
class line_counting_iterator {
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    line_counting_iterator(const char* at, int* line) : at_(at), line_(line) {}

    reference operator*() const { return *at_; }

    line_counting_iterator& operator++() {
        if (line_ != nullptr && *at_ == '\n')
            ++*line_;
        ++at_;
        return *this;
    }

    friend bool operator==(const line_counting_iterator& a, const line_counting_iterator& b) {
        return a.at_ == b.at_;
    }

    friend bool operator!=(const line_counting_iterator& a, const line_counting_iterator& b) {
        return !(a == b);
    }

private:
    const char* at_;
    int* line_;
};

/// Records the line of every value and rejects repeated keys.
class line_recorder : public nlohmann::json_sax<nlohmann::json> {
public:
    explicit line_recorder(const int& line) : line_(line) {}

    bool null() override { return record_value(); }

    bool boolean(bool /*v*/) override { return record_value(); }

    bool number_integer(number_integer_t /*v*/) override { return record_value(); }

    bool number_unsigned(number_unsigned_t /*v*/) override { return record_value(); }

    bool number_float(number_float_t /*v*/, const string_t& /*s*/) override {
        return record_value();
    }

    bool string(string_t& /*v*/) override { return record_value(); }

    bool binary(binary_t& /*v*/) override { return record_value(); }

    bool start_object(std::size_t /*n*/) override { return open_container(false); }

    bool start_array(std::size_t /*n*/) override { return open_container(true); }

    bool end_object() override { return close_container(); }

    bool end_array() override { return close_container(); }

    bool key(string_t& name) override {
        levels_.back().name = name;
        if (line_of.contains(path())) {
            fault = error{errc::malformed_document, path(), line_, "a field may appear only once"};
            return false;
        }
        return true;
    }

    bool parse_error(std::size_t /*at*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& ec) override {
        std::string message = ec.what();
        auto colon = message.rfind(": ");
        fault = error{errc::malformed_document, path(), line_,
                      "the text must be JSON: " +
                          (colon == std::string::npos ? message : message.substr(colon + 2))};
        return false;
    }

    std::map<std::string, int> line_of;
    error fault;

private:
    struct level {
        bool array = false;
        std::size_t index = 0;
        std::string name;
    };

    std::string path() const {
        std::string text;
        for (const auto& it : levels_)
            text += "/" + (it.array ? std::to_string(it.index) : it.name);
        return text;
    }

    bool record_value() {
        line_of.emplace(path(), line_);
        advance_index();
        return true;
    }

    bool open_container(bool array) {
        // The path of each value is built, which takes a time quadratic in the depth.
        constexpr std::size_t max_depth = 64;
        if (levels_.size() >= max_depth) {
            fault = error{errc::malformed_document, path(), line_, "values are nested too deeply"};
            return false;
        }
        line_of.emplace(path(), line_);
        levels_.push_back({array, 0, {}});
        return true;
    }

    bool close_container() {
        levels_.pop_back();
        advance_index();
        return true;
    }

    void advance_index() {
        if (!levels_.empty() && levels_.back().array)
            ++levels_.back().index;
    }

    const int& line_;
    std::vector<level> levels_;
};

std::string format_number(double value) {
    std::ostringstream out;
    out << value;
    return out.str();
}

} // namespace
} // namespace internal

std::string to_string(const error& ec) {
    std::string place = ec.path.empty() ? "document" : ec.path;
    return "line " + std::to_string(ec.line) + ", " + place + ": " + ec.rule;
}

std::string to_string(const std::vector<error>& faults) {
    std::string text;
    for (const auto& it : faults)
        text += (text.empty() ? "" : "; ") + to_string(it);
    return text;
}

result<json_text> parse_json_text(std::string_view text) {
    int line = 1;
    internal::line_recorder recorder(line);
    internal::line_counting_iterator first(text.data(), &line);
    internal::line_counting_iterator last(text.data() + text.size(), nullptr);
    if (!nlohmann::json::sax_parse(first, last, &recorder, nlohmann::json::input_format_t::json,
                                   true, true))
        return tl::unexpected(recorder.fault);
    return json_text{nlohmann::json::parse(text, nullptr, true, true), std::move(recorder.line_of)};
}

field_reader::field_reader(const json_text& text, const nlohmann::json& object, std::string path,
                           std::vector<error>& faults)
    : text_(text), object_(object), path_(std::move(path)), faults_(faults) {
    if (!object_.is_object())
        faults_.push_back({errc::rule_broken, path_, line_at(path_), "must be an object"});
}

int field_reader::line_at(const std::string& path) const {
    auto it = text_.line_of.find(path);
    return it == text_.line_of.end() ? 0 : it->second;
}

const nlohmann::json* field_reader::find(const std::string& field, bool required) {
    read_fields_.push_back(field);
    if (!object_.is_object())
        return nullptr;
    auto it = object_.find(field);
    if (it != object_.end())
        return &*it;
    if (required)
        faults_.push_back({errc::rule_broken, path_ + "/" + field, line_at(path_),
                           "field \"" + field + "\" is required"});
    return nullptr;
}

error field_reader::error_at(const std::string& field, std::string rule) const {
    std::string path = path_ + "/" + field;
    int line = line_at(path);
    return {errc::rule_broken, path, line == 0 ? line_at(path_) : line, std::move(rule)};
}

void field_reader::add_error(const std::string& field, std::string rule) {
    faults_.push_back(error_at(field, std::move(rule)));
}

std::string field_reader::text(const std::string& field,
                               const std::optional<std::string>& fallback) {
    const auto* value = find(field, !fallback.has_value());
    if (value == nullptr)
        return fallback.value_or("");
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
        add_error(field, "must be a non-empty string");
        return fallback.value_or("");
    }
    return value->get<std::string>();
}

std::int64_t field_reader::integer(const std::string& field, std::int64_t low, std::int64_t high,
                                   std::optional<std::int64_t> fallback) {
    const auto* value = find(field, !fallback.has_value());
    if (value == nullptr)
        return fallback.value_or(low);
    bool in_range = value->is_number_integer() &&
                    value->get<double>() >= static_cast<double>(low) &&
                    value->get<double>() <= static_cast<double>(high);
    if (!in_range) {
        add_error(field, "must be a whole number from " + std::to_string(low) + " to " +
                             std::to_string(high));
        return fallback.value_or(low);
    }
    return value->get<std::int64_t>();
}

double field_reader::number(const std::string& field, double low, double high, double fallback) {
    const auto* value = find(field, false);
    if (value == nullptr)
        return fallback;
    bool in_range =
        value->is_number() && value->get<double>() >= low && value->get<double>() <= high;
    if (!in_range) {
        add_error(field, "must be a number from " + internal::format_number(low) + " to " +
                             internal::format_number(high));
        return fallback;
    }
    return value->get<double>();
}

bool field_reader::boolean(const std::string& field, bool fallback) {
    const auto* value = find(field, false);
    if (value == nullptr)
        return fallback;
    if (!value->is_boolean()) {
        add_error(field, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::vector<std::string> field_reader::texts(const std::string& field) {
    std::vector<std::string> list;
    const auto* value = find(field, false);
    if (value == nullptr)
        return list;
    bool strings = value->is_array() && std::all_of(value->begin(), value->end(),
                                                    [](const auto& it) { return it.is_string(); });
    if (!strings) {
        add_error(field, "must be an array of strings");
        return list;
    }
    return value->get<std::vector<std::string>>();
}

std::optional<field_reader> field_reader::object(const std::string& field) {
    const auto* value = find(field, false);
    if (value == nullptr)
        return std::nullopt;
    field_reader made(text_, *value, path_ + "/" + field, faults_);
    made.unknown_ = unknown_;
    return made;
}

std::vector<field_reader> field_reader::objects(const std::string& field, bool required) {
    std::vector<field_reader> list;
    const auto* value = find(field, required);
    if (value == nullptr)
        return list;
    if (!value->is_array()) {
        add_error(field, "must be an array of objects");
        return list;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        list.emplace_back(text_, (*value)[i], path_ + "/" + field + "/" + std::to_string(i),
                          faults_);
        list.back().unknown_ = unknown_;
    }
    return list;
}

template <class Add>
void field_reader::for_each_unknown_field(Add add) const {
    if (!object_.is_object())
        return;
    for (const auto& it : object_.items()) {
        if (std::find(read_fields_.begin(), read_fields_.end(), it.key()) == read_fields_.end())
            add(error_at(it.key(), "field \"" + it.key() + "\" is not known"));
    }
}

void field_reader::reject_unknown_fields() {
    for_each_unknown_field([&](error fault) { faults_.push_back(std::move(fault)); });
}

void field_reader::note_unknown_fields() {
    if (unknown_ != nullptr)
        for_each_unknown_field([&](error fault) { unknown_->push_back(std::move(fault)); });
}

} // namespace azureyoke::state
