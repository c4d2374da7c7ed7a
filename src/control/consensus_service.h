// Versions in service: the agreement with its channels, its disk, its checks, and what comes in
// force.
//
// The loop's thread owns the Agreement. Three workers: one writes the voter's log, one contents and
// what is kept through a restart, one checks contents and writes the files that this router acts on
// (the list of servers and the program of routes, where the settings name them; others are kept and
// passed on). A disk that hangs holds its worker only.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "consensus/consensus_node.h"
#include "consensus/log_store.h"
#include "control/cluster_service.h"
#include "file_watch/worker.h"
#include "net/wakeup.h"

namespace alderspur::control {

// As GET /control/versions gives it; docs/versions.md explains its fields.
std::string versions_view(const consensus::NodeStatus& view, const consensus::LeaseTable& book,
                          core::Time now);

class ConsensusService {
 public:
  struct Files {
    std::string servers,
        routes;  // written by this part when a version is in force; empty: not used here
    std::function<void()> look;                 // they may have changed
    std::function<std::uint64_t()> generation;  // of the list of servers in force
  };
  ConsensusService(edge_router::EdgeRouter& node, ClusterService& cluster,
                   const settings::Cluster& settings, Files files, log::Log& log);
  ~ConsensusService();
  // False: a disk hangs, and the process can only be ended by _exit().
  bool settle();

 private:
  void begin();
  void handle(const consensus::Event& event);
  void carry_out(consensus::Action& action);
  void arm();
  void put(consensus::WriteLog put);
  void write(consensus::WriteContent write);
  void keep(const consensus::PersistState& keep);
  void check(const consensus::CheckContent& check);
  void act(const consensus::ActiveVersion& acting);
  void write_files();
  void measure();
  admin::HttpReply told(std::string_view what, std::string_view query, const std::string& body);
  std::string view() const;
  admin::HttpReply propose(std::string_view what, std::string_view query, const std::string& body);

  edge_router::EdgeRouter& node_;
  ClusterService& cluster_;
  const Files files_;
  log::Log& log_;
  const double unleased_;  // the part of a router without a lease, of 1
  const std::string folder_;
  std::shared_ptr<consensus::LogStore> disk_;  // on its worker's thread only
  std::unique_ptr<consensus::ConsensusNode> agreement_;
  consensus::ActiveVersion acting_;
  bool writing_ = false, again_ = false;
  std::deque<consensus::ProposalResult>
      settled_;  // what became of this router's proposals, the last few
  std::optional<core::Deadlines::Key> due_, measure_;
  std::uint64_t taken_ = 0, ended_ = 0, bad_ = 0;
  double rate_ = 0, bad_part_ = 0;
  std::uint64_t judged_ = 0;  // the version that bad_part_ is of
  std::mt19937_64 random_;
  // Last, so that they end first: their jobs use what stands above.
  net::Wakeup wakeup_;
  file_watch::Worker log_writer_, writer_, checker_;
};

}  // namespace alderspur::control
