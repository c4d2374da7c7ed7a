#include "core/request_identity.h"

#include <functional>
#include <string_view>

#include "core/parsing.h"
#include "estimators/hash.h"

namespace alderspur::core {
namespace {

constexpr std::size_t kIdDigits = 16;
constexpr std::size_t kKeyDigits = 2 * kIdDigits;
constexpr int kHexBase = 16;

}  // namespace

std::optional<alderspur::RequestIdentity> request_identity(const RequestView& view) {
  const std::string_view key = view.idempotency_key;
  const bool has_key = key.size() == kKeyDigits;
  const auto low = parse_number<std::uint64_t>(has_key ? key.substr(kIdDigits) : view.id, kHexBase);
  const auto high = has_key ? parse_number<std::uint64_t>(key.substr(0, kIdDigits), kHexBase)
                            : std::optional<std::uint64_t>(view.class_id);
  if (!low || !high) return std::nullopt;
  return alderspur::RequestIdentity{*high, *low};
}

std::uint64_t content_hash(const RequestView& view) {
  std::uint64_t hash = estimators::mix_bits(view.class_id);
  hash = estimators::mix_bits(hash ^ view.object);
  hash = estimators::mix_bits(hash ^ view.part);
  return estimators::mix_bits(hash ^ std::hash<std::string_view>()(view.body));
}

}  // namespace alderspur::core
