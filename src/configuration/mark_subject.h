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
  /// @param[in] kind of the mark, as Marks takes it; lives as long as the
  /// program
  explicit MarkSubject(MarkDocument document,
                       std::string_view kind = kMarksKind);

  std::string_view Kind() const override;
  std::string_view Name() const override { return this->document.host; }
  StandingVerdict Judge(const StoredObject& standing) const override;
  std::string NextValue(const StoredObject* standing) const override;
  std::string Explain(const StoredObject* base,
                      const StoredObject* standing) const override;

 private:
  MarkDocument document;
  std::string_view kind;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CONFIGURATION_MARK_SUBJECT_H_
