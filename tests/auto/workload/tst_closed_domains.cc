// Closing and opening failure domains.
#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "workload/closed_domains.h"

namespace thornplank {
namespace {

TEST_CASE("the last change of a domain wins") {
  struct Row {
    const char* name;
    std::function<void(ClosedDomains*)> changes;
    std::set<std::string> closed;
  };
  const std::vector<Row> rows = {
      {"none", [](ClosedDomains*) {}, {}},
      {"two domains",
       [](ClosedDomains* d) {
         d->Apply("a", true, 1);
         d->Apply("b", true, 2);
       },
       {"a", "b"}},
      {"closed, then opened",
       [](ClosedDomains* d) {
         d->Apply("a", true, 1);
         d->Apply("a", false, 2);
       },
       {}},
      {"closed again",
       [](ClosedDomains* d) {
         d->Apply("a", true, 1);
         d->Apply("a", false, 2);
         d->Apply("a", true, 3);
       },
       {"a"}},
      {"a read that is older changes nothing",
       [](ClosedDomains* d) {
         d->Apply("a", true, 3);
         d->Apply("a", false, 2);
       },
       {"a"}},
      {"opened without being closed",
       [](ClosedDomains* d) { d->Apply("a", false, 1); },
       {}},
      {"a later snapshot without it",
       [](ClosedDomains* d) {
         d->Apply("a", true, 1);
         d->OnSnapshot({}, 5);
       },
       {}},
      {"a later snapshot with it",
       [](ClosedDomains* d) {
         d->Apply("a", true, 1);
         d->Apply("b", true, 2);
         d->OnSnapshot({"a"}, 5);
       },
       {"a"}},
      {"a snapshot up to before it was closed",
       [](ClosedDomains* d) {
         d->Apply("a", true, 5);
         d->OnSnapshot({}, 5);
       },
       {"a"}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ClosedDomains domains;
    row.changes(&domains);
    CHECK(domains.closed() == row.closed);
    CHECK(domains.IsClosed("a") == (row.closed.count("a") > 0));
  }
}

TEST_CASE("only changes are returned") {
  ClosedDomains domains;
  CHECK(domains.Apply("a", true, 1));
  CHECK_FALSE(domains.Apply("a", true, 2));
  CHECK(domains.Apply("a", false, 3));
  CHECK_FALSE(domains.Apply("a", false, 4));
  domains.Apply("a", true, 5);
  CHECK(domains.OnSnapshot({}, 9) == std::set<std::string>{"a"});
  CHECK(domains.OnSnapshot({}, 9).empty());
}

}  // namespace
}  // namespace thornplank
