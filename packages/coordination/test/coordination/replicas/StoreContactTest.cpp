#include "coordination/replicas/StoreContact.h"

#include "coordination/replicas/ContactAge.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace carawaypond;

namespace {

constexpr Milliseconds MinOutage{2'400};

TimePoint at(int Millis) { return TimePoint(Milliseconds(Millis)); }

ContactSpan span(int Since, int Until) {
  return {.Since = at(Since), .Until = at(Until)};
}

} // namespace

TEST_CASE("a silence of the store shorter than an outage continues the period "
          "of contact") {
  StoreContact Contact(MinOutage);
  CHECK(Contact.isOut(at(0)));
  Contact.add(span(0, 0));
  Contact.add(span(2'400, 2'400));
  CHECK(Contact.latest() == span(0, 2'400));
  CHECK_FALSE(Contact.isOut(at(4'800)));
  CHECK(Contact.isOut(at(4'801)));
}

TEST_CASE("another VM's contact shows that a VM's own silence was no outage") {
  StoreContact Contact(MinOutage);
  Contact.add(span(0, 2'500));
  Contact.add(span(11'600, 11'600));
  CHECK(Contact.latest()->Since == at(11'600));
  Contact.add(span(2'000, 11'500));
  CHECK(Contact.latest() == span(0, 11'600));
}

TEST_CASE("the periods of contact do not depend on the order of reports") {
  CHECK(rc::check([] {
    auto Starts =
        *rc::gen::container<std::vector<int>>(7, rc::gen::inRange(0, 30'000));
    std::vector<ContactSpan> Reports;
    Reports.reserve(Starts.size());
    for (int Each : Starts)
      Reports.push_back(span(Each, Each + *rc::gen::inRange(0, 4'000)));
    StoreContact First(MinOutage);
    for (const ContactSpan &Each : Reports)
      First.add(Each);
    std::vector<ContactSpan> Shuffled = Reports;
    std::shuffle(Shuffled.begin(), Shuffled.end(),
                 std::mt19937(*rc::gen::arbitrary<unsigned>()));
    StoreContact Second(MinOutage);
    for (const ContactSpan &Each : Shuffled) {
      Second.add(Each);
      Second.add(Each);
    }
    RC_ASSERT(First.latest() == Second.latest());
  }));
}

TEST_CASE("VMs that repeat each other's reports do not hide an outage") {
  constexpr int Transit = 300;
  StoreContact Left(MinOutage);
  StoreContact Right(MinOutage);
  Left.add(span(0, 0));
  for (int Now = 0; Now < 10'000; Now += 2 * Transit) {
    ContactAge ToRight = ContactAge::of(*Left.latest(), at(Now));
    Right.add(ToRight.spanAt(at(Now + Transit)));
    ContactAge ToLeft = ContactAge::of(*Right.latest(), at(Now + Transit));
    Left.add(ToLeft.spanAt(at(Now + 2 * Transit)));
  }
  CHECK(Left.isOut(at(10'000)));
  CHECK(Right.isOut(at(10'000)));
}
