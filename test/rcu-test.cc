#include "ibisnotch/rcu.h"

#include <atomic>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

using namespace ibisnotch;

// What a request sees: a whole table, old or new. In what order: a writer replaces it while several
// threads read. Why: the old one is freed after the last reader that may hold it.
TEST_CASE("rcuValue_readWhileReplaced_isAlwaysWhole")
{
    struct Pair
    {
        int one = 0;
        int two = 0;
    };
    RcuValue<Pair> value;
    CHECK(value.read() == nullptr);
    value.publish(std::make_shared<const Pair>());
    std::atomic<bool> over = false;
    std::atomic<int> torn = 0;
    std::vector<std::thread> readers;
    for (int i = 0; i < 3; ++i)
        readers.emplace_back([&] {
            while (!over) {
                const auto pair = value.read();
                torn += pair->one != pair->two ? 1 : 0;
            }
        });
    for (int i = 1; i <= 500; ++i)
        value.publish(std::make_shared<const Pair>(Pair{i, i}));
    over = true;
    for (std::thread &reader : readers)
        reader.join();
    CHECK(torn == 0);
    CHECK(value.read()->one == 500);
}
