/// \file
/// Requests to the control hosts' operations endpoints.
#pragma once

#include "almondpier/Net.h"
#include "almondpier/Operations.h"

#include <nlohmann/json.hpp>

namespace almondpier {

/// Thrown when no control host that leads could be reached; what() names the
/// remedy.
class NoLeaderError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

struct ControlAnswer {
  int m_Status = 0;
  nlohmann::json m_Body;

  bool isGood() const { return m_Status == 200; }
};

/// Finds the leader and repeats requests whose answer is lost. Changes bear an
/// identifier, so a repeated one has no second effect.
class ControlClient {
public:
  explicit ControlClient(const OperationsOptions &Options)
      : m_Options(Options), m_Endpoints(Options.m_Control) {}

  /// Throws NoLeaderError.
  ControlAnswer get(const std::string &Target);
  /// Throws NoLeaderError.
  ControlAnswer post(const std::string &Target, const nlohmann::json &Body);

private:
  ControlAnswer request(const HttpClientConnection::Request &Request);
  std::optional<ControlAnswer>
  tryOnce(const Endpoint &Endpoint,
          const HttpClientConnection::Request &Request);
  void chooseNext(const std::optional<ControlAnswer> &Answer);
  void pause();

  const OperationsOptions &m_Options;
  std::vector<Endpoint> m_Endpoints;
  size_t m_Next = 0;
  /// The leader that the last answer named.
  std::optional<Endpoint> m_Leader;
  std::string m_LastFailure;
  EventLoop m_Loop;
};

} // namespace almondpier
