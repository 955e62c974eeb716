#ifndef MEADOWTHREAD_NET_TESTS_TEST_CERTIFICATE_H_
#define MEADOWTHREAD_NET_TESTS_TEST_CERTIFICATE_H_

#include <QTemporaryDir>

#include "net/http_server.h"

namespace meadowthread::tests {

/// @brief A new key and self-signed certificate in temporary files, deleted
/// with this object.
class TestCertificate {
 public:
  TestCertificate();

  TlsFiles Files() const;

 private:
  QTemporaryDir folder;
};

}  // namespace meadowthread::tests

#endif  // MEADOWTHREAD_NET_TESTS_TEST_CERTIFICATE_H_
