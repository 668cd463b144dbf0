// Reads the configuration and the list of leaving backend servers from two keys of the store. The
// configuration is one document that contains the base file and the overlays.
#pragma once

#include <cstdint>
#include <vector>

#include "control.h"
#include "ibisnotch/store.h"
#include "state-source.h"

namespace ibisnotch {

class DocumentSource final : public StateSource
{
public:
    DocumentSource(EntryState &state, Control &control, Store &store);

    void tick() override;
    void onConfig() override;

private:
    void watchConfig();
    void onConfigRead(const StoreRead &read);
    void watchLeavingList();
    void onLeavingListRead(const StoreRead &read);
    void removeExpiredClaimPages();

    EntryState &m_state;
    Control &m_control;
    Store &m_store;
    std::uint64_t m_configIndex = 0; // the key's store index as last read; 0 before the first read
    std::uint64_t m_leavingListIndex = 0; // the same for the list
    bool m_watchingConfig = false;
    bool m_watchingLeavingList = false;
    TimePoint m_nextClaimSweep{};
    std::vector<LeavingNotice> m_leavingNotices;
};

} // namespace ibisnotch
