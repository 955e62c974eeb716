#include "base/sha256.h"

#include <QCryptographicHash>
#include <cstring>

namespace meadowthread {

Hash256 Sha256Of(std::string_view bytes) {
  const QByteArray digest = QCryptographicHash::hash(
      QByteArray::fromRawData(bytes.data(),
                              static_cast<qsizetype>(bytes.size())),
      QCryptographicHash::Sha256);
  Hash256 hash{};
  std::memcpy(hash.data(), digest.constData(), hash.size());
  return hash;
}

}  // namespace meadowthread
