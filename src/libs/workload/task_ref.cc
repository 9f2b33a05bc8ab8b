// Text forms of references to steps and tasks.
#include "workload/task_ref.h"

#include <charconv>

namespace thornplank {
namespace {

// Removes the number after the last '.' from `text` and returns it.
std::optional<int> TakeLastNumber(std::string_view* text) {
  const size_t dot = text->rfind('.');
  if (dot == std::string_view::npos) return std::nullopt;
  const std::string_view digits = text->substr(dot + 1);
  int value = 0;
  const auto [end, code] =
      std::from_chars(digits.data(), digits.data() + digits.size(), value);
  const bool whole = end == digits.data() + digits.size();
  if (code != std::errc() || !whole || value < 0) return std::nullopt;
  *text = text->substr(0, dot);
  return value;
}

}  // namespace

std::string StepRef::ToString() const {
  return job + "." + std::to_string(occurrence) + "." + std::to_string(step);
}

std::string TaskRef::ToString() const {
  return step.ToString() + "." + std::to_string(index);
}

std::optional<StepRef> ParseStepRef(std::string_view text) {
  const std::optional<int> step = TakeLastNumber(&text);
  if (!step) return std::nullopt;
  const std::optional<int> occurrence = TakeLastNumber(&text);
  if (!occurrence || text.empty()) return std::nullopt;
  return StepRef{std::string(text), *occurrence, *step};
}

std::optional<TaskRef> ParseTaskRef(std::string_view text) {
  const std::optional<int> index = TakeLastNumber(&text);
  if (!index) return std::nullopt;
  const std::optional<StepRef> step = ParseStepRef(text);
  if (!step) return std::nullopt;
  return TaskRef{*step, *index};
}

}  // namespace thornplank
