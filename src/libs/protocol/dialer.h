// When to dial each address of the mesh again.
#ifndef THORNPLANK_PROTOCOL_DIALER_H_
#define THORNPLANK_PROTOCOL_DIALER_H_

#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace thornplank {

// Backoff with jitter for each address. It decides only: the times come from
// the caller, the randomness from the seed.
class Dialer {
 public:
  Dialer(Milliseconds initial_delay, Milliseconds max_delay,
         const std::string& seed);

  // Addresses that are left out are not dialled again, but a connection that
  // is up stays up: the list may lag or lie.
  void SetAddresses(const std::vector<std::string>& addresses);
  // The addresses to dial now; each counts as being dialled from here on.
  // Addresses that led to one of `linked_names` are left alone.
  std::vector<std::string> TakeDue(const std::set<std::string>& linked_names,
                                   Time now);
  // The name that answers at `address`.
  void HandleAnswer(const std::string& address, const std::string& name);
  void HandleEstablished(const std::string& address);
  // The connection to `address` failed or ended.
  void HandleClosed(const std::string& address, Time now);
  // A link to `name` that the other end had opened has ended.
  void HandleLost(const std::string& name, Time now);

 private:
  struct Target {
    // Empty until the address has answered once.
    std::string name;
    // False once the address left the list while it was still in use.
    bool wanted = true;
    // From TakeDue until HandleClosed, so also while the link is up.
    bool dialing = false;
    // Doubles after each failure, up to max_delay_.
    Milliseconds delay{0};
    Time next_attempt;
  };

  // Between half and all of `delay`.
  Duration Jittered(Milliseconds delay);

  const Milliseconds initial_delay_;
  const Milliseconds max_delay_;
  std::mt19937_64 random_;
  std::unordered_map<std::string, Target> targets_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_DIALER_H_
