// Decodes each file of the folders that are given as arguments once, in place of libFuzzer.

#include "fuzzer.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

namespace {

void decodeFile(const std::filesystem::path& path)
{
    std::ifstream file(path, std::ios::binary);
    const std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    std::cout << path.filename().string() << ": " << text.size() << " bytes" << std::endl;
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}

} // namespace

int main(int argc, char** argv)
{
    int n = 0;
    for (int i = 1; i < argc; ++i) {
        for (const auto& it : std::filesystem::directory_iterator(argv[i])) {
            decodeFile(it.path());
            ++n;
        }
    }
    return n > 0 ? 0 : 1;
}
