#include "signed_url/token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

#include "core/parsing.h"

namespace alderspur::signed_url {
namespace {

bool seconds(std::string_view text, std::int64_t& out) {
  const auto parsed = core::parse_number<std::int64_t>(text);
  out = parsed.value_or(out);
  return parsed && out >= 0 && out < std::int64_t{1} << 40;
}

struct Fields {
  std::string_view pfx, set, ram, kid, nbf, exp;
  // A repeated name is an error, since programs differ in which of the values they use.
  bool read(std::string_view query) {
    while (!query.empty()) {
      auto part = query.substr(0, query.find('&'));
      query.remove_prefix(std::min(query.size(), part.size() + 1));
      const auto eq = part.find('=');
      if (eq == std::string_view::npos) return false;
      const auto name = part.substr(0, eq);
      std::string_view* field = name == "pfx"   ? &pfx
                                : name == "set" ? &set
                                : name == "ram" ? &ram
                                : name == "kid" ? &kid
                                : name == "nbf" ? &nbf
                                : name == "exp" ? &exp
                                                : nullptr;
      if (!field) continue;
      if (field->data()) return false;
      *field = part.substr(eq + 1);
    }
    return true;
  }
};

// At the prefix or below it: "/asset/7f" does not open "/asset/7f3a".
bool below(std::string_view path, std::string_view prefix) {
  if (!prefix.starts_with('/') || !path.starts_with(prefix)) return false;
  return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

}  // namespace

std::string base64url(std::string_view bytes) {
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                reinterpret_cast<const unsigned char*>(bytes.data()),
                                static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(n));
  while (out.ends_with('=')) out.pop_back();
  for (char& c : out) c = c == '+' ? '-' : c == '/' ? '_' : c;
  return out;
}

std::optional<std::string> from_base64url(std::string_view text) {
  std::string in(text);
  for (char& c : in) {
    const bool good = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    if (!good && c != '-' && c != '_') return {};
    c = c == '-' ? '+' : c == '_' ? '/' : c;
  }
  if (in.empty() || in.size() % 4 == 1 || in.size() > 4096) return {};
  const std::size_t padding = (4 - in.size() % 4) % 4;
  in.append(padding, '=');
  std::string out(in.size() / 4 * 3, '\0');
  if (EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(in.data()),
                      static_cast<int>(in.size())) < 0) {
    return {};
  }
  out.resize(out.size() - padding);
  return out;
}

std::string signature(const Key& key, std::string_view text) {
  unsigned char mac[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  if (!HMAC(EVP_sha256(), key.secret.data(), static_cast<int>(key.secret.size()),
            reinterpret_cast<const unsigned char*>(text.data()), text.size(), mac, &size)) {
    return {};
  }
  return base64url({reinterpret_cast<const char*>(mac), size});
}

Check Checker::check(std::string_view path, std::string_view signed_text, std::int64_t now,
                     Claims& claims) const {
  const auto at = signed_text.rfind("&sig=");
  if (at == std::string_view::npos) return Check::malformed;
  const auto text = signed_text.substr(0, at);
  const auto given = signed_text.substr(at + 5);
  const auto query = text.find('?');
  Fields f;
  if (!f.read(query == std::string_view::npos ? text : text.substr(query + 1))) {
    return Check::malformed;
  }
  std::int64_t exp = 0;
  std::int64_t nbf = 0;
  if (!seconds(f.exp, exp) || (f.nbf.data() && !seconds(f.nbf, nbf))) return Check::malformed;
  const auto key = std::find_if(keys_.begin(), keys_.end(), [&](auto& k) { return k.id == f.kid; });
  if (key == keys_.end() || (key->until && now >= key->until + skew_)) return Check::unknown_key;
  const auto expected = signature(*key, text);
  // In constant time: how far a forged signature agrees must not show in how long the answer takes.
  if (expected.empty() || expected.size() != given.size() ||
      CRYPTO_memcmp(expected.data(), given.data(), given.size()) != 0) {
    return Check::bad_signature;
  }
  // A link names its path itself; a token names the prefix. One that names neither opens nothing.
  if (query != std::string_view::npos ? text.substr(0, query) != path : !below(path, f.pfx)) {
    return Check::wrong_path;
  }
  if (now < nbf - skew_) return Check::too_early;
  if (now >= exp + skew_) return Check::expired;
  claims = {f.set, f.ram};
  return Check::good;
}

}  // namespace alderspur::signed_url
