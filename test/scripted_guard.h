#pragma once

#include <string>
#include <utility>
#include <vector>

#include "azureyoke/src/app/part_guard.h"

namespace azureyoke {

/// \brief Assesses all prompts as a test decides, and keeps what it is told.
class scripted_guard : public app::part_guard {
public:
    coordination::part_assessment assess(const std::vector<std::string>& /*parts*/) const override {
        return assessment;
    }

    void acquire_trial(const std::string& part, trial_handler done) override {
        asked.push_back(part);
        if (answers_trials)
            done(grants_trials, wait);
        else
            unanswered.push_back(std::move(done));
    }

    void on_answer(const std::vector<std::string>& parts,
                   coordination::answer_progress reached) override {
        answered.push_back(parts);
        progress.push_back(reached);
    }

    void on_lost(const app::lost_request& request, crash_handler on_crash) override {
        lost.push_back(request);
        if (confirms_crashes)
            on_crash();
    }

    coordination::part_assessment assessment;
    bool grants_trials = false;
    bool answers_trials = true;
    std::vector<trial_handler> unanswered;
    bool confirms_crashes = true;
    coordination::duration wait = std::chrono::seconds(2);
    std::vector<std::string> asked;
    std::vector<std::vector<std::string>> answered;
    std::vector<coordination::answer_progress> progress; ///< Of each in `answered`.
    std::vector<app::lost_request> lost;
};

} // namespace azureyoke
