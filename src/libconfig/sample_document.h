#pragma once

#include "bulrushstack/kernel/ids.h"

#include <nlohmann/json.hpp>

namespace bulrushstack {

/// Returns the example document of section 12 of the design document, with one team whose token is "zagreb-token".
inline nlohmann::json sampleDocument(std::uint64_t revision = 12)
{
    auto document = nlohmann::json::parse(R"({"schema":1,
        "models":{"libretto-7b":{"kind":"model","version":"1","size":"14GiB"},
                  "tosca-lora":{"kind":"adapter","base":"libretto-7b","version":"1","size":"200MiB"}},
        "services":{"cue-board":{"status_path":"/status/{key}","checks_fencing":false}},
        "templates":{"opera-house":{
            "parameters":{"house":"","extra_model":"tosca-lora"},
            "models":["libretto-7b","${extra_model}"],
            "services":["cue-board"],
            "urgency":{"default":"interactive","permitted":["live","interactive","batch"]},
            "deadline":{"default":"10s","max":"60s"},
            "never_repeat":[{"service":"cue-board","method":"PUT","path":"/cues"}],
            "repeatable":[{"service":"cue-board","method":"POST","path":"/search"}],
            "share":1}},
        "teams":{"zagreb":{"template":"opera-house","parameters":{"house":"zagreb"},"token_sha256":[]}}})");
    document["revision"] = revision;
    document["teams"]["zagreb"]["token_sha256"].push_back(sha256Hex("zagreb-token"));
    return document;
}

} // namespace bulrushstack
