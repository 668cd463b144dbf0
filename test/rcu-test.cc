#include "ibisnotch/rcu.h"

#include <atomic>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

using namespace ibisnotch;

// Guards against a reader that sees a partly replaced or freed value while a writer replaces it.
// The old value is freed only after the last reader that may use it.
TEST_CASE("rcuValue_readWhileReplaced_isAlwaysConsistent")
{
    struct Pair
    {
        int one = 0;
        int two = 0;
    };
    RcuValue<Pair> value;
    CHECK(value.read() == nullptr);
    value.publish(std::make_shared<const Pair>());
    std::atomic<bool> finished = false;
    std::atomic<int> tornReads = 0;
    std::vector<std::thread> readers;
    for (int i = 0; i < 3; ++i)
        readers.emplace_back([&] {
            while (!finished) {
                const auto pair = value.read();
                tornReads += pair->one != pair->two ? 1 : 0;
            }
        });
    for (int i = 1; i <= 500; ++i)
        value.publish(std::make_shared<const Pair>(Pair{i, i}));
    finished = true;
    for (std::thread &reader : readers)
        reader.join();
    CHECK(tornReads == 0);
    CHECK(value.read()->one == 500);
}
