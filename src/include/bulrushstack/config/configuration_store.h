#pragma once

#include "bulrushstack/config/configuration.h"
#include "bulrushstack/kernel/clock.h"
#include "bulrushstack/platform/object_store.h"
#include "bulrushstack/platform/table_service.h"

#include <boost/asio/awaitable.hpp>

namespace bulrushstack {

/// Replaces or deletes one named object of the configuration.
struct ConfigurationEdit {
    std::string kind; ///< "template", "team", "model" or "service"
    std::string name;
    std::optional<nlohmann::json> value; ///< empty: delete

    friend bool operator==(const ConfigurationEdit&, const ConfigurationEdit&) = default;
};

/// A set of edits that take effect together.
struct ConfigurationChange {
    std::string changeId; ///< chosen by the operator's client; recognises a repeated change
    std::string author;
    std::uint64_t baseRevision = 0; ///< revision that the operator saw
    std::vector<ConfigurationEdit> edits;

    friend bool operator==(const ConfigurationChange&, const ConfigurationChange&) = default;
};

/// An accepted change.
struct ConfigurationRecord {
    std::uint64_t revision = 0;
    std::string changeId;
    std::string author;
    std::string acceptedAt; ///< UTC, ISO 8601
    std::string digest;
    std::vector<std::pair<std::string, std::string>> objects; ///< kind and name of what was edited

    friend bool operator==(const ConfigurationRecord&, const ConfigurationRecord&) = default;
};

/// Names the revision in force.
struct ConfigurationHead {
    std::uint64_t revision = 0;
    std::string digest;

    friend auto operator<=>(const ConfigurationHead&, const ConfigurationHead&) = default;
};

enum class ChangeStatus {
    Accepted, ///< committed now or earlier under the same change id
    Conflict, ///< another operator changed one of the objects since the base revision
    Invalid, ///< the resulting document is not valid
    Unavailable, ///< not committed, or unknown; the change may be sent again with the same change id
};

struct ChangeOutcome {
    ChangeStatus status = ChangeStatus::Unavailable;
    std::uint64_t revision = 0; ///< set if accepted
    std::vector<ConfigurationRecord> conflictingRecords; ///< set on a conflict
    std::vector<ValidationError> errors; ///< set if invalid
    Failure failure; ///< set if unavailable; NotRun means that the change will not take effect

    friend bool operator==(const ChangeOutcome&, const ChangeOutcome&) = default;
};

/// Reads and edits the configuration in the platform's table service and object store.
class ConfigurationStore {
public:
    ConfigurationStore(TableService& tables, ObjectStore& objects, const Clock& clock);

    /// Returns the head; revision 0 if nothing has been accepted yet.
    boost::asio::awaitable<Result<ConfigurationHead>> head(SteadyTime deadline);

    /// Returns the document that the head names, checked against its digest and validated.
    boost::asio::awaitable<Result<ConfigurationPtr>> fetch(ConfigurationHead head, SteadyTime deadline);

    /// Validates and commits a change. Competing commits are retried until the deadline as long as they do not touch
    /// the same objects.
    boost::asio::awaitable<ChangeOutcome> apply(ConfigurationChange change, SteadyTime deadline);

    /// Returns what became of a change id; an empty optional if it was not accepted.
    boost::asio::awaitable<Result<std::optional<ConfigurationRecord>>> findChange(
        std::string changeId, SteadyTime deadline);

    /// Returns the newest records first.
    boost::asio::awaitable<Result<std::vector<ConfigurationRecord>>> history(std::size_t limit, SteadyTime deadline);

private:
    TableService& m_tables;
    ObjectStore& m_objects;
    const Clock& m_clock;
};

/// Returns the document with the edits applied and the revision set. Unknown kinds are reported by validation.
nlohmann::json applyEdits(
    const nlohmann::json& document, const std::vector<ConfigurationEdit>& edits, std::uint64_t revision);

} // namespace bulrushstack
