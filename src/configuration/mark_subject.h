#ifndef MEADOWTHREAD_CONFIGURATION_MARK_SUBJECT_H_
#define MEADOWTHREAD_CONFIGURATION_MARK_SUBJECT_H_

#include <string>
#include <string_view>

#include "configuration/change_subject.h"
#include "configuration/marks.h"

namespace meadowthread {

/// @brief An operator's change of a host's mark.
class MarkSubject final : public ChangeSubject {
 public:
  explicit MarkSubject(MarkDocument document);

  std::string_view Kind() const override;
  std::string_view Name() const override { return this->document.host; }
  StandingVerdict Judge(const StoredObject& standing) const override;
  std::string NextValue(const StoredObject* standing) const override;
  std::string Explain(const StoredObject* base,
                      const StoredObject* standing) const override;

 private:
  MarkDocument document;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_MARK_SUBJECT_H_
