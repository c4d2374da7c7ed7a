// The datagrams that members exchange, as values. codec.h defines their wire form.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/member.h"

namespace alderspur::cluster {

/// One datagram.
struct Message {
  /// The numbers are part of the wire format.
  enum class Kind : std::uint8_t {
    ping,
    ack,
    ping_request,  // requests the receiver to ping a target on behalf of the sender
    nack,          // the target of a ping request has not answered in time
    gossip,        // carries updates only
  };
  Kind kind = Kind::gossip;
  std::uint64_t ping_id = 0;  // an ack or nack repeats the id of its ping or ping request
  Identity sender;
  std::uint32_t sender_incarnation = 0;
  std::string recipient;              // name; if empty, any member at the address may answer
  std::uint64_t recipient_epoch = 0;  // 0 if any start of the recipient may answer
  std::string target;                 // name, in a ping request and in the ack to it
  std::string target_address;         // in a ping request, as the following
  std::uint64_t target_epoch = 0;
  std::vector<GossipUpdate> updates;
};

}  // namespace alderspur::cluster
