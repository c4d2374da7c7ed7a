// The encodings of the replicated state machine: the commands in the log and the snapshot. Later
// builds must be able to read both, so existing fields do not change.
#include <utility>

#include "consensus/applied_state.h"
#include "consensus/codec.h"

namespace alderspur::consensus {
namespace {

using msgpack_codec::Reader;
using msgpack_codec::Writer;

enum class CommandKind : std::uint64_t {
  offer = 1,  // stored; kinds are only appended
  accept,
  activate,
  withdraw,
  change_voters,
  promote,
  roll_back
};

constexpr std::uint64_t kSnapshotFormatVersion = 1;
constexpr std::size_t kSnapshotFields = 9;
constexpr std::size_t kHistoryFields = 2;
constexpr std::size_t kRequiredSnapshotFields = 8;  // earlier builds wrote no `is_promoted_` flag

// A visitor that writes a command as the array [kind, fields...].
struct CommandWriter {
  Writer& writer;

  void begin(CommandKind kind, std::size_t field_count) const {
    writer.array(field_count + 1).number(static_cast<std::uint64_t>(kind));
  }
  void operator()(const OfferVersion& command) const {
    begin(CommandKind::offer, 2);
    writer.number(command.nonce);
    pack(writer, command.version);
  }
  void operator()(const AcceptVersion& command) const {
    begin(CommandKind::accept, 1);
    writer.number(command.number);
  }
  void operator()(const ActivateVersion& command) const {
    begin(CommandKind::activate, 1);
    writer.number(command.number);
  }
  void operator()(const WithdrawVersion& command) const {
    begin(CommandKind::withdraw, 2);
    writer.number(command.number).text(command.reason);
  }
  void operator()(const ChangeVoters& command) const {
    begin(CommandKind::change_voters, 2);
    writer.number(command.nonce);
    pack(writer, command.voters);
  }
  void operator()(const PromoteCanary& command) const {
    begin(CommandKind::promote, 2);
    writer.number(command.nonce).number(command.number);
  }
  void operator()(const RollBackCanary& command) const {
    begin(CommandKind::roll_back, 3);
    writer.number(command.nonce).number(command.number).text(command.reason);
  }
};

OfferVersion read_offer(Reader& reader) {
  OfferVersion command;
  command.nonce = reader.number();
  command.version = read_version(reader);
  return command;
}

WithdrawVersion read_withdrawal(Reader& reader) {
  WithdrawVersion command;
  command.number = reader.number();
  command.reason = reader.text(kMaxNoteLength);
  return command;
}

ChangeVoters read_change_of_voters(Reader& reader) {
  ChangeVoters command;
  command.nonce = reader.number();
  command.voters = read_names(reader);
  return command;
}

PromoteCanary read_promotion(Reader& reader) {
  PromoteCanary command;
  command.nonce = reader.number();
  command.number = reader.number();
  return command;
}

RollBackCanary read_rollback(Reader& reader) {
  RollBackCanary command;
  command.nonce = reader.number();
  command.number = reader.number();
  command.reason = reader.text(kMaxNoteLength);
  return command;
}

std::optional<Command> read_command(CommandKind kind, Reader& reader) {
  switch (kind) {
    case CommandKind::offer:
      return read_offer(reader);
    case CommandKind::accept:
      return AcceptVersion{reader.number()};
    case CommandKind::activate:
      return ActivateVersion{reader.number()};
    case CommandKind::withdraw:
      return read_withdrawal(reader);
    case CommandKind::change_voters:
      return read_change_of_voters(reader);
    case CommandKind::promote:
      return read_promotion(reader);
    case CommandKind::roll_back:
      return read_rollback(reader);
  }
  return {};  // a kind that a later build added
}

HistoryEntry read_history_entry(Reader& reader) {
  HistoryEntry entry;
  entry.version = read_version(reader);
  entry.outcome = reader.text(kMaxResultText);
  return entry;
}

}  // namespace

std::string encode(const Command& command) {
  Writer writer;
  std::visit(CommandWriter{writer}, command);
  return writer.str();
}

std::optional<Command> decode_command(std::string_view bytes) {
  const msgpack_codec::Document unpacked(bytes);
  if (!unpacked.is_valid()) return {};
  Reader reader(unpacked.root(), 2);
  const auto kind = static_cast<CommandKind>(reader.number());
  auto command = read_command(kind, reader);
  return reader.ok() ? std::move(command) : std::nullopt;
}

void pack_fields(Writer& writer, const ProposalResult& result) {
  writer.number(result.nonce).flag(result.is_accepted).flag(result.is_final);
  writer.number(result.version_number).text(result.reason);
}

ProposalResult read_proposal_result_fields(Reader& reader) {
  ProposalResult result;
  result.nonce = reader.number();
  result.is_accepted = reader.flag();
  result.is_final = reader.flag();
  result.version_number = reader.number();
  result.reason = reader.text(kMaxResultText);
  return result;
}

std::string AppliedState::snapshot() const {
  Writer writer;
  writer.array(kSnapshotFields).number(kSnapshotFormatVersion);
  writer.number(last_number_).number(pending_nonce_);
  pack(writer, offered_);
  pack(writer, accepted_);
  pack(writer, current_);
  pack(writer, voters_);
  writer.array(2).array(results_.size());
  for (const auto& result : results_) {
    writer.array(kProposalResultFields);
    pack_fields(writer, result);
  }
  writer.array(history_.size());
  for (const auto& entry : history_) {
    writer.array(kHistoryFields);
    pack(writer, entry.version);
    writer.text(entry.outcome);
  }
  writer.flag(is_promoted_);
  return writer.str();
}

bool AppliedState::restore(std::string_view bytes) {
  const msgpack_codec::Document unpacked(bytes);
  if (!unpacked.is_valid()) return false;
  Reader reader(unpacked.root(), kRequiredSnapshotFields);
  AppliedState restored;
  if (reader.number() != kSnapshotFormatVersion) return false;
  restored.last_number_ = reader.number();
  restored.pending_nonce_ = reader.number();
  restored.offered_ = read_optional_version(reader);
  restored.accepted_ = read_optional_version(reader);
  restored.current_ = read_version(reader);
  restored.voters_ = read_names(reader);
  Reader lists(reader.next(), 2);
  for (auto& result :
       lists.records(kMaxRememberedResults, kProposalResultFields, read_proposal_result_fields)) {
    restored.results_.push_back(std::move(result));
  }
  for (auto& entry : lists.records(kMaxHistory, kHistoryFields, read_history_entry)) {
    restored.history_.push_back(std::move(entry));
  }
  if (reader.has_more()) restored.is_promoted_ = reader.flag();
  if (!reader.ok() || !lists.ok()) return false;
  *this = std::move(restored);
  return true;
}

}  // namespace alderspur::consensus
