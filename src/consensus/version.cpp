#include "consensus/version.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>

#include "cluster/member.h"
#include "msgpack_codec/document.h"
#include "msgpack_codec/reader.h"
#include "msgpack_codec/writer.h"

namespace alderspur::consensus {
namespace {

std::vector<std::string_view> sorted_lines(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    lines.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  std::sort(lines.begin(), lines.end());
  return lines;
}

std::vector<std::string_view> lines_only_in(const std::vector<std::string_view>& lines,
                                            const std::vector<std::string_view>& others) {
  std::vector<std::string_view> result;
  std::set_difference(lines.begin(), lines.end(), others.begin(), others.end(),
                      std::back_inserter(result));
  return result;
}

std::string describe_document_change(const std::string& name, std::string_view old_text,
                                     std::string_view new_text) {
  const auto old_lines = sorted_lines(old_text);
  const auto new_lines = sorted_lines(new_text);
  const std::size_t added = lines_only_in(new_lines, old_lines).size();
  const std::size_t removed = lines_only_in(old_lines, new_lines).size();
  std::string description =
      name + ": " + std::to_string(added) + " lines added, " + std::to_string(removed) + " removed";
  if (added == 0 && removed == 0) description += ", in another order";
  return description;
}

}  // namespace

bool CanaryRollout::includes(std::string_view router) const {
  return std::find(routers.begin(), routers.end(), router) != routers.end();
}

std::string encode(const Content& content) {
  msgpack_codec::Writer writer;
  writer.array(content.size());
  for (const auto& [name, text] : content) writer.array(2).text(name).bytes(text);
  return writer.str();
}

std::optional<Content> decode_content(std::string_view bytes) {
  if (bytes.size() > kMaxContentBytes) return {};
  const msgpack_codec::Document unpacked(bytes);
  if (!unpacked.is_valid()) return {};
  const msgpack_object& root = unpacked.root();
  if (root.type != MSGPACK_OBJECT_ARRAY || root.via.array.size > kMaxDocuments) return {};
  msgpack_codec::Reader documents(root, 0);
  Content content;
  for (std::uint32_t i = 0; i < root.via.array.size; ++i) {
    msgpack_codec::Reader document(documents.next(), 2);
    auto name = document.text();
    const auto text = document.bytes(kMaxContentBytes);
    if (!document.ok() || name.empty()) return {};
    const bool is_new = content.try_emplace(std::move(name), text).second;
    if (!is_new) return {};
  }
  return content;
}

std::string content_digest(std::string_view encoded) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> sum{};
  SHA256(reinterpret_cast<const unsigned char*>(encoded.data()), encoded.size(), sum.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string digest;
  for (const unsigned char byte : sum) {
    digest += kDigits[byte >> 4];
    digest += kDigits[byte & 15];
  }
  return digest;
}

std::vector<std::string> describe_changes(const Content& from, const Content& to) {
  std::set<std::string> names;
  for (const auto& [name, text] : from) names.insert(name);
  for (const auto& [name, text] : to) names.insert(name);
  std::vector<std::string> changes;
  for (const auto& name : names) {
    const auto old_document = from.find(name);
    const auto new_document = to.find(name);
    if (new_document == to.end()) {
      changes.push_back(name + ": removed");
    } else if (old_document == from.end()) {
      changes.push_back(name + ": new");
    } else if (old_document->second != new_document->second) {
      changes.push_back(describe_document_change(name, old_document->second, new_document->second));
    }
  }
  return changes;
}

}  // namespace alderspur::consensus
