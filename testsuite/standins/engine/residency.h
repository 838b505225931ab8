#pragma once

#include "standin.h"

#include "bulrushstack/net/http_client.h"

#include <functional>

namespace bulrushstack::standins {

struct ResidencyOptions {
    std::uint64_t capacity = 0; ///< bytes
    bool checksFencing = true;
    std::chrono::nanoseconds loadTime {};
    std::optional<Address> weightAddress; ///< where weights are loaded from instead of waiting for loadTime
};

/// The models in the memory of the engine. Memory is taken when a load begins and released when the model is gone.
class Residency {
public:
    enum class State {
        Loading,
        Ready,
        Unloading,
    };

    Residency(boost::asio::io_context& context, ResidencyOptions options, StandinState& state);

    /// Adds models that are ready from the start, as "id:version:bytes" separated by commas. Returns false if the text
    /// is malformed or memory does not suffice.
    bool addInitialModels(const std::string& list);

    /// Executes an order and logs it; returns the answer.
    HttpResponse order(const HttpRequest& request);

    /// Returns a version of the model that is ready, or the state of one that is not; empty if there is none.
    std::optional<State> findState(const std::string& model, std::string* version) const;

    /// Counts the requests that use a model; an unload waits for them.
    void acquire(const std::string& model, const std::string& version);
    void release(const std::string& model, const std::string& version);

    /// Returns the fields "memory" and "resident" of a load report.
    nlohmann::json report() const;

    std::function<void()> onChange = [] {};
    std::function<void(const std::string& model)> onUnloaded = [](const std::string&) {};

private:
    using Key = std::pair<std::string, std::string>; ///< model and version

    struct Entry {
        State state = State::Loading;
        std::uint64_t bytes = 0;
        std::size_t activeRequests = 0;
        bool isUnloadOrdered = false; ///< while it loads
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
