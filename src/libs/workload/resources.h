// Resources that a task needs or a worker has.
#ifndef THORNPLANK_WORKLOAD_RESOURCES_H_
#define THORNPLANK_WORKLOAD_RESOURCES_H_

#include <algorithm>
#include <cstdint>

namespace thornplank {

struct Resources {
  // Thousandths of a core.
  int64_t cpu_millis = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  bool FitsInto(const Resources& room) const {
    return cpu_millis <= room.cpu_millis && memory_mb <= room.memory_mb &&
           accelerators <= room.accelerators;
  }
  // Whether more of some resource is in use than there is.
  bool IsOverdrawn() const {
    return cpu_millis < 0 || memory_mb < 0 || accelerators < 0;
  }
  bool IsZero() const {
    return cpu_millis == 0 && memory_mb == 0 && accelerators == 0;
  }
  // How many times this fits into `room`, at least 0 and at most `limit`.
  int64_t TimesIn(const Resources& room, int64_t limit) const {
    int64_t times = limit;
    if (cpu_millis > 0) times = std::min(times, room.cpu_millis / cpu_millis);
    if (memory_mb > 0) times = std::min(times, room.memory_mb / memory_mb);
    if (accelerators > 0) {
      times = std::min(times, room.accelerators / accelerators);
    }
    return std::max<int64_t>(times, 0);
  }
  Resources& operator+=(const Resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
};

inline bool operator==(const Resources& a, const Resources& b) {
  return a.cpu_millis == b.cpu_millis && a.memory_mb == b.memory_mb &&
         a.accelerators == b.accelerators;
}
inline bool operator!=(const Resources& a, const Resources& b) {
  return !(a == b);
}

// The smaller amount of each resource.
inline Resources ElementwiseMin(const Resources& a, const Resources& b) {
  return {std::min(a.cpu_millis, b.cpu_millis),
          std::min(a.memory_mb, b.memory_mb),
          std::min(a.accelerators, b.accelerators)};
}
// The larger amount of each resource.
inline Resources ElementwiseMax(const Resources& a, const Resources& b) {
  return {std::max(a.cpu_millis, b.cpu_millis),
          std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators)};
}
// The share of each resource, rounded down.
inline Resources ShareOf(const Resources& all, double share) {
  const auto part = [share](int64_t amount) {
    return static_cast<int64_t>(static_cast<double>(amount) * share);
  };
  return {part(all.cpu_millis), part(all.memory_mb), part(all.accelerators)};
}
// An equal part of each resource; zero if there are no parts.
inline Resources DividedBy(const Resources& all, int64_t parts) {
  if (parts <= 0) return {};
  return {all.cpu_millis / parts, all.memory_mb / parts,
          all.accelerators / parts};
}
inline Resources operator*(const Resources& each, int64_t times) {
  return {each.cpu_millis * times, each.memory_mb * times,
          each.accelerators * times};
}
inline Resources operator+(Resources left, const Resources& right) {
  return left += right;
}
inline Resources operator-(Resources left, const Resources& right) {
  return left -= right;
}

}  // namespace thornplank

#endif  // THORNPLANK_WORKLOAD_RESOURCES_H_
