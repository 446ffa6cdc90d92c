#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "azureyoke/src/state/error.h"

namespace azureyoke::state {

/// \brief A JSON text with comments, and the line on which each value starts.
struct json_text {
    nlohmann::json root;
    std::map<std::string, int> line_of; ///< By JSON pointer.
};

/// \brief Parses JSON with comments.
/// \returns an error with its line when the text is not JSON or repeats a key.
result<json_text> parse_json_text(std::string_view text);

/// \brief Checked access to the fields of one JSON object.
///
/// Accessors record errors instead of throwing, so that one pass reports every error. After an
/// error, an accessor returns its fallback or an empty or lowest value. Not thread safe.
class field_reader {
public:
    field_reader(const json_text& text, const nlohmann::json& object, std::string path,
                 std::vector<error>& faults);

    std::string text(const std::string& field, const std::optional<std::string>& fallback = {});
    std::int64_t integer(const std::string& field, std::int64_t low, std::int64_t high,
                         std::optional<std::int64_t> fallback = {});
    /// \brief An integral or fractional number.
    double number(const std::string& field, double low, double high, double fallback);
    bool boolean(const std::string& field, bool fallback);
    std::vector<std::string> texts(const std::string& field);
    /// \returns a reader of the object `field`, or std::nullopt when the field is absent.
    std::optional<field_reader> object(const std::string& field);

    /// \brief Whether the object has `field`.
    bool has(const std::string& field) const {
        return object_.is_object() && object_.contains(field);
    }

    /// \returns one reader for each object of the array `field`.
    std::vector<field_reader> objects(const std::string& field, bool required);

    /// \brief Records an error at `field`.
    void add_error(const std::string& field, std::string rule);
    /// \brief Records an error for each field that no accessor has read.
    void reject_unknown_fields();

    /// \brief Makes `note_unknown_fields` of this reader, and of those that it returns from now on,
    /// record into `unknown`, which outlives them.
    void collect_unknown_fields(std::vector<error>& unknown) { unknown_ = &unknown; }

    /// \brief Records each field that no accessor has read where `collect_unknown_fields` said;
    /// without that call, does nothing.
    void note_unknown_fields();

private:
    const nlohmann::json* find(const std::string& field, bool required);
    error error_at(const std::string& field, std::string rule) const;
    template <class Add>
    void for_each_unknown_field(Add add) const;
    int line_at(const std::string& path) const;

    const json_text& text_;
    const nlohmann::json& object_;
    std::string path_;
    std::vector<error>& faults_;
    std::vector<error>* unknown_ = nullptr;
    std::vector<std::string> read_fields_;
};

} // namespace azureyoke::state
