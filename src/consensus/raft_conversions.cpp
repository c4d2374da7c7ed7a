#include "consensus/raft_conversions.h"

#include <algorithm>
#include <cstring>
#include <new>
#include <string>

#include "core/parsing.h"

namespace alderspur::consensus {
namespace {

constexpr std::size_t kEntryAlignment = 8;  // bytes

void* allocate(std::size_t size) {
  void* memory = raft_malloc(size);
  if (!memory) throw std::bad_alloc();
  return memory;
}

std::size_t aligned_size(std::size_t size) {
  return (size + kEntryAlignment - 1) / kEntryAlignment * kEntryAlignment;
}

}  // namespace

std::uint64_t raft_id_of(std::string_view name) {
  const auto hash = core::stable_hash(name);
  return hash != 0 ? hash : 1;
}

raft_buffer to_raft_buffer(std::string_view bytes) {
  void* memory = allocate(std::max<std::size_t>(bytes.size(), 1));
  std::memcpy(memory, bytes.data(), bytes.size());
  return {memory, bytes.size()};
}

std::string_view bytes_of(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

raft_entry* to_raft_entries(const std::vector<LogEntry>& entries) {
  if (entries.empty()) return nullptr;
  std::size_t batch_size = 0;
  for (const auto& entry : entries) batch_size += aligned_size(entry.data.size());
  auto* result = static_cast<raft_entry*>(allocate(entries.size() * sizeof(raft_entry)));
  auto* batch = static_cast<char*>(allocate(std::max(batch_size, kEntryAlignment)));
  std::size_t offset = 0;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const LogEntry& entry = entries[i];
    result[i] = {};
    result[i].term = entry.term;
    result[i].type = static_cast<std::uint16_t>(entry.type);
    result[i].buf = {batch + offset, entry.data.size()};
    result[i].batch = batch;
    std::copy(entry.data.begin(), entry.data.end(), batch + offset);
    offset += aligned_size(entry.data.size());
  }
  return result;
}

std::vector<LogEntry> from_raft_entries(const raft_entry* entries, unsigned count) {
  std::vector<LogEntry> result;
  for (unsigned i = 0; i < count; ++i) {
    const raft_entry& entry = entries[i];
    result.push_back({entry.term, entry.type, std::string(bytes_of(entry.buf))});
  }
  return result;
}

raft_configuration to_raft_configuration(const Configuration& configuration) {
  raft_configuration result;
  raft_configuration_init(&result);
  for (const auto& server : configuration.servers) {
    raft_configuration_add(&result, raft_id_of(server.name), server.name.c_str(), server.role);
  }
  return result;
}

Configuration from_raft_configuration(const raft_configuration& configuration,
                                      std::uint64_t index) {
  Configuration result{index, {}};
  for (unsigned i = 0; i < configuration.n; ++i) {
    const raft_server& server = configuration.servers[i];
    result.servers.push_back({server.address, server.role});
  }
  return result;
}

raft_snapshot* to_raft_snapshot(const Snapshot& snapshot) {
  auto* result = static_cast<raft_snapshot*>(allocate(sizeof(raft_snapshot)));
  result->index = snapshot.index;
  result->term = snapshot.term;
  result->configuration = to_raft_configuration(snapshot.configuration);
  result->configuration_index = snapshot.configuration.index;
  result->bufs = static_cast<raft_buffer*>(allocate(sizeof(raft_buffer)));
  *result->bufs = to_raft_buffer(snapshot.data);
  result->n_bufs = 1;
  return result;
}

Snapshot from_raft_snapshot(const raft_snapshot& snapshot) {
  Snapshot result;
  result.index = snapshot.index;
  result.term = snapshot.term;
  result.configuration =
      from_raft_configuration(snapshot.configuration, snapshot.configuration_index);
  for (unsigned i = 0; i < snapshot.n_bufs; ++i) result.data += bytes_of(snapshot.bufs[i]);
  return result;
}

}  // namespace alderspur::consensus
