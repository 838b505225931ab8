#pragma once

#include "standin.h"

#include "bulrushstack/net/http_client.h"

#include <functional>

namespace bulrushstack::standins {

struct ResidencyOptions {
    std::uint64_t capacity = 0; ///< memory for models, in bytes
    bool checksFencing = true; ///< reject orders whose fencing number is lower than an earlier one
    std::chrono::nanoseconds loadTime {}; ///< duration of a load if `weightAddress` is empty
    std::optional<Address> weightAddress; ///< weight store to load from; replaces `loadTime`
};

/// Manages the models in the memory of the engine. Memory is reserved when a load begins and released when the model is
/// removed, which happens once it is ordered to unload and no request uses it.
class Residency {
public:
    enum class State {
        Loading,
        Ready,
        Unloading,
    };

    Residency(boost::asio::io_context& context, ResidencyOptions options, StandinState& state);

    /// Adds models that are ready at startup, given as "id:version:bytes" separated by commas. Returns false if the
    /// list is malformed or the models exceed the memory.
    bool addInitialModels(const std::string& list);

    /// Executes the order in the body of POST /orders and logs it. Responds with 202 if it was accepted, 400 if it is
    /// malformed, 409 if its fencing number is stale, and 507 if memory does not suffice.
    HttpResponse order(const HttpRequest& request);

    /// Returns the state of the model, preferring a version that is ready over others, and stores that version in
    /// `version`. Returns an empty optional if no version is resident.
    std::optional<State> findState(const std::string& model, std::string* version) const;

    /// Registers a request that uses the model. The model stays in memory until release() was called for each request.
    void acquire(const std::string& model, const std::string& version);
    void release(const std::string& model, const std::string& version);

    /// Returns the fields "memory", "resident" and "role" of a load report.
    nlohmann::json report() const;

    /// Called after a well-formed order was accepted or rejected, and after a load has ended.
    std::function<void()> onChange = [] {};
    /// Called when a version of the model has been removed from memory.
    std::function<void(const std::string& model)> onUnloaded = [](const std::string&) {};

private:
    using Key = std::pair<std::string, std::string>; ///< model and version

    struct Entry {
        State state = State::Loading;
        std::uint64_t bytes = 0;
        std::size_t activeRequests = 0;
        bool isUnloadOrdered = false; ///< the model was ordered to unload while it was loading
    };

    unsigned execute(const nlohmann::json& order);
    unsigned load(Key key, std::uint64_t bytes);
    void unload(const Key& key);
    void add(const Key& key, std::uint64_t bytes, State state);
    void removeIfUnused(const Key& key);
    void finishLoad(const Key& key, bool isLoaded);
    boost::asio::awaitable<void> runLoad(Key key);

    boost::asio::io_context& m_context;
    ResidencyOptions m_options;
    StandinState& m_state;
    SystemClock m_clock;
    HttpClient m_client;
    std::map<Key, Entry> m_entries;
    std::uint64_t m_used = 0;
    std::uint64_t m_highWater = 0;
    std::uint64_t m_highestFencingNumber = 0;
    std::string m_role = "engine";
};

} // namespace bulrushstack::standins
