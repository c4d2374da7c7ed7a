#include "endpoints/merge.h"

#include <algorithm>

namespace alderspur::endpoints {
namespace {

/// Ranks a status by caution: a higher level carries less traffic.
int caution_level(ServerStatus status) {
  switch (status) {
    case ServerStatus::ready:
      return 0;
    case ServerStatus::draining:
      return 1;
    case ServerStatus::gone:
      break;
  }
  return 2;
}

MergedMember from_one_source(const Member& member, Reason reason_if_draining) {
  const bool is_draining = member.server.status == ServerStatus::draining;
  return {member, is_draining ? reason_if_draining : Reason::as_listed};
}

bool have_same_location(const Member& left, const Member& right) {
  return left.server.role == right.server.role && left.server.location == right.server.location &&
         left.server.cell == right.server.cell && left.address == right.address;
}

MergedMember from_both(const Member& board, const Member& files) {
  MergedMember merged{files, Reason::as_listed};
  Server& server = merged.member.server;
  if (!have_same_location(board, files)) {
    // If the addresses differ, one of them belongs to another machine; if the locations differ, the
    // slow-start budget would be wrong.
    server.status = ServerStatus::gone;
    merged.reason = Reason::locations_differ;
  }
  if (caution_level(board.server.status) > caution_level(server.status)) {
    server.status = board.server.status;
  }
  server.started_at = std::max(server.started_at, board.server.started_at);
  if (board.server.weight != server.weight) {
    server.weight = std::min(server.weight, board.server.weight);
    merged.reason = std::max(merged.reason, Reason::weight_lower);
  }
  if (merged.reason == Reason::locations_differ) return merged;
  if (files.server.status == ServerStatus::draining) {
    merged.reason = Reason::files_draining;
  } else if (board.server.status == ServerStatus::draining) {
    merged.reason = Reason::board_draining;
  }
  return merged;
}

}  // namespace

const char* to_string(Authority authority) {
  switch (authority) {
    case Authority::board:
      return "board";
    case Authority::files:
      return "files";
    case Authority::both:
      break;
  }
  return "both";
}

const char* to_string(Reason reason) {
  switch (reason) {
    case Reason::as_listed:
      return "as listed";
    case Reason::weight_lower:
      return "the lower of two listed weights";
    case Reason::board_draining:
      return "the board lists it as draining";
    case Reason::files_draining:
      return "the files list it as draining";
    case Reason::locations_differ:
      return "the board and the files list different roles, locations, cells or addresses";
    case Reason::not_on_board:
      return "the board does not list it";
    case Reason::not_in_files:
      return "the files do not list it";
    case Reason::flapping:
      return "it left service too often";
  }
  return "";
}

std::optional<MergedMember> merge(Authority authority, const EndpointSources& sources) {
  const bool board_decides = authority != Authority::files && sources.has_board_list;
  const bool files_decide = authority != Authority::board && sources.has_file_list;
  const Member* board = board_decides ? sources.board : nullptr;
  const Member* files = files_decide ? sources.files : nullptr;
  if (!board && !files) return {};
  if (!board_decides) return from_one_source(*files, Reason::files_draining);
  if (!files_decide) return from_one_source(*board, Reason::board_draining);
  if (board && files) return from_both(*board, *files);
  // Both sources decide, but only one of them lists the server.
  MergedMember merged{board ? *board : *files, board ? Reason::not_in_files : Reason::not_on_board};
  merged.member.server.status = ServerStatus::gone;
  return merged;
}

}  // namespace alderspur::endpoints
