#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "azureyoke/src/coordination/write_result.h"
#include "standin/virtual_time.h"

namespace azureyoke::standin {

/// \brief The platform's table in virtual time, with latency, outages and lost answers. A write may
/// take effect although its answer is lost.
class fake_table {
public:
    struct row {
        std::int64_t version = 0;
        std::string value;
    };

    fake_table(virtual_time& time, std::uint64_t seed) : time_(time), random_(seed) {}

    void set_outage(bool outage) { outage_ = outage; }

    void set_latency(coordination::duration latency) { latency_ = latency; }

    void set_lost_answers(double probability) { lost_answer_probability_ = probability; }

    /// \brief Reads a row. `done` receives `answered` = false in an outage or when the
    /// answer is lost.
    void read(const std::string& name, std::function<void(bool answered, row)> done) {
        ++reads_;
        time_.after(one_way_delay(), [this, name, done = std::move(done)] {
            bool answered = !outage_ && !draw_chance(lost_answer_probability_);
            auto it = rows_.find(name);
            row found = it == rows_.end() ? row{} : it->second;
            time_.after(one_way_delay(), [=] { done(answered, found); });
        });
    }

    /// \brief Writes a row if its version is `expected`. `done` receives the result and the row's
    /// new version, or 0 when nothing was written.
    void write(const std::string& name, std::int64_t expected, const std::string& value,
               std::function<void(coordination::write_result, std::int64_t version)> done) {
        ++writes_;
        time_.after(one_way_delay(), [this, name, expected, value, done = std::move(done)] {
            auto version = INT64_C(0);
            auto result = apply(name, expected, value, version);
            time_.after(one_way_delay(), [=] { done(result, version); });
        });
    }

    const std::map<std::string, row>& rows() const { return rows_; }

    std::uint64_t reads() const { return reads_; }

    std::uint64_t writes() const { return writes_; }

private:
    coordination::write_result apply(const std::string& name, std::int64_t expected,
                                     const std::string& value, std::int64_t& version) {
        using coordination::write_result;
        if (outage_)
            return draw_chance(0.5) ? write_result::not_written : write_result::unknown;
        auto& it = rows_[name];
        bool lost = draw_chance(lost_answer_probability_);
        if (it.version != expected)
            return lost ? write_result::unknown : write_result::conflict;
        it = {next_version_++, value};
        version = it.version;
        return lost ? write_result::unknown : write_result::written;
    }

    bool draw_chance(double probability) {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

    coordination::duration one_way_delay() {
        auto spread = std::uniform_real_distribution<>(0.5, 1.5)(random_);
        return coordination::from_seconds(coordination::to_seconds(latency_) * spread / 2);
    }

    virtual_time& time_;
    std::mt19937_64 random_;
    std::map<std::string, row> rows_;
    std::int64_t next_version_ = 1;
    bool outage_ = false;
    coordination::duration latency_ = std::chrono::milliseconds(4);
    double lost_answer_probability_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

} // namespace azureyoke::standin
