// simulator_adapter reads batches from standard input and writes one reply to standard output for
// each of them. It exits with code 0 at the end of input and with code 1 on an error.
#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <exception>
#include <string>

#include "simulator_adapter/host.h"
#include "simulator_adapter/wire_error.h"

namespace {

namespace simulator_adapter = alderspur::simulator_adapter;

// Reads exactly `size` bytes from standard input. Returns false if the input ends before that.
// Reads in steps, so that a wrong length in a header does not allocate memory for bytes that never
// arrive.
bool read_exactly(std::string& bytes, std::size_t size) {
  constexpr std::size_t kStepBytes = 1 << 20;
  bytes.clear();
  while (bytes.size() < size) {
    const std::size_t size_before = bytes.size();
    const std::size_t wanted = std::min(kStepBytes, size - size_before);
    bytes.resize(size_before + wanted);
    const std::size_t received = std::fread(bytes.data() + size_before, 1, wanted, stdin);
    bytes.resize(size_before + received);
    if (received == 0) return false;
  }
  return true;
}

// Processes batches until the input ends. Returns the exit code; throws WireError on an error.
int serve() {
  simulator_adapter::Host host;
  std::string head;
  std::string body;
  for (;;) {
    if (!read_exactly(head, simulator_adapter::kBatchHeaderBytes)) {
      if (head.empty() && !std::ferror(stdin)) return 0;
      throw simulator_adapter::WireError("standard input ended inside a batch header");
    }
    const auto header = simulator_adapter::read_header(head);
    if (!read_exactly(body, header.length)) {
      throw simulator_adapter::WireError("standard input ended inside the records of a batch");
    }
    const std::string reply = host.process_batch(header, body);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() ||
        std::fflush(stdout) != 0) {
      throw simulator_adapter::WireError("cannot write the reply to standard output");
    }
  }
}

}  // namespace

int main() {
  try {
    return serve();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "simulator_adapter: %s\n", error.what());
    return 1;
  }
}
