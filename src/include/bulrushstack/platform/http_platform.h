#pragma once

#include "bulrushstack/net/http_client.h"
#include "bulrushstack/platform/instance_list.h"
#include "bulrushstack/platform/object_store.h"
#include "bulrushstack/platform/table_service.h"

namespace bulrushstack {

/// Client of the platform's table service over HTTP and JSON. Reads are retried once on a new connection if the first
/// connection is lost or stops responding; commits are never retried.
class HttpTableService final : public TableService {
public:
    HttpTableService(HttpClient& client, Address address);

    boost::asio::awaitable<Result<std::optional<Row>>> read(RowId id, SteadyTime deadline) override;
    boost::asio::awaitable<Result<std::vector<Row>>> list(
        std::string table, std::string prefix, std::string after, std::size_t limit, SteadyTime deadline) override;
    boost::asio::awaitable<Result<RowVersion>> commit(Transaction transaction, SteadyTime deadline) override;

private:
    HttpClient& m_client;
    Address m_address;
};

/// Client of the platform's object store over HTTP. All requests are idempotent and retried like the reads of
/// HttpTableService.
class HttpObjectStore final : public ObjectStore {
public:
    HttpObjectStore(HttpClient& client, Address address);

    boost::asio::awaitable<Result<std::string>> put(std::string content, SteadyTime deadline) override;
    boost::asio::awaitable<Result<std::optional<std::string>>> get(std::string digest, SteadyTime deadline) override;

private:
    HttpClient& m_client;
    Address m_address;
};

/// Client of the platform's instance list over HTTP and JSON. Requests are retried like the reads of HttpTableService.
class HttpInstanceList final : public InstanceList {
public:
    HttpInstanceList(HttpClient& client, Address address);

    boost::asio::awaitable<Result<std::vector<InstanceRecord>>> list(SteadyTime deadline) override;

private:
    HttpClient& m_client;
    Address m_address;
};

} // namespace bulrushstack
