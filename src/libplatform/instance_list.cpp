#include "bulrushstack/platform/instance_list.h"

namespace bulrushstack {

std::string_view toString(InstanceRole role)
{
    switch (role) {
    case InstanceRole::Entry:
        return "entry";
    case InstanceRole::Engine:
        return "engine";
    case InstanceRole::Service:
        return "service";
    }
    return "unknown";
}

std::string_view toString(InstanceState state)
{
    switch (state) {
    case InstanceState::Live:
        return "live";
    case InstanceState::Leaving:
        return "leaving";
    }
    return "unknown";
}

std::optional<InstanceRole> parseInstanceRole(std::string_view text)
{
    for (auto it : { InstanceRole::Entry, InstanceRole::Engine, InstanceRole::Service }) {
        if (toString(it) == text)
            return it;
    }
    return std::nullopt;
}

std::optional<InstanceState> parseInstanceState(std::string_view text)
{
    for (auto it : { InstanceState::Live, InstanceState::Leaving }) {
        if (toString(it) == text)
            return it;
    }
    return std::nullopt;
}

} // namespace bulrushstack
