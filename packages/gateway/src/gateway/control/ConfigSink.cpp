#include "gateway/control/ConfigSink.h"

#include "adapter/ConfigCodec.h"

namespace carawaypond::gateway {

const char *ConfigSink::kind() { return adapter::ConfigKind; }

void ConfigSink::listed(const adapter::StoredDocument &Document) {
  if (Document.Name == adapter::ConfigName)
    m_State.applyConfig(Document.Content, StoreSource);
}

void ConfigSink::changed(const adapter::DocumentChange &Change) {
  if (!Change.IsRemoved)
    listed(Change.Document);
}

} // namespace carawaypond::gateway
