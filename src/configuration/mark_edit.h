#ifndef MEADOWTHREAD_CONFIGURATION_MARK_EDIT_H_
#define MEADOWTHREAD_CONFIGURATION_MARK_EDIT_H_

#include <string>
#include <string_view>

#include "configuration/marks.h"
#include "configuration/object_edit.h"

namespace meadowthread {

/// @brief An operator's change of the mark of a host or availability zone.
class MarkEdit final : public ObjectEdit {
 public:
  /// @param[in] kind kMarksKind or kEmptiedZonesKind; must have static lifetime
  explicit MarkEdit(MarkDocument document, std::string_view kind = kMarksKind);

  std::string_view Kind() const override;
  std::string_view Name() const override { return this->document.host; }
  PresenceResult FindIn(const StoredObject& stored) const override;
  std::string NextValue(const StoredObject* stored) const override;
  std::string Explain(const StoredObject* base,
                      const StoredObject* stored) const override;

 private:
  MarkDocument document;
  std::string_view kind;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_MARK_EDIT_H_
