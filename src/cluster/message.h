// The datagrams that members exchange. Values only; codec.h has their wire form.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/member.h"

namespace alderspur::cluster {

struct Message {
  /// The numbers are on the wire.
  enum class Kind : std::uint8_t {
    ping,
    ack,
    ping_request,  // asks the receiver to ping a target for the sender
    nack,          // the target of a ping request has not answered in time
    gossip,        // carries updates only
  };
  Kind kind = Kind::gossip;
  std::uint64_t ping_id = 0;  // an ack or nack repeats that of its ping or ping request
  Identity sender;
  std::uint32_t sender_incarnation = 0;
  std::string recipient;              // empty: whoever is at that address
  std::uint64_t recipient_epoch = 0;  // 0: any
  std::string target;                 // of a ping request, and of the ack to it
  std::string target_address;
  std::uint64_t target_epoch = 0;
  std::vector<GossipUpdate> updates;
};

}  // namespace alderspur::cluster
