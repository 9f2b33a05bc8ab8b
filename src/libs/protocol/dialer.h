// Decides when to dial the addresses of peers.
#ifndef THORNPLANK_PROTOCOL_DIALER_H_
#define THORNPLANK_PROTOCOL_DIALER_H_

#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace thornplank {

// Exponential backoff with jitter for each address. No I/O: the current time is
// passed in by the caller, and the jitter depends on the seed. Not thread-safe.
class Dialer {
 public:
  Dialer(Milliseconds initial_delay, Milliseconds max_delay,
         const std::string& seed);

  // Addresses that are not listed are no longer dialled. Their existing
  // connections are kept, since the list may be out of date or wrong.
  void SetAddresses(const std::vector<std::string>& addresses);
  // The addresses to dial now, which count as being dialled from then on.
  // Addresses of peers in `linked_names` are left out.
  std::vector<std::string> TakeDue(const std::set<std::string>& linked_names,
                                   Time now);
  // Stores the name of the peer that answered at `address`.
  void SetPeerName(const std::string& address, const std::string& name);
  // The link to `address` is established: its next delay is the initial one.
  void HandleEstablished(const std::string& address);
  // The connection to `address` failed or ended.
  void HandleClosed(const std::string& address, Time now);
  // The link to `name` has ended. Addresses of this peer that are not in use
  // are dialled again after the initial delay; this is the case if the other
  // end had opened the link.
  void HandleLinkLost(const std::string& name, Time now);

 private:
  struct Target {
    // Name of the peer; empty until the address has answered once.
    std::string name;
    // False once the address was removed from the list while in use.
    bool wanted = true;
    // From TakeDue until HandleClosed, so also while the link is up.
    bool dialing_or_linked = false;
    // Doubles after each failure, up to max_delay_.
    Milliseconds delay{0};
    Time next_attempt;
  };

  // A random time between half of `delay` and `delay`.
  Duration Jittered(Milliseconds delay);

  const Milliseconds initial_delay_;
  const Milliseconds max_delay_;
  std::mt19937_64 random_;
  std::unordered_map<std::string, Target> targets_;
};

}  // namespace thornplank

#endif  // THORNPLANK_PROTOCOL_DIALER_H_
