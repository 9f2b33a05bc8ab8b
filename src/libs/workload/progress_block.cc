// Compact rows for the common states of a task.
#include "workload/progress_block.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "base/json.h"

namespace thornplank {
namespace {

constexpr char kBlockMark = '#';

// Two lists of the same length: the ids, which is all that older entries read,
// and of each loss whether it is a proved crash, the start time of the
// incarnation, whether the run had begun, whether the incarnation is known to
// be over, the number of the run, the address of the worker, and whether it is
// gone.
void AppendLosses(const std::vector<WorkerLoss>& losses, Json* row) {
  Json workers = Json::array();
  Json details = Json::array();
  for (const WorkerLoss& loss : losses) {
    workers.push_back(loss.worker);
    Json start;
    if (loss.incarnation_start) {
      start = ToUnixMilliseconds(*loss.incarnation_start);
    }
    details.push_back(
        Json::array({loss.crashed, std::move(start), loss.began, loss.ended,
                     loss.run, loss.address, loss.gone}));
  }
  row->push_back(std::move(workers));
  row->push_back(std::move(details));
}

// Throws if the row has another form. Older entries did not tell crashes from
// silence: what they wrote proves none.
std::vector<WorkerLoss> LossesFromRow(const Json& row) {
  std::vector<WorkerLoss> losses;
  for (const Json& worker : row.at(6)) {
    losses.push_back({worker.get<std::string>()});
  }
  if (row.size() <= 7) return losses;
  for (size_t i = 0; i < losses.size(); ++i) {
    const Json& detail = row.at(7).at(i);
    losses[i].crashed = detail.at(0).get<bool>();
    losses[i].began = detail.at(2).get<bool>();
    losses[i].ended = detail.size() > 3 && detail.at(3).get<bool>();
    if (detail.size() > 4) losses[i].run = detail.at(4).get<int>();
    if (detail.size() > 5) losses[i].address = detail.at(5).get<std::string>();
    losses[i].gone = detail.size() > 6 && detail.at(6).get<bool>();
    if (detail.at(1).is_null()) continue;
    losses[i].incarnation_start =
        FromUnixMilliseconds(detail.at(1).get<int64_t>());
  }
  return losses;
}

// A task that never began takes one byte. A task that is done needs only its
// run number: no later run follows, so nothing else of it is read again.
Json ToRow(const TaskStatus& task) {
  if (task.run == 0) return 0;
  const bool plain = task.phase == TaskPhase::kDone && task.failures == 0;
  if (plain) return task.run;
  Json row = Json::array({static_cast<int>(task.phase), task.run, task.failures,
                          task.worker, task.checkpoint});
  if (!task.crashes.empty() || task.crashes.unclear_starts > 0) {
    row.push_back(task.crashes.start_crashes);
    AppendLosses(task.crashes.losses, &row);
    row.push_back(task.crashes.unclear_starts);
    row.push_back(task.survived_run);
  }
  return row;
}

// Throws if the row has another form. Older entries wrote no crash records.
TaskStatus FromRow(const Json& row) {
  TaskStatus task;
  if (row.is_array()) {
    task.phase = static_cast<TaskPhase>(row.at(0).get<int>());
    task.run = row.at(1).get<int>();
    task.failures = row.at(2).get<int>();
    task.worker = row.at(3).get<std::string>();
    task.checkpoint = row.at(4).get<std::string>();
    if (row.size() > 5) {
      task.crashes.start_crashes = row.at(5).get<int>();
      task.crashes.losses = LossesFromRow(row);
      if (row.size() > 8) task.crashes.unclear_starts = row.at(8).get<int>();
      if (row.size() > 9) task.survived_run = row.at(9).get<int>();
    }
    return task;
  }
  task.run = row.get<int>();
  if (task.run > 0) task.phase = TaskPhase::kDone;
  return task;
}

}  // namespace

std::string ProgressBlockRef::ToString() const {
  const std::string text = step.ToString();
  return block == 0 ? text : text + kBlockMark + std::to_string(block);
}

std::optional<ProgressBlockRef> ParseProgressBlockRef(std::string_view text) {
  const size_t mark = text.rfind(kBlockMark);
  int block = 0;
  if (mark != std::string_view::npos) {
    const std::string_view digits = text.substr(mark + 1);
    const char* const end = digits.data() + digits.size();
    const auto [read, code] = std::from_chars(digits.data(), end, block);
    if (code != std::errc() || read != end || block <= 0) return std::nullopt;
    text = text.substr(0, mark);
  }
  std::optional<StepRef> step = ParseStepRef(text);
  if (!step) return std::nullopt;
  return ProgressBlockRef{std::move(*step), block};
}

int BlockOfTask(const StepSpec& spec, int index) {
  return spec.gang ? 0 : index / kTasksPerBlock;
}

int BlockCount(const StepSpec& spec) {
  if (spec.count == 0) return 0;
  return BlockOfTask(spec, spec.count - 1) + 1;
}

TaskRange TasksOfBlock(const StepSpec& spec, int block) {
  if (spec.gang) return {0, spec.count};
  const int first = block * kTasksPerBlock;
  return {first, std::min(kTasksPerBlock, spec.count - first)};
}

std::string EncodeBlock(const ProgressBlock& block) {
  Json rows = Json::array();
  for (const TaskStatus& task : block.tasks) {
    rows.push_back(ToRow(task));
  }
  const Json record = Json::array(
      {block.gang_failures, block.last_failed_run, std::move(rows)});
  std::string bytes;
  Json::to_cbor(record, bytes);
  return bytes;
}

std::optional<ProgressBlock> DecodeBlock(std::string_view bytes, Error* error) {
  const Json record = ParseCbor(bytes).value_or(Json());
  ProgressBlock block;
  // The JSON library throws on wrong types; no exception leaves this function.
  try {
    block.gang_failures = record.at(0).get<int>();
    block.last_failed_run = record.at(1).get<int>();
    for (const Json& row : record.at(2)) {
      block.tasks.push_back(FromRow(row));
    }
  } catch (const Json::exception& fault) {
    SetError(error, "decode progress", "store", fault.what());
    return std::nullopt;
  }
  return block;
}

}  // namespace thornplank
