#include "coordination/latency/DecayingHistogram.h"
#include "coordination/latency/ReplicaScores.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace carawaypond;

namespace {

const TimePoint Start{std::chrono::hours(1)};

} // namespace

TEST_CASE("a quantile is within a bucket's width of the exact one") {
  CHECK(rc::check([] {
    auto Micros = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(100, 1'000'000)));
    DecayingHistogram Histogram;
    for (int Each : Micros)
      Histogram.record(Microseconds(Each), Start);
    std::sort(Micros.begin(), Micros.end());
    auto Rank = static_cast<std::size_t>(
        std::ceil(static_cast<double>(Micros.size()) * 0.9));
    double Exact = Micros[Rank - 1];
    double Found = std::chrono::duration<double, std::micro>(
                       *Histogram.quantile(0.9, Start))
                       .count();
    RC_ASSERT(Found >= Exact * 0.999);
    RC_ASSERT(Found <= Exact * 1.2);
  }));
}

TEST_CASE("old samples count less than new ones, and expire") {
  DecayingHistogram Histogram(std::chrono::seconds(1));
  for (int I = 0; I < 100; ++I)
    Histogram.record(Milliseconds(500), Start);
  TimePoint Later = Start + std::chrono::seconds(8);
  for (int I = 0; I < 20; ++I)
    Histogram.record(Milliseconds(2), Later);
  CHECK(*Histogram.quantile(0.9, Later) < Milliseconds(4));
  CHECK(!Histogram.quantile(0.9, Later + std::chrono::seconds(60)));
}

TEST_CASE("a server that refuses ranks behind one that answers, whatever its "
          "health endpoint says") {
  ReplicaScores Scores;
  ServerName Good("s-1");
  ServerName Bad("s-2");
  Scores.noteHealth(Good, false, 1.0, Start);
  Scores.noteHealth(Bad, true, 0.0, Start);
  CHECK(Scores.expected(Bad, Start) < Scores.expected(Good, Start));
  Scores.noteLatency(Good, Milliseconds(6), Start);
  Scores.noteRefusal(Bad, Start);
  CHECK(Scores.expected(Good, Start) < Scores.expected(Bad, Start));
}

TEST_CASE("the penalty of a refusal decays with time") {
  ReplicaScores Scores;
  ServerName Server("s-1");
  Scores.noteLatency(Server, Milliseconds(6), Start);
  Scores.noteRefusal(Server, Start);
  Duration Before = Scores.expected(Server, Start);
  CHECK(Scores.expected(Server, Start + std::chrono::seconds(5)) < Before);
}
