#pragma once

#include "bulrushstack/platform/table_feed.h"

#include <string>
#include <string_view>

namespace bulrushstack {

/// Path to which an instance sends a RelayRequest.
constexpr std::string_view relayPath = "/v1/relay/table";

/// Asks a reader for a table, or for what changed in it.
struct RelayRequest {
    std::string table;
    RowVersion after = 0; ///< Version that the sender has.
    bool isSnapshot = false; ///< Whether the whole table is wanted.
    std::chrono::milliseconds wait {}; ///< Longest time to wait for a change before an answer without rows.

    friend bool operator==(const RelayRequest&, const RelayRequest&) = default;
};

/// Answer of a reader.
struct RelayReply {
    RowVersion version = 0; ///< Version of the table up to which the rows are complete.
    std::chrono::milliseconds age {}; ///< Time since the reader's table was up to date for certain.
    bool isAfterOutage = false; ///< Whether the reader has lost the store, or lost it shortly before.
    std::vector<Row> rows; ///< A removed row has version 0.

    friend bool operator==(const RelayReply&, const RelayReply&) = default;
};

std::string encode(const RelayRequest& request);
std::string encode(const RelayReply& reply);

/// Each of these functions decodes one message. They fail with Errc::Malformed and ignore unknown fields.
Result<RelayRequest> decodeRelayRequest(std::string_view text);
Result<RelayReply> decodeRelayReply(std::string_view text, const std::string& table);

} // namespace bulrushstack
