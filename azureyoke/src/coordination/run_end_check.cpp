#include "azureyoke/src/coordination/run_end_check.h"

namespace azureyoke::coordination {

bool run_end_check::on_report(run_report report, instant asked) {
    if (report != run_report::unreachable)
        failed_connects_ = 0;
    switch (report) {
    case run_report::listed:
    case run_report::unanswered:
        return false;
    case run_report::not_listed:
        // An older report may be one from before the run began.
        return asked - began_ >= max_report_age;
    case run_report::replaced:
        return true;
    case run_report::unreachable:
        return ++failed_connects_ >= max_failed_connects;
    }
    return false;
}

} // namespace azureyoke::coordination
