#include "ibisnotch/rcu.h"

#include <urcu/urcu-memb.h>

namespace ibisnotch::detail {

namespace {

struct ThreadRegistration
{
    ThreadRegistration() { urcu_memb_register_thread(); }
    ~ThreadRegistration() { urcu_memb_unregister_thread(); }
};

} // namespace

RcuReadGuard::RcuReadGuard()
{
    static thread_local const ThreadRegistration registration;
    urcu_memb_read_lock();
}

RcuReadGuard::~RcuReadGuard()
{
    urcu_memb_read_unlock();
}

void rcuWaitForReaders()
{
    urcu_memb_synchronize_rcu();
}

} // namespace ibisnotch::detail
