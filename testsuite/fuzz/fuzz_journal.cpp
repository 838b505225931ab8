// Rows of the journal of requests that run at most once.

#include "fuzzer.h"
#include "journal.h"

using namespace bulrushstack;

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto value = nlohmann::json::parse(asText(data, size), nullptr, false);
    const auto entry = parseJournalEntry(value);
    if (entry)
        require(parseJournalEntry(toJson(*entry)) == entry);
    return 0;
}
