// Tests of the engine with a front and an upstream client that only record the calls they receive.
#include "core/engine.h"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace {

using namespace alderspur;

// A front and an upstream client that record the calls they receive.
struct Recorder : core::UpstreamClient, core::Front {
  void send(core::AttemptId attempt, ServerId) override { sent.push_back(attempt); }
  bool abort(core::AttemptId attempt) override {
    aborted.push_back(attempt);
    return false;
  }
  void send_health_check(ServerId) override {}
  void respond(core::RequestHandle, const core::Response& response) override {
    final_statuses.push_back(response.status);
  }
  std::vector<core::AttemptId> sent;
  std::vector<core::AttemptId> aborted;
  std::vector<core::FinalStatus> final_statuses;
};

class EngineTest : public ::testing::Test {
 protected:
  EngineTest() {
    ClassSettings class_settings;
    class_settings.latency_objective = 250'000;
    settings.classes = {class_settings};
    settings.max_attempts = 3;
    settings.can_cancel_attempts = true;
    settings.has_fills = true;
    settings.can_join_fills = true;
    engine.emplace(settings, 1, deadlines, [this] { return time; });
    engine->attach(recorder);
    EndpointUpdate update;
    update.is_complete = true;
    update.servers = {{{1}, Role::cache, {0}, {0}, ServerStatus::ready, 1, 0},
                      {{9}, Role::origin, {0}, {0}, ServerStatus::ready, 1, 0}};
    engine->update_endpoints(update);
    engine->run();
  }
  core::RequestHandle admit_request() {
    core::RequestView request;
    request.id = "a";
    request.object = 5;
    request.group = 3;
    request.time_limit = 2'000'000;
    return engine->admit(recorder, request);
  }
  core::Time time = 1'000'000'000;
  Settings settings;
  core::Deadlines deadlines;
  Recorder recorder;
  std::optional<core::Engine> engine;
};

TEST_F(EngineTest, SendsNothingWhenClientCancelsInTheSameTurn) {
  const auto request = admit_request();
  engine->cancel_request(request);
  engine->run();
  EXPECT_TRUE(recorder.final_statuses.empty());
  EXPECT_TRUE(recorder.sent.empty()) << "an attempt was sent for a cancelled request";
  EXPECT_EQ(engine->open_request_count(), 0u);
}

TEST_F(EngineTest, RespondsOnceWhenResponseAndTimeoutOccurInTheSameTurn) {
  admit_request();
  engine->run();
  ASSERT_EQ(recorder.sent.size(), 1u);
  engine->mark_written(recorder.sent[0]);
  time += 3'000'000;
  engine->on_upstream_response(recorder.sent[0], {AttemptResult::ok, false, "x", {}, 0, {}});
  deadlines.run_due(time);
  engine->run();
  EXPECT_EQ(recorder.final_statuses.size(), 1u);
  engine->on_upstream_response(recorder.sent[0], {AttemptResult::ok, false, "x", {}, 0, {}});
  engine->run();
  EXPECT_EQ(recorder.final_statuses.size(), 1u);
}

// Guards against a next attempt that reaches a cache before the abort of the previous attempt has
// arrived, be it another cache or the same one over another connection.
TEST_F(EngineTest, DelaysNextAttemptUntilAbortHasArrived) {
  for (const auto result : {AttemptResult::cancelled, AttemptResult::reset}) {
    recorder.sent.clear();
    const auto request = admit_request();
    engine->run();
    ASSERT_EQ(recorder.sent.size(), 1u);
    engine->mark_written(recorder.sent[0]);
    time += 540'000;
    engine->on_upstream_response(recorder.sent[0], {result, false, {}, {}, 0, {}});
    engine->run();
    time += 49'000;
    deadlines.run_due(time);
    engine->run();
    EXPECT_EQ(recorder.sent.size(), 1u)
        << "the next attempt was sent before the abort can have arrived";
    time += 1'000;
    deadlines.run_due(time);
    engine->run();
    ASSERT_EQ(recorder.sent.size(), 2u);
    engine->on_upstream_response(recorder.sent[1],
                                 {AttemptResult::connect_failed, false, {}, {}, 0, {}});
    engine->run();
    EXPECT_EQ(recorder.sent.size(), 3u)
        << "an attempt that was never written must not delay the next one";
    engine->mark_written(recorder.sent[2]);
    engine->cancel_request(request);
    engine->run();
    engine->on_upstream_response(recorder.sent[2], {result, false, {}, {}, 0, {}});
    time += 50'000;
    deadlines.run_due(time);
    engine->run();
    EXPECT_EQ(engine->open_request_count(), 0u);
  }
}

// The client cancels its request or closes its side of the connection, either in the turn in which
// the attempt fails or during the 50 ms before the next attempt may be sent.
TEST_F(EngineTest, StartsNoFurtherAttemptWhenClientHasDisconnected) {
  for (const bool has_half_closed : {false, true}) {
    for (const bool in_same_turn : {true, false}) {
      recorder.sent.clear();
      const auto request = admit_request();
      engine->run();
      ASSERT_EQ(recorder.sent.size(), 1u);
      engine->mark_written(recorder.sent[0]);
      const auto result = in_same_turn ? AttemptResult::overloaded : AttemptResult::reset;
      engine->on_upstream_response(recorder.sent[0], {result, false, {}, {}, 0, {}});
      if (has_half_closed) {
        engine->stop_retrying(request);
        time += in_same_turn ? 50'000 : 0;
      } else {
        engine->cancel_request(request);
      }
      engine->run();
      time += 50'000;
      deadlines.run_due(time);
      engine->run();
      EXPECT_EQ(recorder.sent.size(), 1u) << has_half_closed << in_same_turn;
      EXPECT_EQ(engine->open_request_count(), 0u);
      EXPECT_FALSE(engine->is_open("a"));
    }
  }
  EXPECT_EQ(recorder.final_statuses.size(), 2u)
      << "a client that has only closed its side must get a final answer";
}

TEST_F(EngineTest, LowersMaxAgeWhenPurgeArrivesBeforeWrite) {
  admit_request();
  engine->run();
  ASSERT_TRUE(engine->upstream_request(recorder.sent[0])->fill->may_join);
  engine->purge({{}, 3, time - 50'000});
  engine->run();
  const auto& fill = *engine->upstream_request(recorder.sent[0])->fill;
  EXPECT_EQ(fill.max_age, 48'000);
  EXPECT_FALSE(fill.may_join || fill.refresh_in_background);
  engine->mark_written(recorder.sent[0]);
  engine->on_upstream_response(recorder.sent[0],
                               {AttemptResult::ok, false, "x", {}, time - 500'000, {}});
  engine->run();
  EXPECT_EQ(engine->counters().stale_responses, 1u)
      << "a copy that is older than allowed must not be forwarded";
}

// Guards against a purge of everything that does not lower the maximum age of attempts for objects
// that it does not name.
TEST_F(EngineTest, LowersMaxAgeOfEveryObjectWhenPurgeOfEverythingArrivesBeforeWrite) {
  admit_request();
  engine->run();
  engine->purge({{}, 0, time - 50'000, true});
  engine->run();
  const auto& fill = *engine->upstream_request(recorder.sent[0])->fill;
  EXPECT_EQ(fill.max_age, 48'000);
  EXPECT_FALSE(fill.may_join || fill.refresh_in_background);
}

}  // namespace
