#include "control/version_calls.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <utility>

#include "consensus/applied_state.h"
#include "http/message.h"

namespace alderspur::control {
namespace {

constexpr std::string_view kRolloutPath = "/rollout";
constexpr std::string_view kVotersPath = "/voters";
constexpr std::string_view kPromoteVerdict = "go";
constexpr std::string_view kRollBackVerdict = "back";
constexpr double kDefaultCanarySeconds = 60;
constexpr double kMaxCanarySeconds = 1e6;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

/// Returns the query parameter as a number, or `default_value` if the query does not contain it.
double number_parameter(std::string_view query, std::string_view name, double default_value) {
  const auto text = http::parameter(query, name);
  return text ? std::strtod(std::string(*text).c_str(), nullptr) : default_value;
}

/// Splits the text into names. Returns at most one name more than the maximum, so that the
/// consensus still rejects a list that is too long.
std::vector<std::string> split_names(std::string_view text, char separator) {
  std::vector<std::string> names;
  std::istringstream stream{std::string(text)};
  std::string name;
  while (names.size() <= consensus::kMaxVoters && std::getline(stream, name, separator)) {
    names.push_back(name);
  }
  return names;
}

/// Reads names separated by white space, with the same maximum as split_names().
std::vector<std::string> read_voters(const std::string& body) {
  std::vector<std::string> names;
  std::istringstream stream(body);
  std::string name;
  while (names.size() <= consensus::kMaxVoters && stream >> name) names.push_back(name);
  return names;
}

/// Reads the canary rollout from the query. Returns a rollout without routers if it requests none.
consensus::CanaryRollout read_canary(std::string_view query) {
  consensus::CanaryRollout canary;
  const auto routers = http::parameter(query, "first");
  if (!routers) return canary;
  canary.routers = split_names(*routers, ',');
  const double seconds =
      std::clamp(number_parameter(query, "hold", kDefaultCanarySeconds), 0.0, kMaxCanarySeconds);
  canary.duration = static_cast<consensus::Time>(seconds * kMicrosecondsPerSecond);
  canary.max_failure_increase =
      std::clamp(number_parameter(query, "harm", canary.max_failure_increase), 0.0, 1.0);
  canary.promote_on_expiry = http::parameter(query, "then") == kPromoteVerdict;
  return canary;
}

/// Reads a verdict and the version number. Returns nothing if the body has another form.
std::optional<consensus::CanaryDecision> read_decision(const std::string& body) {
  std::istringstream words(body);
  std::string verdict;
  consensus::CanaryDecision decision;
  if (!(words >> verdict >> decision.version_number)) return std::nullopt;
  if (verdict != kPromoteVerdict && verdict != kRollBackVerdict) return std::nullopt;
  decision.promote = verdict == kPromoteVerdict;
  return decision;
}

/// Returns a proposal with the parameters that the query contains.
consensus::OperatorProposal read_parameters(std::string_view query, std::uint64_t nonce) {
  consensus::OperatorProposal proposal;
  proposal.nonce = nonce;
  if (const auto given = http::parameter(query, "nonce")) {
    proposal.nonce = std::max<std::uint64_t>(1, read_number(*given));
  }
  if (const auto author = http::parameter(query, "author")) proposal.author = *author;
  if (const auto base = http::parameter(query, "base"); base && !base->empty()) {
    proposal.base_number = read_number(*base);
  }
  proposal.canary = read_canary(query);
  return proposal;
}

}  // namespace

ProposalOrReply read_proposal(std::string_view path, std::string_view query,
                              const std::string& body, std::uint64_t nonce) {
  consensus::OperatorProposal proposal = read_parameters(query, nonce);
  if (path == kRolloutPath) {
    proposal.canary_decision = read_decision(body);
    if (!proposal.canary_decision) {
      return admin::HttpReply{
          kBadRequest,
          "the body must be go or back, followed by the number of the version in the canary "
          "rollout\n"};
    }
  } else if (path == kVotersPath) {
    proposal.voters = read_voters(body);
    if (proposal.voters.empty()) {
      return admin::HttpReply{kBadRequest, "the body must contain the names of the voters\n"};
    }
  } else if (path.empty()) {
    auto content = consensus::decode_content(body);
    if (!content) {
      return admin::HttpReply{
          kBadRequest,
          "the body is not an encoded content of a version: use alderspur cluster propose\n"};
    }
    proposal.content = std::move(*content);
  } else {
    return admin::HttpReply{kNotFound, "no such call\n"};
  }
  return proposal;
}

std::uint64_t read_number(std::string_view text) {
  return std::strtoull(std::string(text).c_str(), nullptr, 10);
}

}  // namespace alderspur::control
