#ifndef MEADOWTHREAD_CONFIGURATION_TEMPLATE_SUBJECT_H_
#define MEADOWTHREAD_CONFIGURATION_TEMPLATE_SUBJECT_H_

#include <string>
#include <string_view>

#include "configuration/change_subject.h"
#include "configuration/template_object.h"

namespace meadowthread {

/// @brief An operator's change of a template.
class TemplateSubject final : public ChangeSubject {
 public:
  /// @param[in] name the template's, as its YAML says
  /// @param[in] entry the change
  TemplateSubject(std::string_view name, TemplateEntry entry);

  std::string_view Kind() const override;
  std::string_view Name() const override { return this->name; }
  StandingVerdict Judge(const StoredObject& standing) const override;
  std::string NextValue(const StoredObject* standing) const override;
  std::string Explain(const StoredObject* base,
                      const StoredObject* standing) const override;

 private:
  std::string name;
  TemplateEntry entry;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_TEMPLATE_SUBJECT_H_
