#include "endpoints/merge.h"

#include <algorithm>

namespace alderspur::endpoints {
namespace {

int care(ServerStatus s) {
  return s == ServerStatus::ready ? 0 : s == ServerStatus::draining ? 1 : 2;
}

Merged alone(const Member& m, bool board) {
  Merged out{m, Reason::as_listed};
  if (m.server.status == ServerStatus::draining)
    out.reason = board ? Reason::board_draining : Reason::files_draining;
  return out;
}
bool agree(const Member& a, const Member& b) {
  const Server &x = a.server, &y = b.server;
  return x.role == y.role && x.location == y.location && x.cell == y.cell && a.address == b.address;
}

}  // namespace

const char* to_string(Authority a) {
  return a == Authority::board ? "board" : a == Authority::files ? "files" : "both";
}
const char* to_string(Reason r) {
  switch (r) {
    case Reason::as_listed:
      return "as told";
    case Reason::weight_lower:
      return "the lower of two weights";
    case Reason::board_draining:
      return "the board says draining";
    case Reason::files_draining:
      return "the files say draining";
    case Reason::locations_differ:
      return "board and files tell different roles, places, cells or addresses";
    case Reason::not_on_board:
      return "the board does not list it";
    case Reason::not_in_files:
      return "the files do not list it";
    case Reason::flapping:
      return "it came and went too often";
  }
  return "";
}

std::optional<Merged> merge(Authority authority, const EndpointSources& v) {
  const bool board = authority != Authority::files && v.has_board_list;
  const bool files = authority != Authority::board && v.has_file_list;
  const Member* b = board ? v.board : nullptr;
  const Member* f = files ? v.files : nullptr;
  if (!b && !f) return {};
  if (!board || !files) return alone(b ? *b : *f, b != nullptr);
  if (!b || !f) {
    Merged out{b ? *b : *f, b ? Reason::not_in_files : Reason::not_on_board};
    out.member.server.status = ServerStatus::gone;
    return out;
  }
  Merged out{*f, Reason::as_listed};
  Server& s = out.member.server;
  if (!agree(*b, *f)) {
    // Danger: with two addresses one of them is another machine's; with two places a cold budget is
    // wrong. What says "gone" of itself needs no agreement.
    s.status = ServerStatus::gone;
    out.reason = Reason::locations_differ;
  }
  s.status = care(b->server.status) > care(s.status) ? b->server.status : s.status;
  s.started_at = std::max(s.started_at, b->server.started_at);
  if (b->server.weight != s.weight) {
    s.weight = std::min(s.weight, b->server.weight);
    out.reason = std::max(out.reason, Reason::weight_lower);
  }
  if (out.reason == Reason::locations_differ) return out;
  if (f->server.status == ServerStatus::draining)
    out.reason = Reason::files_draining;
  else if (b->server.status == ServerStatus::draining)
    out.reason = Reason::board_draining;
  return out;
}

}  // namespace alderspur::endpoints
