// What routers say to each other about versions, and its wire form: MessagePack arrays [kind,
// fields...]. The sender is known by the channel. No I/O; what does not fit the bounds reads as
// nothing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "consensus/applied_state.h"
#include "consensus/version.h"

namespace alderspur::consensus {

// What a program knows beyond the first form: 1, trials. A form is used only where all that must
// know it do.
constexpr std::uint64_t kForms = 1;
constexpr std::size_t kChunk = 32 << 10, kFrameMost = 2 << 20;

// Of consensus, as Raft made it.
struct RaftFrame {
  std::string frame;
};
// A router asks the leader for its lease, and says how it stands.
struct Renew {
  std::uint64_t epoch = 0;
  Time sent = 0;             // by the asker's clock; its lease counts from here
  std::uint64_t acting = 0;  // the number it acts on
  std::uint64_t holds = 0;   // the highest it has kept and found good
  std::uint64_t refused = 0;
  std::string reason;
  std::uint64_t grant = 0;                // the last grant it took
  double share_all = 0, share_point = 0;  // that it holds under a lease that runs
  double weight = 0;                      // what it takes: requests a second, smoothed, and one
  std::string point;
  std::uint64_t learner = 0;  // it asks to be let in among the voters, with an empty log
  double bad = 0;             // of the requests that ended here lately, the part refused or failed
  std::uint64_t forms = 0;    // what this program knows, see kForms
};
struct Grant {
  Time sent = 0;  // as in the question
  std::uint64_t id = 0;
  Time length = 0;  // 0: no lease, only news
  Version in_force;
  std::optional<Version> pending;
  bool agreed = false;  // the pending one
  std::vector<std::string> voters;
  double share_all = 0, share_point = 0;
  std::uint64_t admitted = 0;  // the learner's number: its former self counts no more
  bool among = false;          // the asker is in the log's own list of voters and learners
  std::uint64_t forms = 0;     // of the leader's program
};
struct Redirect {
  std::string leader;  // empty: not known
};
struct Want {
  std::string digest;
  std::uint64_t offset = 0;
};
struct Chunk {
  std::string digest;
  std::uint64_t offset = 0, total = 0;  // total 0: not there
  std::string bytes;
};
struct Propose {
  std::uint64_t nonce = 0;
  Version version;
  std::vector<std::string> voters;  // not empty: a change of the voters instead
};
struct Answer {
  Settled settled;
};
// A voter that starts asks the others how far they are, and says how far it is itself.
struct LogPosition {
  bool asks = false;
  bool pristine = false;
  std::uint64_t term = 0, last_term = 0, last = 0;  // of the log
  std::uint64_t your_term = 0, your_last = 0;       // what the asker has acknowledged here
};
// A router without a lease asks any other what it has heard.
struct Ask {};
struct Tell {
  Version in_force;
  std::optional<Version> agreed;
};
struct RenewHint {};  // there is news: renew
struct Verdict {      // of an operator on a trial; answered as a proposal is
  std::uint64_t nonce = 0, number = 0;
  bool go_on = false;
};

using Message = std::variant<RaftFrame, Renew, Grant, Redirect, Want, Chunk, Propose, Answer,
                             LogPosition, Ask, Tell, RenewHint, Verdict>;
std::string encode(const Message& message);
std::optional<Message> decode_message(std::string_view bytes);

// Printable, without quotes, and short: what may stand in records and logs.
std::string plain(std::string_view text, std::size_t most);

}  // namespace alderspur::consensus
