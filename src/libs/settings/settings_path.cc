// Splitting and validation of paths.
#include "settings/settings_path.h"

#include <algorithm>

#include "settings/settings_reader.h"

namespace thornplank {
namespace {

constexpr size_t kMaxDepth = 8;
// First segments of the paths of documents, which no node may use.
constexpr const char* kReservedNames[] = {"events", "drains"};

}  // namespace

size_t PathDepth(const std::string& path) {
  if (path.empty()) return 0;
  return 1 + std::count(path.begin(), path.end(), '/');
}

std::string ParentPath(const std::string& path) {
  const size_t slash = path.rfind('/');
  return slash == std::string::npos ? "" : path.substr(0, slash);
}

std::string LastSegment(const std::string& path) {
  const size_t slash = path.rfind('/');
  return slash == std::string::npos ? path : path.substr(slash + 1);
}

std::vector<std::string> PathsFromRoot(const std::string& path) {
  std::vector<std::string> paths = {""};
  if (path.empty()) return paths;
  size_t slash = path.find('/');
  while (slash != std::string::npos) {
    paths.push_back(path.substr(0, slash));
    slash = path.find('/', slash + 1);
  }
  paths.push_back(path);
  return paths;
}

std::string PathProblem(const std::string& path) {
  if (path.empty()) return "";
  if (PathDepth(path) > kMaxDepth) {
    return "found depth " + std::to_string(PathDepth(path)) +
           ", allowed at most " + std::to_string(kMaxDepth);
  }
  const TextRule rule = NameText();
  for (const std::string& prefix : PathsFromRoot(path)) {
    if (prefix.empty()) continue;
    const std::string segment = LastSegment(prefix);
    if (rule.accepts(segment)) continue;
    return "found the name \"" + segment + "\", allowed " + rule.allowed;
  }
  const std::string first = path.substr(0, path.find('/'));
  for (const char* reserved : kReservedNames) {
    if (first != reserved) continue;
    return "found the reserved name " + first + ", allowed another name";
  }
  return "";
}

}  // namespace thornplank
