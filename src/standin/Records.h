/// \file
/// JSON forms of log entries and of the records in the data folder.
#pragma once

#include "almondpier/StandIn.h"

namespace almondpier {

struct StandInSealRecord {
  uint64_t m_Term = 0;
};
struct StandInPromoteRecord {
  uint64_t m_Term = 0;
};
struct StandInTruncateRecord {
  uint64_t m_Index = 0;
};
using StandInRecord =
    std::variant<StandInEntry, StandInSealRecord, StandInPromoteRecord,
                 StandInSource, StandInTruncateRecord>;

std::string encodeRecord(const StandInRecord &Record);
/// Throws Error when Text is not a record.
StandInRecord decodeRecord(std::string_view Text);

std::string encodeLogPart(const StandInLogBatch &Part);
/// Throws Error when Text is not an answer to a request for entries.
StandInLogBatch decodeLogPart(std::string_view Text);

} // namespace almondpier
