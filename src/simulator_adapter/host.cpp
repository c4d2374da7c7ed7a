#include "simulator_adapter/host.h"

#include <string>
#include <utility>

#include "simulator_adapter/actions.h"
#include "simulator_adapter/wire_writer.h"

namespace alderspur::simulator_adapter {
namespace {

// Modes of an endpoint update. Mode 0 carries a partial list, modes 1 to 2 carry a complete list,
// and a larger mode reports that the list could not be obtained.
constexpr std::uint8_t kPartialUpdate = 0;
constexpr std::uint8_t kLastCompleteUpdate = 2;

}  // namespace

/// A router and the names that its settings define.
struct Host::Instance {
  alderspur::Router router;
  config::Names names;
};

Host::Host() = default;
Host::~Host() = default;

/// Decodes one batch and encodes the reply.
class Host::Batch {
 public:
  Batch(Host& host, const BatchHeader& header, std::string_view body)
      : host_(host), header_(header), reader_(body) {}

  /// Processes all records and returns the encoded reply. Throws WireError if a record is
  /// malformed.
  std::string process();

 private:
  // Reads one record and passes its event to the instance that the record names.
  void read_record();
  alderspur::Event read_event(RecordCode code, const config::Names& names);
  void start_instance(std::uint32_t id);
  alderspur::EndpointUpdate read_endpoint_update(const config::Names& names);

  Host& host_;
  const BatchHeader& header_;
  WireReader reader_;
  std::vector<alderspur::Action> actions_;
  /// Encoded actions by instance number. They are kept apart because the actions of an instance
  /// that is stopped or restarted later in the batch are discarded.
  std::map<std::uint32_t, WireWriter> replies_;
};

std::string Host::Batch::process() {
  for (std::uint32_t i = 0; i < header_.record_count; ++i) read_record();
  if (!reader_.is_at_end()) throw WireError("batch has bytes after its last record");
  std::string actions;
  for (const auto& [instance, writer] : replies_) actions += writer.bytes();
  WireWriter head;
  head.u32(static_cast<std::uint32_t>(actions.size()));
  head.u32(header_.sequence_number);
  return head.bytes() + actions;
}

void Host::Batch::read_record() {
  const auto code = static_cast<RecordCode>(reader_.u8());
  if (code == RecordCode::endpoint_list) {
    const std::uint32_t list = reader_.u32();
    host_.endpoint_lists_[list] = read_endpoint_list(reader_);
    return;
  }
  const std::uint32_t id = reader_.u32();
  switch (code) {
    case RecordCode::start_instance:
      return start_instance(id);
    case RecordCode::stop_instance:
      replies_.erase(id);
      host_.instances_.erase(id);
      return;
    case RecordCode::peer:
      reader_.u32();
      reader_.bytes(reader_.u16());
      return;
    default:
      break;
  }
  const auto found = host_.instances_.find(id);
  const bool is_known = found != host_.instances_.end();
  // The record of an unknown instance is decoded as well, because only decoding finds where the
  // next record starts.
  static const config::Names no_names;
  const alderspur::Event event = read_event(code, is_known ? found->second.names : no_names);
  if (!is_known) return;
  actions_.clear();
  found->second.router.handle(static_cast<alderspur::Time>(header_.clock), event, actions_);
  for (const auto& action : actions_) write_action(replies_[id], id, action);
}

alderspur::Event Host::Batch::read_event(RecordCode code, const config::Names& names) {
  switch (code) {
    case RecordCode::endpoint_update:
      return read_endpoint_update(names);
    case RecordCode::request:
      return read_request(reader_);
    case RecordCode::response_started:
      return read_response_started(reader_);
    case RecordCode::outcome:
      return read_outcome(reader_, names);
    case RecordCode::client_gone:
      return alderspur::ClientGone{{reader_.u64()}};
    case RecordCode::timer_expired:
      return alderspur::TimerExpired{{reader_.u32()}};
    case RecordCode::health_check_result:
      return read_health_check(reader_, names);
    case RecordCode::purge:
      return read_purge(reader_);
    default:
      throw WireError("unknown record code " + std::to_string(static_cast<unsigned>(code)));
  }
}

void Host::Batch::start_instance(std::uint32_t id) {
  const std::uint64_t seed = reader_.u64();
  auto [settings, names] = read_settings(reader_.bytes(reader_.u32()));
  replies_.erase(id);
  host_.instances_.insert_or_assign(id,
                                    Instance{alderspur::Router(settings, seed), std::move(names)});
}

alderspur::EndpointUpdate Host::Batch::read_endpoint_update(const config::Names& names) {
  const std::uint8_t mode = reader_.u8();
  reader_.u32();
  const std::uint32_t list = reader_.u32();
  alderspur::EndpointUpdate update;
  update.has_failed = mode > kLastCompleteUpdate;
  update.is_complete = mode != kPartialUpdate && !update.has_failed;
  if (update.has_failed) return update;
  const auto found = host_.endpoint_lists_.find(list);
  if (found == host_.endpoint_lists_.end()) {
    throw WireError("endpoint update refers to endpoint list " + std::to_string(list) +
                    ", which was not sent");
  }
  for (const ListedServer& listed : found->second) {
    alderspur::Server server = listed.server;
    if (listed.kind == names.parent_kind) server.role = alderspur::Role::parent;
    if (listed.kind == names.origin_kind) server.role = alderspur::Role::origin;
    update.servers.push_back(server);
  }
  return update;
}

std::string Host::process_batch(const BatchHeader& header, std::string_view body) {
  return Batch(*this, header, body).process();
}

}  // namespace alderspur::simulator_adapter
