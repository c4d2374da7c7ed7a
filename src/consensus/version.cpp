#include "consensus/version.h"

#include <openssl/sha.h>

#include <algorithm>

#include "cluster/packing.h"

namespace alderspur::consensus {
namespace {

std::vector<std::string_view> lines(std::string_view text) {
  std::vector<std::string_view> out;
  while (!text.empty()) {
    const auto end = std::min(text.find('\n'), text.size());
    out.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace

std::string encode(const Content& content) {
  cluster::Packer p;
  p.array(content.size());
  for (const auto& [name, text] : content) p.array(2).text(name).bytes(text);
  return p.take();
}

std::optional<Content> decode_content(std::string_view bytes) {
  if (bytes.size() > kMaxContentBytes) return {};
  const cluster::Unpacked u(bytes);
  if (!u.good || u.m.data.type != MSGPACK_OBJECT_ARRAY || u.m.data.via.array.size > kMaxDocuments)
    return {};
  cluster::Reader all(u.m.data, 0);
  Content out;
  for (std::uint32_t i = 0; i < u.m.data.via.array.size; ++i) {
    cluster::Reader r(all.next(), 2);
    auto name = r.text();
    const auto text = r.bytes(kMaxContentBytes);
    if (!r.good || name.empty() || !out.try_emplace(std::move(name), text).second) return {};
  }
  return out;
}

std::string content_digest(std::string_view encoded) {
  unsigned char sum[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(encoded.data()), encoded.size(), sum);
  std::string out;
  for (const unsigned char c : sum) {
    constexpr char kDigits[] = "0123456789abcdef";
    out += kDigits[c >> 4];
    out += kDigits[c & 15];
  }
  return out;
}

std::vector<std::string> describe_changes(const Content& from, const Content& to) {
  std::vector<std::string> out;
  const auto names = [&] {
    std::map<std::string_view, int> all;
    for (const auto& [name, text] : from) all[name] |= 1;
    for (const auto& [name, text] : to) all[name] |= 2;
    return all;
  }();
  for (const auto& [name, in] : names) {
    const std::string word(name);
    if (in != 3) {
      out.push_back(word + (in == 1 ? ": removed" : ": new"));
      continue;
    }
    const auto &a = from.find(name)->second, &b = to.find(name)->second;
    if (a == b) continue;
    const auto x = lines(a), y = lines(b);
    std::vector<std::string_view> less, more;
    std::set_difference(x.begin(), x.end(), y.begin(), y.end(), std::back_inserter(less));
    std::set_difference(y.begin(), y.end(), x.begin(), x.end(), std::back_inserter(more));
    out.push_back(word + ": " + std::to_string(more.size()) + " lines added, " +
                  std::to_string(less.size()) + " removed" +
                  (less.empty() && more.empty() ? ", in another order" : ""));
  }
  return out;
}

}  // namespace alderspur::consensus
