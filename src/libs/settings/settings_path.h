// Paths of nodes: "" is the root, "north/claims" a node at depth 2.
#ifndef THORNPLANK_SETTINGS_SETTINGS_PATH_H_
#define THORNPLANK_SETTINGS_SETTINGS_PATH_H_

#include <cstddef>
#include <string>
#include <vector>

namespace thornplank {

size_t PathDepth(const std::string& path);
// Of a path that is not the root.
std::string ParentPath(const std::string& path);
std::string LastSegment(const std::string& path);
// "north/claims" -> "", "north", "north/claims".
std::vector<std::string> PathFromRoot(const std::string& path);
// What is wrong with the path of a node, or "": "found X, allowed Y".
std::string PathProblem(const std::string& path);

}  // namespace thornplank

#endif  // THORNPLANK_SETTINGS_SETTINGS_PATH_H_
