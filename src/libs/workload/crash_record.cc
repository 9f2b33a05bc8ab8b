// Bounds on the workers that a task may take down.
#include "workload/crash_record.h"

namespace thornplank {
namespace {

// Workers that crash as they start the task: the task, not chance. Tasks may be
// given up from two crashes on (published).
constexpr int kMostCrashesAtStart = 2;
// Of any kind. Not more than five starts are allowed, two after the third crash
// (published); one is left for a crash that a change of leader has hidden.
constexpr size_t kMostWorkersLost = 4;
constexpr std::chrono::seconds kProvenWork{5};

}  // namespace

void CrashRecord::OnLost(const LostRun& run, bool long_running) {
  if (long_running && run.borne >= kProvenWork) {
    *this = CrashRecord();
    return;
  }
  workers.push_back(run.worker);
  const bool at_once = run.crashed && run.began && run.borne < kStartPhase;
  at_start = at_once ? at_start + 1 : 0;
}

bool CrashRecord::IsToBlame() const {
  return at_start >= kMostCrashesAtStart || workers.size() >= kMostWorkersLost;
}

std::string CrashRecord::ToText() const {
  std::string text =
      std::to_string(workers.size()) + " workers were lost under it:";
  for (const std::string& worker : workers) {
    text += " " + worker;
  }
  return text;
}

}  // namespace thornplank
