// simulator_adapter: batches on standard input, one reply each on standard output.
#include <cstdio>
#include <exception>
#include <string>

#include "simulator_adapter/codec.h"

namespace {

namespace simulator_adapter = alderspur::simulator_adapter;

// Reads exactly `size` bytes in steps, so that a false length cannot claim memory that never
// arrives.
bool read_exactly(std::string& out, std::size_t size) {
  constexpr std::size_t kStep = 1 << 20;
  out.clear();
  while (out.size() < size) {
    const std::size_t have = out.size();
    const std::size_t want = std::min(kStep, size - have);
    out.resize(have + want);
    const std::size_t got = std::fread(out.data() + have, 1, want, stdin);
    out.resize(have + got);
    if (got == 0) return false;
  }
  return true;
}

int serve() {
  simulator_adapter::Host host;
  std::string head;
  std::string body;
  for (;;) {
    if (!read_exactly(head, simulator_adapter::kBatchHeader)) {
      if (head.empty() && !std::ferror(stdin)) return 0;
      throw simulator_adapter::WireError("input ends inside a batch header");
    }
    const auto header = simulator_adapter::read_header(head);
    if (!read_exactly(body, header.length)) {
      throw simulator_adapter::WireError("input ends inside a batch");
    }
    const std::string reply = host.answer(header, body);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() ||
        std::fflush(stdout) != 0) {
      throw simulator_adapter::WireError("cannot write the reply");
    }
  }
}

}  // namespace

int main() {
  try {
    return serve();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "simulator_adapter: %s\n", e.what());
    return 1;
  }
}
