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
    std::optional<nlohmann::json> value; ///< new content of the object; empty to delete the object

    friend bool operator==(const ConfigurationEdit&, const ConfigurationEdit&) = default;
};

/// Set of edits that an operator submits and that take effect together or not at all.
struct ConfigurationChange {
    std::string changeId; ///< chosen by the operator's client; a change that is sent again has the same id
    std::string author;
    std::uint64_t baseRevision = 0; ///< revision on which the operator based the edits
    std::vector<ConfigurationEdit> edits;

    friend bool operator==(const ConfigurationChange&, const ConfigurationChange&) = default;
};

/// Stored record of an accepted change.
struct ConfigurationRecord {
    std::uint64_t revision = 0; ///< revision that the change created
    std::string changeId;
    std::string author;
    std::string acceptedAt; ///< time of acceptance in UTC, ISO 8601 format
    std::string digest; ///< SHA-256 digest of the resulting document
    std::vector<std::pair<std::string, std::string>> objects; ///< kind and name of each edited object

    friend bool operator==(const ConfigurationRecord&, const ConfigurationRecord&) = default;
};

/// Revision and document digest of a configuration. The row "head" of the table service names the latest accepted
/// revision in this form.
struct ConfigurationHead {
    std::uint64_t revision = 0;
    std::string digest;

    friend auto operator<=>(const ConfigurationHead&, const ConfigurationHead&) = default;
};

enum class ChangeStatus {
    Accepted, ///< the change was committed, now or earlier under the same change id
    Conflict, ///< another change edited one of the same objects since the base revision
    Invalid, ///< the change or the resulting document is invalid
    Unavailable, ///< not committed, or the outcome is unknown; the client may send the change again with the same id
};

struct ChangeOutcome {
    ChangeStatus status = ChangeStatus::Unavailable;
    std::uint64_t revision = 0; ///< revision that the change created, if it was accepted
    std::vector<ConfigurationRecord> conflictingRecords; ///< records of the conflicting changes, if there is a conflict
    std::vector<ValidationError> errors; ///< validation errors, if the change is invalid
    Failure failure; ///< cause, if unavailable; the verdict NotRun means that the change will not take effect

    friend bool operator==(const ChangeOutcome&, const ChangeOutcome&) = default;
};

/// Reads and edits the configuration in the platform's table service and object store. The table service holds the head
/// and the records of all changes, the object store holds the documents.
class ConfigurationStore {
public:
    ConfigurationStore(TableService& tables, ObjectStore& objects, const Clock& clock);

    /// Reads the head; it names revision 0 if no change has been accepted yet.
    boost::asio::awaitable<Result<ConfigurationHead>> head(SteadyTime deadline);

    /// Reads the document that the head names, verifies its digest and validates it. Fails with Errc::NotFound if the
    /// object store has no such document, with Errc::Malformed if the document does not match the head, and with
    /// Errc::InvalidArgument if it is invalid.
    boost::asio::awaitable<Result<ConfigurationPtr>> fetch(ConfigurationHead head, SteadyTime deadline);

    /// Validates and commits a change. If another change is committed first, the commit is retried on the new head
    /// until the deadline, unless both changes edit the same object.
    boost::asio::awaitable<ChangeOutcome> apply(ConfigurationChange change, SteadyTime deadline);

    /// Returns the record of the change with this id; an empty optional if no such change was accepted.
    boost::asio::awaitable<Result<std::optional<ConfigurationRecord>>> findChange(
        std::string changeId, SteadyTime deadline);

    /// Returns at most `limit` records of accepted changes, newest first.
    boost::asio::awaitable<Result<std::vector<ConfigurationRecord>>> history(std::size_t limit, SteadyTime deadline);

private:
    TableService& m_tables;
    ObjectStore& m_objects;
    const Clock& m_clock;
};

/// Returns the document with the edits applied and the revision set. An edit of an unknown kind adds a field that the
/// validation of the document rejects.
nlohmann::json applyEdits(
    const nlohmann::json& document, const std::vector<ConfigurationEdit>& edits, std::uint64_t revision);

} // namespace bulrushstack
