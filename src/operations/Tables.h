/// \file
/// Text output of the operators' command line.
#pragma once

#include <nlohmann/json.hpp>

#include <ostream>

namespace almondpier {

void printOrganisations(const nlohmann::json &Configuration, std::ostream &Out);
void printKeys(const nlohmann::json &Configuration, std::ostream &Out);
void printPresets(const nlohmann::json &Configuration, std::ostream &Out);
void printDatabases(const nlohmann::json &Status, std::ostream &Out);
void printHosts(const nlohmann::json &Status, std::ostream &Out);
void printZones(const nlohmann::json &Configuration, std::ostream &Out);
void printMembers(const nlohmann::json &Status, std::ostream &Out);
void printStatus(const nlohmann::json &Status, std::ostream &Out);
void printAudit(const nlohmann::json &Page, std::ostream &Out);

} // namespace almondpier
