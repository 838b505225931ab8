#pragma once

#include "experiment.h"

namespace bulrushstack::load {

/// Returns a valid experiment document that contains every kind of request.
inline nlohmann::json experimentDocument()
{
    return nlohmann::json::parse(R"({
        "seed": 7,
        "targets": ["127.0.0.1:1"],
        "teams": [{"name": "zagreb", "token": "z", "weight": 3}, {"name": "split", "token": "s"}],
        "phases": [{"name": "calm", "duration": "10s", "rate": 20},
                   {"name": "peak", "duration": "5s", "rate": 100, "arrivals": "uniform"}],
        "requests": [
            {"kind": "chat", "weight": 2, "model": "libretto-7b", "urgency": "batch", "deadline": "10s",
             "prompt_reuse": 0.5},
            {"kind": "stream", "model": "tosca-lora", "urgency": "live", "deadline": "1500ms"},
            {"kind": "service-read", "path": "/services/cue-board/cues/1"},
            {"kind": "service-post", "path": "/services/cue-board/cues", "body": {"cue": 1}, "repeat": 0.25}]})");
}

} // namespace bulrushstack::load
