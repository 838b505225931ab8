#include "residency.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sstream>

namespace bulrushstack::standins {

namespace asio = boost::asio;
using json = nlohmann::json;

namespace {

const char* toString(Residency::State state)
{
    switch (state) {
    case Residency::State::Loading:
        return "loading";
    case Residency::State::Ready:
        return "ready";
    case Residency::State::Unloading:
        break;
    }
    return "unloading";
}

bool isValidOrder(const json& order)
{
    if (!order.is_object() || !order.value("order_id", json()).is_string())
        return false;
    if (!order.value("fencing", json()).is_number_unsigned() || !order.value("bytes", json(0U)).is_number_unsigned())
        return false;
    const auto operation = order.value("op", json());
    if (operation == "role")
        return true;
    return (operation == "load" || operation == "unload") && order.value("model", json()).is_string()
        && order.value("version", json()).is_string();
}

} // namespace

Residency::Residency(asio::io_context& context, ResidencyOptions options, StandinState& state)
    : m_context(context)
    , m_options(std::move(options))
    , m_state(state)
    , m_client(context, m_clock)
{
}

bool Residency::addInitialModels(const std::string& list)
{
    std::istringstream in(list);
    for (std::string entry; std::getline(in, entry, ',');) {
        const auto first = entry.find(':');
        const auto last = entry.rfind(':');
        if (first == std::string::npos || first == last)
            return false;
        const auto bytes = parseSize(entry.substr(last + 1));
        if (!bytes || m_used + *bytes > m_options.capacity)
            return false;
        add({ entry.substr(0, first), entry.substr(first + 1, last - first - 1) }, *bytes, State::Ready);
    }
    return true;
}

HttpResponse Residency::order(const HttpRequest& request)
{
    const auto order = json::parse(request.body, nullptr, false);
    if (!isValidOrder(order))
        return jsonResponse(400, R"({"error":"malformed order"})");
    const auto status = execute(order);
    json entry { { "event", "order" }, { "status", status }, { "memory", m_used } };
    for (const auto* it : { "order_id", "fencing", "op", "model", "version", "bytes" }) {
        if (order.contains(it))
            entry[it] = order.at(it);
    }
    m_state.log(std::move(entry));
    onChange();
    return jsonResponse(status, "{}");
}

unsigned Residency::execute(const json& order)
{
    const std::uint64_t fencing = order.at("fencing");
    if (m_options.checksFencing && fencing < m_highestFencingNumber)
        return 409;
    m_highestFencingNumber = std::max(m_highestFencingNumber, fencing);
    if (order.at("op") == "role") {
        m_role = order.value("role", m_role);
        return 202;
    }
    Key key { order.at("model"), order.at("version") };
    if (order.at("op") == "load")
        return load(std::move(key), order.value("bytes", std::uint64_t(0)));
    unload(key);
    return 202;
}

unsigned Residency::load(Key key, std::uint64_t bytes)
{
    const auto it = m_entries.find(key);
    if (it != m_entries.end()) {
        it->second.isUnloadOrdered = false;
        if (it->second.state == State::Unloading)
            it->second.state = State::Ready;
        return 202;
    }
    if (bytes > m_options.capacity - m_used)
        return 507;
    add(key, bytes, State::Loading);
    asio::co_spawn(m_context, runLoad(std::move(key)), asio::detached);
    return 202;
}

void Residency::unload(const Key& key)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return;
    if (it->second.state == State::Loading) {
        it->second.isUnloadOrdered = true;
        return;
    }
    it->second.state = State::Unloading;
    removeIfUnused(key);
}

void Residency::add(const Key& key, std::uint64_t bytes, State state)
{
    m_entries[key] = { .state = state, .bytes = bytes };
    m_used += bytes;
    m_highWater = std::max(m_highWater, m_used);
}

void Residency::removeIfUnused(const Key& key)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end() || it->second.state != State::Unloading || it->second.activeRequests > 0)
        return;
    m_used -= it->second.bytes;
    m_entries.erase(it);
    onUnloaded(key.first);
    m_state.log({ { "event", "unloaded" }, { "model", key.first }, { "version", key.second }, { "memory", m_used } });
}

asio::awaitable<void> Residency::runLoad(Key key)
{
    if (!m_options.weightAddress) {
        asio::steady_timer timer(m_context, m_options.loadTime);
        co_await timer.async_wait(asio::use_awaitable);
        finishLoad(key, true);
        co_return;
    }
    HttpRequest request;
    request.target = "/weights/" + percentEncode(key.first) + "/" + percentEncode(key.second);
    auto response = co_await m_client.call(*m_options.weightAddress, std::move(request));
    finishLoad(key, response && response->status == 200);
}

void Residency::finishLoad(const Key& key, bool isLoaded)
{
    auto& entry = m_entries.at(key);
    entry.state = isLoaded && !entry.isUnloadOrdered ? State::Ready : State::Unloading;
    m_state.log({ { "event", isLoaded ? "loaded" : "load-failed" }, { "model", key.first }, { "version", key.second },
        { "memory", m_used } });
    removeIfUnused(key);
    onChange();
}

std::optional<Residency::State> Residency::findState(const std::string& model, std::string* version) const
{
    std::optional<State> out;
    for (const auto& [key, entry] : m_entries) {
        if (key.first != model || out == State::Ready)
            continue;
        if (!out || entry.state != State::Unloading) {
            out = entry.state;
            *version = key.second;
        }
    }
    return out;
}

void Residency::acquire(const std::string& model, const std::string& version)
{
    ++m_entries.at({ model, version }).activeRequests;
}

void Residency::release(const std::string& model, const std::string& version)
{
    --m_entries.at({ model, version }).activeRequests;
    removeIfUnused({ model, version });
}

json Residency::report() const
{
    json resident = json::array();
    for (const auto& [key, entry] : m_entries)
        resident.push_back({ { "model", key.first }, { "version", key.second }, { "state", toString(entry.state) },
            { "bytes", entry.bytes } });
    return { { "memory", { { "capacity", m_options.capacity }, { "used", m_used }, { "high_water", m_highWater } } },
        { "resident", std::move(resident) }, { "role", m_role } };
}

} // namespace bulrushstack::standins
