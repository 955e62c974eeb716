#ifndef MEADOWTHREAD_CONFIGURATION_TEMPLATE_EDIT_H_
#define MEADOWTHREAD_CONFIGURATION_TEMPLATE_EDIT_H_

#include <string>
#include <string_view>

#include "configuration/object_edit.h"
#include "configuration/template_object.h"

namespace meadowthread {

/// @brief An operator's change of a template.
class TemplateEdit final : public ObjectEdit {
 public:
  /// @param[in] name the template's name as given in its YAML
  /// @param[in] entry the new version
  TemplateEdit(std::string_view name, TemplateEntry entry);

  std::string_view Kind() const override;
  std::string_view Name() const override { return this->name; }
  PresenceResult FindIn(const StoredObject& stored) const override;
  std::string NextValue(const StoredObject* stored) const override;
  std::string Explain(const StoredObject* base,
                      const StoredObject* stored) const override;

 private:
  std::string name;
  TemplateEntry entry;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_TEMPLATE_EDIT_H_
