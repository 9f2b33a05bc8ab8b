// Entries of the directory that name no worker to use.
//
// A worker writes its entry anew every second or two. One that cannot be read
// is told when its fault shows first and when it changes; the times in between
// are counted.
#ifndef THORNPLANK_COORDINATION_REFUSED_ENTRIES_H_
#define THORNPLANK_COORDINATION_REFUSED_ENTRIES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/error.h"

namespace thornplank {

class RefusedEntries {
 public:
  // True when the fault was told.
  bool LogIfNew(const std::string& key, const Error& fault);
  // The entry can be read, or is gone.
  void Forget(const std::string& key) { entries_.erase(key); }
  // The directory was read anew and lists just these.
  void RetainOnly(const std::set<std::string>& keys);

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    // As it was told.
    std::string reason;
    int64_t suppressed_repeats = 0;
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_REFUSED_ENTRIES_H_
