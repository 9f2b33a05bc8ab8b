// Keeps track of the records in the directory of workers that can't be read.
//
// A worker rewrites its record every second or two. One that can't be read is
// logged when its fault is first seen and when the fault changes; repetitions
// in between are only counted.
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
  // Logs the fault unless it is the last one logged for this key. Returns
  // whether it was logged.
  bool LogIfNew(const std::string& key, const Error& fault);
  // The record can be read again, or was removed.
  void Forget(const std::string& key) { entries_.erase(key); }
  // Forgets all other keys; `keys` are those of a new snapshot of the
  // directory.
  void RetainOnly(const std::set<std::string>& keys);

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    // As last logged.
    std::string reason;
    int64_t suppressed_repeats = 0;
  };

  std::map<std::string, Entry> entries_;
};

}  // namespace thornplank

#endif  // THORNPLANK_COORDINATION_REFUSED_ENTRIES_H_
