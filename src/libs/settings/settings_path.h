// Paths of nodes: "" is the root, "north/claims" a node at depth 2.
#ifndef THORNPLANK_SETTINGS_SETTINGS_PATH_H_
#define THORNPLANK_SETTINGS_SETTINGS_PATH_H_

#include <cstddef>
#include <string>
#include <vector>

namespace thornplank {

size_t PathDepth(const std::string& path);
// `path` must not be the root.
std::string ParentPath(const std::string& path);
std::string LastSegment(const std::string& path);
// The path and its ancestors, root first: "north/claims" gives "", "north" and
// "north/claims".
std::vector<std::string> PathsFromRoot(const std::string& path);
// The rule that the path of a node breaks, as "found X, allowed Y"; "" if it is
// valid.
std::string PathProblem(const std::string& path);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_PATH_H_
