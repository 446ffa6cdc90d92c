#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azureyoke::state {

/// \brief How far an attempt to run a request has come.
enum class attempt_phase {
    started,  ///< The owning attempt may have sent the request.
    released, ///< The owning attempt has not sent the request and never will.
    finished  ///< The backend server answered.
};

/// \brief A backend server's answer, stored for repeats of the request.
struct stored_answer {
    int status = 0;
    std::string content_type;
    std::string body;

    friend bool operator==(const stored_answer&, const stored_answer&) = default;
};

/// \brief The table's record of one idempotency key of one workspace and route.
struct attempt_record {
    std::string attempt;        ///< Id of the attempt that owns the record.
    std::string request_digest; ///< Distinguishes a repeat from another request with the same key.
    attempt_phase phase = attempt_phase::started;
    stored_answer answer; ///< Set in phase `finished` only.

    friend bool operator==(const attempt_record&, const attempt_record&) = default;
};

/// \brief Serialises a record to the JSON text that the table stores. Thread safe.
std::string to_text(const attempt_record& record);
/// \returns std::nullopt when the text is not a valid record.
std::optional<attempt_record> parse_attempt_record(std::string_view text);

/// \brief Name of the table row of an idempotency key.
///
/// The name is a digest, so that it contains no characters chosen by a caller.
std::string attempt_row(std::string_view workspace, std::string_view route, std::string_view key);

} // namespace azureyoke::state
