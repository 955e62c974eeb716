#include "store/percent_encoding.h"

#include <QtCore/QByteArray>
#include <QtCore/QString>
#include <QtCore/QUrl>

namespace meadowthread {

std::string PercentEncoded(std::string_view text) {
  const QString decoded =
      QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
  return QUrl::toPercentEncoding(decoded).toStdString();
}

}  // namespace meadowthread
